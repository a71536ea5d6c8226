"""All processes are killed and demand moves, with large revisions."""
import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
from world3 import HOST, Replica, play, trouble  # noqa: E402

FIRST = int(os.environ.get("FIRST", 1796670000000))
RECOVERY_S = 12
MODELS = ["daka51000%d" % i for i in range(8)]
BUSY, NEXT = MODELS[:2], MODELS[6:]  # the last two have no room at first
ENGINE = {"slots": 64, "kv_capacity": 146448, "stride": 2,
          "weights_mb": 230000, "adapter_slots": 8, "loads_per_s": 1.5,
          "models": [{"name": m, "weights_mb": 65100, "load_s": 2.2,
                      "adapters": 0, "adapter_mb": 12} for m in MODELS]}


async def clients(w, models, until):
    """Two requests a second at each machine; (sent, served)."""
    counts = [0, 0]

    async def one(n, model):
        counts[0] += 1
        status, _, _, whole = await w.ask(n, "/lohu930/2f", model)
        counts[1] += status == 200 and whole
    tasks = []
    i = 0
    while time.monotonic() < until:
        for n in (1, 2, 3):
            i += 1
            tasks.append(asyncio.ensure_future(one(n, models[i % 2])))
        await asyncio.sleep(0.5)
    await asyncio.gather(*tasks)
    return counts


async def case(w):
    await w.store.start("127.0.0.1")
    w.configure(3, [{
        "name": "describe", "host": HOST, "path_prefix": "/lohu930/",
        "service": "griffel", "kind": "streaming", "timeout_ms": 15000,
        "target_latency_ms": 600, "target_gap_ms": 300, "max_attempts": 2,
        "priority": 1, "resumable": True, "session_affinity": True}],
        [{"name": "griffel", "health_path": "/health", "max_conns": 370,
          "engine": ENGINE}])
    replicas = [Replica(w, "i-7f3a91c%d" % i, "griffel", ENGINE,
                        MODELS[i * 3:i * 3 + 3]) for i in range(2)]
    for r in replicas:
        await r.start("127.0.0.1")
    for n in (1, 2, 3):
        w.start(n)
    for n in (1, 2, 3):
        if not await w.ready(n):
            return False
    await asyncio.sleep(5)
    before = await clients(w, BUSY, time.monotonic() + 10)
    w.record("before: %d of %d served" % (before[1], before[0]))
    if before[1] * 4 < before[0]:
        return False
    if trouble():
        for n in (1, 2, 3):
            w.kill(n)
        await asyncio.sleep(1)
        for n in (1, 2, 3):
            w.processes[n].wait()
            w.start(n, first=False)
    for n in (1, 2, 3):
        if not await w.ready(n):
            return False
    w.record("demand moves on by two models")
    recovering = await clients(w, NEXT, time.monotonic() + RECOVERY_S)
    w.record("in the first %d s: %d of %d served" % (
        RECOVERY_S, recovering[1], recovering[0]))
    after = await clients(w, NEXT, time.monotonic() + 15)
    text = "later than %d s after: %d of %d served" % (
        RECOVERY_S, after[1], after[0])
    w.record(text)
    if after[1] * 4 < after[0]:
        w.broken("RECOVER", text)
    return True


play(case, os.path.join(HERE, "record.txt"), first_revision=FIRST, load_s=2.2)
