"""One entry of the list of replicas holds zero bytes; later another replica's
entry is removed, and machines go on sending to that replica."""
import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                ".."))
from world import (TROUBLE, Entry, Shop, Store, config, main,  # noqa: E402
                   send, until)

MACHINES = int(os.environ.get("MACHINES", "5"))
WORK_S = 0.1
DRAIN_S = 2.0   # drain_ms
SERVES_S = 8.0  # "a little longer (at times many seconds)"


async def case(record, folder, entries):
    store = Store(record)
    await store.listen()
    store.put("op/config", config({"m0": 72700}))
    leaving = Shop(record, store, "i-1", work_s=WORK_S)
    stays = Shop(record, store, "i-2", work_s=WORK_S)
    await leaving.listen()
    await stays.listen()
    entries += [Entry(record, folder, n, store)
                for n in range(1, MACHINES + 1)]
    for e in entries:
        e.start()
    for e in entries:
        if not await until(e.ready):
            record("%s is not ready" % e.name)
            return 2
    await asyncio.sleep(4)
    if TROUBLE:
        # From another writer, bytes that cannot be read.
        value = bytes(64)
        if os.environ.get("VALUE") == "large":
            value = b"x" * 1048576  # value_bytes
        store.put("servers/i-0", value)
        record("another writer puts %d bytes at servers/i-0" % len(value))
    await asyncio.sleep(4)  # longer than stable_ms

    answers = []
    sending = True

    async def clients(e):
        n = 0
        while sending:
            n += 1
            answers.append(await send(
                record, e.front, "%s-%d" % (e.name, n), path="/order/x",
                deadline_ms=1000))
            await asyncio.sleep(0.1)

    tasks = [asyncio.ensure_future(clients(e)) for e in entries]
    await asyncio.sleep(1.5)
    store.remove("servers/i-1")  # it never reports `draining`
    removed = time.monotonic()
    record("the store accepts the removal of servers/i-1")
    await asyncio.sleep(SERVES_S)
    # It exits while it works on an order, if it has one within a second.
    await until(lambda: leaving.running, 1)
    leaving.end()
    await asyncio.sleep(1)
    sending = False
    await asyncio.wait(tasks, timeout=5)
    late = [a for a in leaving.arrived if a[0] > removed + DRAIN_S]
    record("%d requests reached i-1 later than %.1f s after the removal, the "
           "last one %.1f s after it" % (
               len(late), DRAIN_S, late[-1][0] - removed if late else 0))
    for e in entries:
        record("  by %s: %d" % (e.name, sum(
            1 for a in late if a[1].startswith(e.name + "-"))))
    record("answers: %s; orders that i-1 was at work on when it exited: %s" % (
        ", ".join("%d: %d" % (s, sum(1 for a in answers if a.status == s))
                  for s in sorted({a.status for a in answers})),
        " ".join(leaving.lost) or "none"))
    return 1 if late else 0


main(case)
