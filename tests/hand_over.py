"""Tests of spindle-entry: what a holder of orders owes its successor.

Prints one line per test, and "result: N passed, N failed" at the end.
"""
import asyncio
import json
import signal
import sys
import threading
import time

from entry import check, main
from platform_world import World, answer_ok, default_config

LOADS_PER_S = 0.8
WINDOW_S = 5.0
LOADS_SLACK = 3   # loads beyond the rate, in each window
LOAD_S = 0.2
MODELS = 24
REPLICAS = 12
PROCESSES = 4
MODEL = "Arbutusspindle-Model"


def config():
    doc = default_config()
    doc["services"][0]["engine"] = {
        "slots": 6, "kv_capacity": 100000, "adapter_slots": 0,
        "weights_mb": 30, "loads_per_s": LOADS_PER_S, "stride": 1,
        "host_mb": 500, "disk_mb": 500,
        "models": [{"name": "m%d" % i, "weights_mb": 10, "load_s": LOAD_S,
                    "warm_s": LOAD_S, "disk_s": LOAD_S, "adapters": 0,
                    "adapter_mb": 0} for i in range(MODELS)]}
    return doc


class Engine:
    """A replica that loads what it is ordered to load."""

    def __init__(self, fleet, name):
        self.fleet, self.name = fleet, name
        self.sequence, self.fence, self.loading = 0, 0, ""
        self.models = []

    def listed(self):
        return {"models": [{"name": m, "version": 1, "adapters": []}
                           for m in self.models], "sequence": self.sequence}

    async def __call__(self, call):
        await call.read()
        if "/api/report" in call.line:
            return await call.answer(json.dumps(dict(
                self.listed(), stage="colocated", occupied=bool(self.loading),
                queued=0, in_flight=0, kv_used=0, kv_total=9, handles=0,
                born=1700000000000)).encode(), signed=False)
        if "/api/order" not in call.line:
            return await answer_later(call)
        o = json.loads(call.body)
        if o["fencing_token"] < self.fence:
            return await call.answer(b"{}", 412, signed=False)
        self.fence = o["fencing_token"]
        if self.loading or o["expected"] != self.sequence or \
                o["operation"] != "load":
            return await call.answer(b"{}", 409, signed=False)
        self.sequence += 1
        self.loading = o["model"]
        self.fleet.loads.append((time.monotonic(), o["holder"]))
        asyncio.ensure_future(self.load())
        return await call.answer(b"{}", 202, signed=False)

    async def load(self):
        await asyncio.sleep(LOAD_S)
        self.models.append(self.loading)
        self.loading = ""
        w = self.fleet.worlds[0]
        await w.store.put("servers/" + self.name,
                          w.entry_of(self.name, **self.listed()))


async def answer_later(call):
    await asyncio.sleep(0.05)
    return await call.answer()


class Fleet:
    """Processes at one store, and replicas that hold nothing."""

    def __init__(self):
        self.loads = []  # (when it began, holder)
        self.worlds = [World(config(), start=False)
                       for _ in range(PROCESSES)]
        first = self.worlds[0]
        first.run(first.store.put("op/config", first.config))
        for i in range(REPLICAS):
            first.replica("i-%d" % i, script=Engine(self, "i-%d" % i),
                          models=[])
        for w in self.worlds:
            w.store_port = first.store_port
            w.bounds = {"require_fence": True, "ceiling_window_s": WINDOW_S,
                        "burst_factor": 1.0}
            w.start()
        for w in self.worlds:
            w.wait_ready()
        self.ended = False
        self.callers = [threading.Thread(target=self.ask, args=(w, i))
                        for w in self.worlds for i in range(MODELS)]
        for t in self.callers:
            t.start()

    def ask(self, w, i):
        """Asks for a model as long as the process takes connections."""
        n = 0
        while not self.ended:
            n += 1
            try:
                w.call("/go/x", "id-%s-%d-%d" % (w.vm, i, n), "POST", b"o",
                       {MODEL: "m%d" % i}, deadline=1500)
            except OSError:
                return
            time.sleep(0.3)

    def holders(self):
        """The processes in the order in which they became the holder."""
        taken = [(e["wall"], w) for w in self.worlds
                 for e in w.events("cell-taken")]
        return [w for _, w in sorted(taken, key=lambda t: t[0])]

    def most_loads(self):
        """The most loads that began in a window."""
        at = [t for t, _ in self.loads]
        return max(sum(t <= u < t + WINDOW_S for u in at) for t in at)

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.ended = True
        for t in self.callers:
            t.join()
        for w in reversed(self.worlds):
            w.stop()


def test_loads_of_holders_that_stop_in_turn():
    """Guards against issue 42: a successor counts the loads of the holders
    before it."""
    with Fleet() as f:
        w = f.worlds[0]
        for n in range(1, PROCESSES):
            w.wait("holder %d" % n, lambda: len(f.holders()) >= n)
            holder = f.holders()[-1]
            at = time.monotonic()
            while time.monotonic() < at + 1.2:
                time.sleep(0.02)
            holder.process.send_signal(signal.SIGTERM)
        w.wait("last holder", lambda: len(f.holders()) == PROCESSES)
        last = f.holders()[-1]
        w.wait("its loads", lambda: any(
            h == last.vm for _, h in list(f.loads)), timeout=WINDOW_S + 5)
        most = int(LOADS_PER_S * WINDOW_S) + LOADS_SLACK
        check("%d loads in %g s, %d allowed: %s" % (
            f.most_loads(), WINDOW_S, most, [
                (round(t - f.loads[0][0], 2), h) for t, h in f.loads]),
            f.most_loads() <= most)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:], globals()))
