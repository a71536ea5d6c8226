"""A faulty replica's answer breaks inside the end of its head, and a late answer
to an earlier request follows there."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                ".."))
from world import (TROUBLE, Entry, Shop, Store, config, main,  # noqa: E402
                   send, until)


class Garbling(Shop):
    """Spoils one answer: before the last byte of its head it sends the answer
    to an earlier request once more."""
    armed = False
    spoilt = False

    def answer(self, id, body):
        body = body.ljust(800, b".")  # the site's answers have 800 B
        sound = super().answer(id, body)
        if not self.armed or self.spoilt:
            self.before = sound
            return sound
        self.spoilt = True
        self.record("replica %s spoils its answer to %s" % (self.id, id))
        at = len(sound) - len(body) - 1
        return sound[:at] + self.before + sound[at:]


async def case(record, folder, entries):
    store = Store(record)
    await store.listen()
    store.put("op/config", config({"m0": 72700}))
    shop = Garbling(record, store, "i-1")
    await shop.listen()
    entries += [Entry(record, folder, 1, store)]
    e = entries[0]
    e.start()
    if not await until(e.ready):
        record("%s is not ready" % e.name)
        return 2
    await asyncio.sleep(4)  # longer than stable_ms
    first = await send(record, e.front, "order-1", path="/order/x",
                       deadline_ms=1000)
    shop.armed = TROUBLE
    second = await send(record, e.front, "order-2", path="/order/x",
                        deadline_ms=1000)
    for a, id in ((first, "order-1"), (second, "order-2")):
        record("%s: status %d, signature %s, body %r" % (
            id, a.status, a.fields.get(
                "arbutusspindle-response-signature"), a.body[:300]))
    wrong = second.status == 200 and \
        second.body != b"order-2 by i-1".ljust(800, b".")
    return 1 if wrong else 0


main(case)
