"""Client accounts: keys that change, a quota, callers that exceed it, and
callers that do not finish what they send."""
import asyncio
import time

from world import rng_for
from platform_world import request

WINDOW_S = 8.0
RATE = 2000        # tokens a second of the account with a quota
OVERAGE, SLACK = 0.1, 11000
REVOKE_S = 2.5     # until a key that was taken away is refused
BOUNDS = {"quota_window_s": WINDOW_S, "quota_overage": OVERAGE,
          "quota_slack": SLACK}
ALLOWED = (RATE * WINDOW_S + RATE) * (1 + OVERAGE) + SLACK


class Accounts:
    """Who may send what; the account "main" has no quota."""

    def __init__(self, world):
        self.world = world
        self.generation = 1
        self.changed_at = time.monotonic()
        self.accounts = {}  # id -> account, None for a key of nobody
        self.keys = {}      # id -> generation of its key
        self.hot = []       # (time, tokens) that ran

    def declare(self):
        """Keys of two generations: callers have the older one."""
        return [{"name": name, "unit": "tokens", "plain_tokens": 200,
                 "rate_per_s": rate, "burst": rate, "api_keys": [
                     "%s-%d" % (name, self.generation + i) for i in (0, 1)]}
                for name, rate in (("main", 0), ("hot", RATE))]

    def change_keys(self):
        """No sooner than all have applied the change before."""
        if time.monotonic() < self.changed_at + 2 * REVOKE_S:
            return
        self.generation += 1
        self.changed_at = time.monotonic()

    def fields(self, id, account="main", behind=0):
        self.accounts[id] = account if behind == 0 else None
        self.keys[id] = self.generation - behind
        return {"Authorization": "Bearer %s-%d" % (
                    account, self.generation - behind),
                "Arbutusspindle-Tenant": "forged"}

    def check_refusal(self, id):
        """A 401 for a key that all configurations hold which may be in force
        at a process that is in touch.  A key may be taken away while a slow
        caller still sends its body."""
        vm = self.world.vms[int(id.partition("-")[0])]
        if self.keys[id] == self.generation and vm.is_settled():
            self.world.violations.add("401 for a valid key", id)

    def executed(self, call):
        """Checks a request at a replica."""
        violations, now = self.world.violations, time.monotonic()
        account = self.accounts.get(call.id)
        if account is None:
            violations.add("request executed without a key", call.id)
        elif call.fields.get("arbutusspindle-tenant") != account or \
                "authorization" in call.fields:
            violations.add("account wrong, or key passed on", call.id)
        if account != "hot":
            return
        self.hot = [(t, n) for t, n in self.hot if t > now - WINDOW_S]
        self.hot.append((now, 200))
        self.world.count("hot")
        spent = sum(n for _, n in self.hot)
        if spent > ALLOWED:
            violations.add("more tokens than an account's quota",
                           "%d in 8 s" % spent)

    async def play(self, until):
        await asyncio.gather(self.exceed(until), self.use_old_keys(until),
                             self.leave_unfinished(until))

    async def send(self, rng, vm, account, behind):
        id = self.world.new_id(vm)
        self.world.sent_requests[id] = ("read", b"")
        self.world.notices.sent_at[id] = time.monotonic()
        raw = request("/read/x", id, deadline=2000,
                      fields=self.fields(id, account, behind))
        try:
            await asyncio.wait_for(self.world.exchange(
                vm, raw, id, "read", False, rng), 4)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            pass

    async def exceed(self, until):
        rng = rng_for(self.world.seed, "hot account")
        while time.monotonic() < until:
            await asyncio.gather(*(
                self.send(rng, rng.choice(self.world.vms), "hot", 0)
                for _ in range(4)))
            await asyncio.sleep(0.1)

    async def use_old_keys(self, until):
        """Keys of the generation before are of no configuration that is in
        force once the latest change has been applied."""
        rng = rng_for(self.world.seed, "old keys")
        while time.monotonic() < until:
            await asyncio.sleep(rng.uniform(0.05, 0.2))
            vm = rng.choice(self.world.vms)
            if time.monotonic() > self.changed_at + REVOKE_S and \
                    self.generation > 1 and vm.is_settled():
                self.world.count("old key")
                await self.send(rng, vm, "main", 1)

    async def leave_unfinished(self, until):
        rng = rng_for(self.world.seed, "unfinished")
        open_ones = []
        while time.monotonic() < until:
            vm = rng.choice(self.world.vms)
            try:
                _, writer = await asyncio.open_connection(
                    vm.ip, vm.ports["front"])
                writer.write(b"POST /once/x HTTP/1.1\r\nHost: shop.example\r\n"
                             b"Transfer-Encoding: chunked\r\n\r\n4000\r\n" +
                             b"x" * 16384)
                open_ones.append(writer)
            except OSError:
                pass
            await asyncio.sleep(rng.uniform(0.05, 0.3))
        for writer in open_ones:
            writer.transport.abort()
