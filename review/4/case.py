"""A replica sends its answer to a report twice, the second time late; a
request that it runs goes on at another replica too."""
import asyncio
import json
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "lib"))
from world import (TROUBLE, Engine, Entry, Store, config, main,  # noqa: E402
                   send, until)

STILL_S = 0.4  # the rule's 400 ms
TOKENS = "1460,172"  # the mean of plate-describe: 86 events


class Garbling(Engine):
    """Sends an extra response where the next response is expected."""
    extra = None  # (connection, bytes), once

    async def before_answer(self, writer, target):
        if self.extra is None and target == "/api/report" and TROUBLE:
            text = json.dumps(self.report()).encode()
            self.extra = (writer, b"HTTP/1.1 200 X\r\nContent-Type: "
                          b"application/json\r\nContent-Length: %d\r\n\r\n"
                          % len(text) + text)
        elif self.extra is not None and self.extra[0] is writer:
            self.record("replica %s sends an extra answer to the report" %
                        self.id)
            writer.write(self.extra[1])
            self.extra = (None, b"")


async def case(record, folder, entries):
    sizes = {"m0": 72700, "m1": 72700}
    store = Store(record)
    await store.listen()
    store.put("op/config", config(sizes, adapters=0))
    # A busy model is on both replicas, the other one on one of them.
    a = Garbling(record, store, "i-1", ["m0", "m1"], sizes)
    b = Engine(record, store, "i-2", ["m0"], sizes, zone="z2")
    await a.listen()
    await b.listen()
    entries += [Entry(record, folder, 1, store)]
    e = entries[0]
    e.start()
    if not await until(e.ready):
        record("%s is not ready" % e.name)
        return 2
    await asyncio.sleep(4)  # longer than stable_ms

    tasks = []
    for n in range(1, 7):
        tasks.append(asyncio.ensure_future(send(
            record, e.front, "s-%d" % n, model="m0" if n % 2 else "m1",
            tokens=TOKENS)))
        await asyncio.sleep(0.03)
    await asyncio.wait(tasks, timeout=20)
    broken = 0
    for x in a.all_runs:
        for y in b.all_runs:
            if x["id"] != y["id"]:
                continue
            over = (x["to"] or y["to"]) - y["from"]
            record("%s runs at i-2 from %.3f s on; i-1 still worked on it "
                   "%.0f ms later" % (x["id"], y["from"] - record.start,
                                      over * 1000))
            broken += over > STILL_S
    return 1 if broken else 0


main(case)
