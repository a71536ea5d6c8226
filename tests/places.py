"""Tests of spindle-entry: replicas with many places for adapters.

Prints one line per test, and "result: N passed, N failed" at the end.
"""
import asyncio
import json
import signal
import sys
import threading
import time

from entry import check, main, metric
from platform_world import World, default_config

ADAPTER_LOAD_S = 0.01
MODEL = "Arbutusspindle-Model"


def config(places):
    doc = default_config()
    doc["services"][0]["engine"] = {
        "slots": 64, "kv_capacity": 100000, "adapter_slots": places,
        "weights_mb": 10000, "loads_per_s": 1, "stride": 1,
        "host_mb": 500, "disk_mb": 500,
        "models": [{"name": "m", "weights_mb": 10, "load_s": 1, "warm_s": 1,
                    "disk_s": 1, "adapters": 2 * places, "adapter_mb": 1}]}
    return doc


class Engine:
    """A replica that holds one model, and adapters up to its places."""

    def __init__(self, places, held=()):
        self.places, self.held, self.coming = places, list(held), []
        self.most, self.orders = len(self.held), 0
        self.sequence = self.fence = 0

    def models(self):
        return [{"name": "m", "version": 1, "adapters": list(self.held)}]

    async def __call__(self, call):
        await call.read()
        if "/api/report" in call.line:
            return await call.answer(json.dumps(dict(
                models=self.models(), sequence=self.sequence,
                coming=["m/%s@1" % a for a in self.coming],
                stage="colocated", occupied=False, queued=0, in_flight=0,
                kv_used=0, kv_total=9, handles=0,
                born=1700000000000)).encode(), signed=False)
        if "/api/order" in call.line:
            status = self.order(json.loads(call.body))
            return await call.answer(b"{}", status, signed=False)
        name = call.fields[MODEL.lower()].partition("/")[2]
        if name and name not in self.held:
            return await call.answer(b"", 421, signed=False, extra={
                "Arbutusspindle-Not-Executed": "1"})
        await asyncio.sleep(0.02)
        return await call.answer()

    def order(self, o):
        if o["fencing_token"] < self.fence:
            return 412
        self.fence = o["fencing_token"]
        if o["expected"] != self.sequence:
            return 409
        name = o.get("adapter")
        if name is None:
            return 200 if o["operation"] == "load" else 409
        known = name in self.held + self.coming
        if known == (o["operation"] == "load"):
            return 200
        self.sequence += 1
        self.orders += 1
        if known:
            self.held.remove(name)
            return 200
        self.coming.append(name)
        self.most = max(self.most, len(self.held + self.coming))
        asyncio.ensure_future(self.load(name))
        return 202

    async def load(self, name):
        await asyncio.sleep(ADAPTER_LOAD_S)
        self.coming.remove(name)
        self.held.append(name)


def start(places, held=()):
    """Three processes, and a replica with places for adapters."""
    worlds = [World(config(places), start=False) for _ in range(3)]
    first = worlds[0]
    engine = Engine(places, held)
    first.run(first.store.put("op/config", first.config))
    first.replica("i-0", script=engine, models=engine.models(), slots=64)
    for w in worlds:
        w.store_port = first.store_port
        w.start()
    for w in worlds:
        w.wait_ready()
    first.wait("orders", lambda: any(w.events("cell-taken") for w in worlds))
    return worlds, engine


def ask(w, name, served, until=8.0):
    """Asks for an adapter until it is served."""
    end = time.monotonic() + until
    while time.monotonic() < end:
        status = w.call("/read/x", "id-%s-%s" % (w.vm, name),
                        fields={MODEL: "m/" + name}, deadline=3000)[0]
        if status == 200:
            served.append(name)
            return
        time.sleep(0.1)


def ask_all(worlds, names):
    """Asks for adapters at the same moment; returns those not served."""
    served = []
    threads = [threading.Thread(target=ask, args=(
        worlds[i % len(worlds)], name, served))
        for i, name in enumerate(names)]
    for t in threads:
        t.start()
    for t in threads:
        t.join()
    return sorted(set(names) - set(served))


def fill(places):
    worlds, engine = start(places)
    try:
        names = ["a%d" % (i + 1) for i in range(places + 12)]
        for at in range(0, len(names), 16):
            missed = ask_all(worlds, names[at:at + 16])
            check("not served: %s" % missed, not missed)
            check("%d adapters in %d places" % (engine.most, places),
                  engine.most <= places)
        check("%d of %d places used" % (engine.most, places),
              engine.most == places)
    finally:
        for w in worlds:
            w.stop()


def test_many_places():
    """Guards against review/14: adapters beyond the 32nd were not counted, so
    that a replica was ordered over its places, and they were never used."""
    fill(40)


def test_few_places():
    fill(8)


def test_hundreds_of_places():
    fill(120)


def test_held_is_served_after_restart():
    """All adapters that a replica holds are served by processes that know of
    them only by the list and its report."""
    held = ["a%d" % (i + 1) for i in range(100)]
    worlds, engine = start(100, held)
    try:
        missed = ask_all(worlds, held)
        check("not served: %s" % missed, not missed)
        for w in worlds:
            w.process.send_signal(signal.SIGKILL)
            w.process.wait()
        worlds[0].run(worlds[0].store.remove("spindle/lease/orders"))
        for w in worlds:
            w.start()
        for w in worlds:
            w.wait_ready()
        missed = ask_all(worlds, held)
        check("not served again: %s" % missed, not missed)
        check("orders: %d" % engine.orders, engine.orders == 0)
    finally:
        for w in worlds:
            w.stop()


def test_more_than_kept():
    """Names beyond those kept are counted: they take their places."""
    held = ["a%d" % (i + 1) for i in range(1100)]
    worlds, engine = start(len(held), held)
    try:
        missed = ask_all(worlds, ["a1", "b1", "b2"])
        check("not served: %s" % missed, not missed)
        check("%d adapters in %d places" % (engine.most, len(held)),
              engine.most <= len(held))
        check("logged", any(w.events("names-left-out") for w in worlds))
        check("counted", any(metric(
            w, "spindle_entry_names_left_out_total") for w in worlds))
    finally:
        for w in worlds:
            w.stop()


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:], globals()))
