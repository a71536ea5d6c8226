"""A frozen machine's stream uses an adapter; the slot is given away."""
import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "lib"))
from world import (TROUBLE, Engine, Entry, Store, config, main,  # noqa: E402
                   send, until)

FREEZE_S = 3.5   # node_freeze: for_s 3.5 in the site's troubles
LONG = "400,512"  # 256 events, the site's longest stream


async def case(record, folder, entries):
    sizes = {"m%d" % i: 72700 for i in range(3)}
    store = Store(record)
    await store.listen()
    store.put("op/config", config(sizes))
    e1 = Engine(record, store, "i-1", ["m0", "m1", "m2"], sizes)
    await e1.listen()
    entries += [Entry(record, folder, n, store) for n in (1, 2)]
    for e in entries:
        e.start()
    for e in entries:
        if not await until(e.ready):
            record("%s is not ready" % e.name)
            return 2
    await asyncio.sleep(4)

    # The machine that sends the orders stays; the other one freezes.
    await send(record, entries[0].front, "warm-0", model="m0/a16")
    leader = [e for e in entries if e.events("cell-taken")]
    if len(leader) != 1:
        record("no machine leads")
        return 2
    other = [e for e in entries if e is not leader[0]][0]
    lead = leader[0]
    record("%s sends the orders" % lead.name)

    tasks = [asyncio.ensure_future(send(
        record, other.front, "s-1", model="m0/a1", tokens=LONG))]
    if not await until(lambda: any(r["model"] == "m0/a1" for r in e1.runs)):
        return 2
    # The other seven slots are in use as well, at the machine that leads.
    for n in range(2, 9):
        tasks.append(asyncio.ensure_future(send(
            record, lead.front, "s-%d" % n, model="m0/a%d" % n,
            tokens=LONG)))
        await until(lambda: any(r["model"] == "m0/a%d" % n
                                for r in e1.runs), 3)
    if TROUBLE:
        other.signal(signal.SIGSTOP, "freezes")
        asyncio.get_running_loop().call_later(
            FREEZE_S, other.signal, signal.SIGCONT, "wakes")
    await asyncio.sleep(2.2)
    tasks.append(asyncio.ensure_future(send(
        record, lead.front, "s-9", model="m0/a9")))
    await asyncio.wait(tasks, timeout=20)
    return 1 if e1.crashes else 0


main(case)
