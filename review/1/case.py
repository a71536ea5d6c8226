"""Replicas that are full refuse an order; the machine sends it to the first one
again, whose refusal comes a second time, late.  The order runs twice, or runs
though the client was told that it doesn't."""
import asyncio
import os
import random
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                ".."))
from world import (TROUBLE, Entry, Shop, Store, config, main,  # noqa: E402
                   send, until)

EXTRA_SHARE = 0.03  # garble: x 0.03 of the answers of a share (0.6) of them
GARBLE_FROM_S, GARBLE_S = (3.0, 9.0), 5.0  # for_s 5, twice
QUEUE = 2           # "queues a few more"
MACHINES = 9
SECONDS = 16
PER_S = 41          # orders a second and machine; they could do 400 together


class Full(Shop):
    """Takes SLOTS requests at once and queues a few more; may send one answer
    in 33 a second time, where the next response is expected."""

    def __init__(self, record, store, id, garbles=False):
        super().__init__(record, store, id)
        self.garbles, self.garbles_from = garbles, None
        self.slots = asyncio.Semaphore(self.SLOTS)
        self.taken = 0
        self.answers = self.extras = self.refusals = 0
        self.refused = {}  # connection -> the id that it refused last

    def is_garbling(self):
        if not TROUBLE or not self.garbles or self.garbles_from is None:
            return False
        since = time.monotonic() - self.garbles_from
        return any(0 <= since - s < GARBLE_S for s in GARBLE_FROM_S)

    def refuses(self, writer, id):
        self.answers += self.is_garbling()
        again = self.refused.get(writer) == id
        if self.taken >= self.SLOTS + QUEUE:
            self.refusals += 1
            self.refused[writer] = id
            self.record("replica %s is full: 503 to %s" % (self.id, id))
            self.refusal(writer, id)
            return True
        if again and self.is_garbling() and \
                self.extras + 1 <= EXTRA_SHARE * self.answers:
            self.extras += 1
            self.record("replica %s sends its 503 to %s once more" % (
                self.id, id))
            self.refusal(writer, id)
        self.refused[writer] = None
        return False

    @staticmethod
    def refusal(writer, id):
        writer.write((
            "HTTP/1.1 503 X\r\nArbutusspindle-Attempt-Id: %s\r\n"
            "Arbutusspindle-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n" % id
        ).encode())

    async def work(self):
        self.taken += 1
        try:
            async with self.slots:
                await asyncio.sleep(random.uniform(0.5, 1.5) * self.work_s)
        finally:
            self.taken -= 1


async def case(record, folder, entries):
    random.seed(7)
    store = Store(record)
    await store.listen()
    store.put("op/config", config({"m0": 72700}))
    first = Full(record, store, "i-1", garbles=True)
    second = Full(record, store, "i-2")
    await first.listen()
    await second.listen()
    entries += [Entry(record, folder, n, store) for n in range(1, MACHINES + 1)]
    for e in entries:
        e.start()
    for e in entries:
        if not await until(e.ready):
            record("%s is not ready" % e.name)
            return 2
    await asyncio.sleep(4)  # longer than stable_ms

    answers = {}

    async def one(e, id):
        answers[id] = await send(record, e.front, id, path="/order/x",
                                 deadline_ms=1000)

    first.garbles_from = time.monotonic()
    tasks = []
    end = asyncio.get_running_loop().time() + SECONDS
    n = 0
    while asyncio.get_running_loop().time() < end:
        n += 1
        tasks.append(asyncio.ensure_future(one(
            entries[n % MACHINES], "order-%d" % n)))
        await asyncio.sleep(random.expovariate(MACHINES * PER_S))
    await asyncio.wait(tasks, timeout=5)
    ran = [a[1] for r in (first, second) for a in r.arrived]
    twice = sorted({id for id in ran if ran.count(id) > 1})
    refused = sorted(id for id in set(ran)
                     if id in answers and answers[id].status in (429, 503))
    record("%d orders sent, %d ran; i-1 refused %d times, i-2 %d times" % (
        n, len(set(ran)), first.refusals, second.refusals))
    record("in twice %.0f s of the disruption i-1 sent %d of %d answers twice" % (
        GARBLE_S, first.extras, first.answers))
    record("TWICE: ran more than once: %s" % (" ".join(twice) or "none"))
    record("REFUSED: ran, and the client got 503: %s" % (
        " ".join(refused) or "none"))
    if TROUBLE and first.extras == 0:
        record("no order came to i-1 again on its connection")
        return 2
    return 1 if twice or refused else 0


main(case)
