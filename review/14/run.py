"""Rare adapters are asked for at once, on replicas with 40 places for them."""
import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
from world3 import HOST, Replica, play, trouble  # noqa: E402

PLACES, ADAPTERS, USUAL = int(os.environ.get("PLACES", 40)), 96, 12
ENGINE = {"slots": 64, "kv_capacity": 146448, "stride": 2,
          "weights_mb": 230000, "adapter_slots": PLACES, "loads_per_s": 1.5,
          "models": [{"name": "daka510000", "weights_mb": 65100,
                      "load_s": 2.2, "adapters": ADAPTERS,
                      "adapter_mb": 12}]}


async def client(w, machine, number, count):
    """Asks for adapters one after another; comes back after a refusal."""
    for i in range(count):
        model = "daka510000/a%d" % (number(i) + 1)
        end = time.monotonic() + 10
        while time.monotonic() < end and not w.breaks:
            status, fields, _, _ = await w.ask(machine, "/lohu930/2f", model)
            if status != 503:
                break
            await asyncio.sleep(float(fields.get("retry-after", "0.3")))


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
                        ["daka510000"]) for i in range(2)]
    for r in replicas:
        await r.start("127.0.0.1")
    for n in (1, 2, 3):
        w.start(n)
    for n in (1, 2, 3):
        if not await w.ready(n):
            return False
    await asyncio.sleep(4)
    work = [client(w, n, lambda i, n=n: (7 * i + n) % USUAL, 30)
            for n in (1, 2, 3)]
    if trouble():
        # A burst for rare adapters: each once, of six clients, in some seconds.
        work += [client(w, 1 + c % 3,
                        lambda i, c=c: USUAL + c * 14 + i, 14)
                 for c in range(6)]
    await asyncio.gather(*work)
    for r in replicas:
        w.record("%s held %d adapters at most, of %d places" % (
            r.name, r.most_adapters, PLACES))
    return True


play(case, os.path.join(HERE, "record.txt"))
