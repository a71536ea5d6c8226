"""Replicas that limit the requests that they take from all processes."""
import asyncio
import time

from world import rng_for

WINDOW_S = 4.0
STABLE_S = 3.0  # from the first answer with a limit until it holds
GAP_S = (0.2, 1.0)
FOR_S = (8.0, 11.0)
LIMITS = (1, 2, 5)


class Limits:
    """What reaches replicas while they name a limit."""

    def __init__(self, world):
        self.world = world

    async def play(self, until):
        rng = rng_for(self.world.seed, "limits")
        while time.monotonic() < until:
            await asyncio.sleep(rng.uniform(*GAP_S))
            service = rng.choice(self.world.engines).service
            limited = [e for e in self.world.engines if e.service == service]
            if rng.random() < 0.3:
                limited = limited[:1]
            for engine in limited:
                engine.limited_at, engine.limited_born = None, engine.born
                engine.limited_arrivals = []
                engine.limit = rng.choice(LIMITS)
            left = min(until - time.monotonic(), rng.uniform(*FOR_S))
            await asyncio.sleep(max(0.0, left))
            for engine in limited:
                engine.limit = None

    def arrived(self, engine, call):
        """Checks a request at a replica; one of a process that is disturbed
        does not count."""
        now, vm = time.monotonic(), self.world.vm_of(call)
        if engine.limit is None or engine.born != engine.limited_born:
            return
        self.world.count("limited")
        engine.limited_at = engine.limited_at or now
        if vm is None or not vm.is_settled() or engine.link.mode != "pass":
            return
        since = max(engine.limited_at + STABLE_S, now - WINDOW_S)
        engine.limited_arrivals = [
            t for t in engine.limited_arrivals if t > since] + [now]
        if len(engine.limited_arrivals) > 1.5 * engine.limit * WINDOW_S + 5:
            self.world.violations.add(
                "more requests than a replica's limit",
                "%d in 4 s at %s, limit %d" % (
                    len(engine.limited_arrivals), engine.name, engine.limit))
