"""Replicas that say that they leave or take no requests, with the checks."""
import asyncio
import time

from world import NOT_RUN, rng_for

SIGNATURE = "arbutusspindle-response-signature"

DRAIN_S = 2.0        # until a process heeds that a replica leaves
REFUSAL_S = 0.5      # until it heeds that a replica takes no requests
REQUESTS_MOST = 2    # that reach such a replica all the same
GAP_S = (0.2, 1.0)


class Notices:
    """What replicas said of themselves to each process."""

    def __init__(self, world):
        self.world = world
        self.sent_at = {}   # id -> when its caller sent it
        self.said = {}      # (id, replica) -> its start, as it said leaving
        self.left = {}      # (vm, replica, start) -> when, by which process
        self.refusals = {}  # (vm, replica, start) -> [[from, until, n], ...]

    async def play(self, until):
        rng = rng_for(self.world.seed, "notices")
        tasks = []
        while time.monotonic() < until:
            await asyncio.sleep(rng.uniform(*GAP_S))
            engine = rng.choice(self.world.engines)
            if engine.unresponsive or engine.state != "ready" or engine.says:
                continue
            if rng.random() < 0.6:
                engine.refusing_until = time.monotonic() + rng.uniform(0.6, 3)
            else:
                tasks.append(asyncio.ensure_future(
                    self.leave(engine, rng.uniform(2.5, 4))))
        await asyncio.gather(*tasks)

    async def leave(self, engine, seconds):
        """It says so in its answers; its entry in the list stays ready."""
        born = engine.born
        engine.says = {"Server-Leaving": "1"}
        await asyncio.sleep(seconds)
        if engine.born != born or engine.unresponsive or \
                engine.state != "ready":
            return
        engine.crash()
        await self.world.store.remove("servers/" + engine.name)
        await asyncio.sleep(0.3)
        await engine.start()

    async def arrived(self, engine, call):
        """Checks a request at a replica; whether it was turned away."""
        now, vm = time.monotonic(), self.world.vm_of(call)
        key = (vm and vm.index, engine.name, engine.born)
        refusals = self.refusals.setdefault(key, [])
        for refusal in refusals if vm else ():
            since, until, _ = refusal
            if since + REFUSAL_S < now < until and not vm.paused and \
                    engine.link.mode == "pass" and \
                    since > max(vm.signaled_at, engine.link.reset_at):
                refusal[2] += 1
                if refusal[2] > REQUESTS_MOST:
                    self.world.violations.add(
                        "requests to a replica that takes none",
                        "%s at %s" % (call.id, engine.name))
        left = self.left.get(key)
        # A process that started since has not heard of it.
        if left is not None and vm.signaled_at < left[0] and \
                vm.process is left[1] and not vm.paused and \
                self.sent_at.get(call.id, 0) > left[0] + DRAIN_S:
            self.world.violations.add(
                "new request to a replica that says that it leaves",
                "%s at %s" % (call.id, engine.name))
        if engine.says:
            self.said[call.id, engine.name] = engine.born
        if now >= engine.refusing_until:
            return False
        refusals.append([now, engine.refusing_until, 0])
        self.world.count("turned away")
        await call.answer(b"", 503, {
            NOT_RUN: "1",
            "Retry-After": "%.3f" % (engine.refusing_until - now)},
            signed=False)
        return True

    def passed_on(self, vm, id, names):
        """A caller has received the head of an answer."""
        name = names.get(SIGNATURE, "").partition(".")[2]
        born = self.said.get((id, name))
        if names.get("server-leaving") == "1" and born is not None:
            self.world.count("leaving")
            self.left.setdefault((vm.index, name, born),
                                 (time.monotonic(), vm.process))
