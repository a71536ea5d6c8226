"""Tests of spindle-entry: keys and quotas of client accounts.

Prints one line per test, and "result: N passed, N failed" at the end.
"""
import re
import signal
import sys
import threading
import time

import entry
from entry import check
from limits import Fleet
from platform_world import ID, World, answer_ok, default_config, route

KEY = "secret5f1c9e2a7d"
BEARER = {"Authorization": "Bearer " + KEY}
WINDOW_S = 4.0


def account(name, keys, rate=0, burst=0, **more):
    doc = {"name": name, "api_keys": keys, "unit": "tokens",
           "plain_tokens": 200, "rate_per_s": rate, "burst": burst}
    doc.update(more)
    return doc


def config(accounts, version=3):
    doc = default_config(version)
    doc["routes"].append(route("open", "/open/", "idempotent", public=True))
    for r in doc["routes"]:
        r.setdefault("public", False)
    doc["tenants"] = accounts
    return doc


def raw_call(w, lines):
    """One request with fields as given, which may be doubled."""
    s = w.connect()
    try:
        s.sendall(("\r\n".join(
            ["GET /read/x HTTP/1.1", "Host: shop.example", ID + ": raw"] +
            lines) + "\r\n\r\n").encode())
        return int(s.recv(4096).split(b" ")[1])
    finally:
        s.close()


def test_keys():
    """Guards against requests that are let through without a key of an
    account, and against keys that reach a replica or the log."""
    w = World(config([account("acme", [KEY], priority=2)]))
    try:
        r = w.replica("i-1")
        w.wait_ready()
        for what, fields in (
                ("none", []), ("unknown", ["Authorization: Bearer x" + KEY]),
                ("a part", ["Authorization: Bearer " + KEY[:-1]]),
                ("another case", ["Authorization: Bearer " + KEY.upper()]),
                ("another scheme", ["Authorization: Basic " + KEY]),
                ("no scheme", ["Authorization: " + KEY]),
                ("empty", ["Authorization: Bearer "]),
                ("empty field", ["Authorization:"]),
                ("two", ["Authorization: Bearer " + KEY] * 2),
                ("long", ["Authorization: Bearer " + KEY * 100])):
            check("401 for " + what, raw_call(w, fields) == 401)
        check("nothing passed on", not r.requests)
        status = w.call(fields=dict(
            BEARER, **{"Arbutusspindle-Tenant": "other"}))[0]
        check("200 with the key", status == 200)
        fields = r.requests[-1][1]
        check("account", fields.get("arbutusspindle-tenant") == "acme")
        check("no key at the replica", "authorization" not in fields)
        status = w.call("/open/x", fields=dict(
            BEARER, **{"Arbutusspindle-Tenant": "other"}))[0]
        check("public", status == 200)
        fields = r.requests[-1][1]
        check("no account", "arbutusspindle-tenant" not in fields)
        check("no key on a public route", "authorization" not in fields)
        w.ports["metrics"] = 9109
        text = w.get("metrics", "/metrics")[2].decode()
    finally:
        w.stop()
    check("no key in the log", KEY not in w.output)
    check("no key in the metrics", KEY not in text)


def test_account_on_every_attempt():
    """Guards against a repeat at a second replica that lacks the account, or
    has the key."""
    async def refuse(call):
        await call.read()
        return await call.answer(
            status=503, extra={"Arbutusspindle-Not-Executed": "1"})

    w = World(config([account("acme", [KEY])]))
    try:
        a, b = (w.replica("i-%d" % i, script=refuse) for i in (1, 2))
        w.wait_ready()
        w.wait("both listed", lambda: len(w.events("replica-listed")) >= 2)
        w.call(fields=BEARER, deadline=900)
        seen = [f for r in (a, b) for _, f, _ in r.requests]
        check("two attempts", len(seen) >= 2)
        for f in seen:
            check("account", f.get("arbutusspindle-tenant") == "acme")
            check("no key", "authorization" not in f)
    finally:
        w.stop()


def test_revocation():
    """Guards against keys that work after a configuration took them away,
    also on a kept connection, and against an account without keys."""
    w = World(config([account("acme", [KEY, "second"])]))
    try:
        w.replica("i-1")
        w.wait_ready()
        s = w.connect()
        check("before", w.call(fields=BEARER, sock=s)[0] == 200)
        w.run(w.store.put("op/config", config(
            [account("acme", ["second"])], 4)))
        w.wait("version 4", lambda: len(w.events("conf-in-force")) >= 2)
        check("revoked", w.call(fields=BEARER, sock=s)[0] == 401)
        check("the other one", w.call(
            fields={"Authorization": "Bearer second"})[0] == 200)
        w.run(w.store.put("op/config", config([account("acme", [])], 6)))
        w.wait("version 6", lambda: len(w.events("conf-in-force")) >= 3)
        check("no keys left", w.call(
            fields={"Authorization": "Bearer second"})[0] == 401)
        w.run(w.store.put("op/config", config(
            [account("new", [KEY])], 7)))
        w.wait("version 7", lambda: len(w.events("conf-in-force")) >= 4)
        check("moved to another account", w.call(fields=BEARER)[0] == 200)
    finally:
        w.stop()


class Counter:
    """The script of a replica that notes when it ran what for whom."""

    def __init__(self):
        self.ran = []  # (time, account, tokens)

    async def __call__(self, call):
        await call.read()
        if call.line.split()[1] == "/health":
            return await call.answer()
        tokens = sum(int(n) for n in call.fields.get(
            "arbutusspindle-token-count", "100,100").split(","))
        self.ran.append((time.monotonic(),
                         call.fields["arbutusspindle-tenant"], tokens))
        return await call.answer()

    def most(self, name):
        """Most tokens of an account in any window."""
        mine = [(t, n) for t, a, n in self.ran if a == name]
        return max((sum(n for u, n in mine if t <= u < t + WINDOW_S)
                    for t, _ in mine), default=0)

    def spent(self, name, since, until):
        return sum(n for t, a, n in self.ran
                   if a == name and since <= t < until)


class Accounts(Fleet):
    """Processes whose callers belong to two accounts, the first one hot."""
    RATE = 2000  # tokens a second of the first account

    def begin(self, counter):
        self.first.config = config([
            account("hot", ["hot-key"], self.RATE, self.RATE),
            account("calm", ["calm-key"], self.RATE, self.RATE)], 4)
        self.first.run(self.first.store.put(
            "op/config", self.first.config))
        self.start([counter])
        self.first.wait("accounts", lambda: all(
            "version=4" in str(w.events("conf-in-force"))
            for w in self.worlds), 20)
        time.sleep(4.0)  # until shares are lent, and buckets full
        return self

    def hammer(self, w, key, gap_s, tokens, until):
        while time.monotonic() < until:
            at = time.monotonic()
            try:
                status, fields, _, _ = w.call(
                    "/read/x", "id-%f" % at, deadline=2000, fields={
                        "Authorization": "Bearer " + key,
                        "Arbutusspindle-Token-Count": tokens})
            except OSError:
                status, fields = 0, {}
            self.answers.append((at, key, status, fields))
            time.sleep(max(0.0, at + gap_s - time.monotonic()))

    def load(self, for_s, worlds=None):
        """The hot account asks for many times its quota at each process."""
        self.ends_at = until = time.monotonic() + for_s
        for w in worlds or self.worlds:
            for key, gap_s, tokens in (("hot-key", 0.02, "150,50"),
                                       ("hot-key", 0.02, "150,50"),
                                       ("calm-key", 0.5, "100,20")):
                self.callers.append(threading.Thread(
                    target=self.hammer, args=(w, key, gap_s, tokens, until)))
                self.callers[-1].start()
        return self


def keeps_pool(w):
    """Whether a process gives out a part of all quotas."""
    w.ports["metrics"] = 9109
    text = w.get("metrics", "/metrics")[2].decode()
    return float(re.search(
        r"^spindle_entry_quota_share (\S+)", text, re.M).group(1)) > 0.0


def check_kept(c, f):
    allowed = (f.RATE * WINDOW_S + f.RATE) * 1.1 + 11000
    check("%d tokens in a window, %d allowed" % (c.most("hot"), allowed),
          c.most("hot") <= allowed)


def test_quota_over_processes():
    """Guards against quotas that each process grants anew, quota that goes
    unused, and a hot account that costs another one its own."""
    c, f = Counter(), Accounts(4)
    try:
        f.begin(c).load(8).wait()
        check_kept(c, f)
        spent = c.spent("hot", f.ends_at - WINDOW_S, f.ends_at)
        check("%d tokens used" % spent, spent >= 0.7 * f.RATE * WINDOW_S)
        for _, key, status, fields in f.answers:
            check("status %d of %s" % (status, key),
                  status == 200 or (status == 429 and key == "hot-key"))
            check("time to come back", status == 200 or
                  float(fields["retry-after"]) > 0)
        limited = [e for w in f.worlds for e in w.events("account-limited")]
        check("an operator sees it", limited and all(
            "account=hot" in e["detail"] for e in limited))
    finally:
        f.stop()


def test_quota_without_pools():
    """Guards against quotas that are granted twice, or not at all, as the
    processes that keep the pools are killed while the store is silent."""
    c, f = Counter(), Accounts(5)
    try:
        f.begin(c)
        pools = [w for w in f.worlds if keeps_pool(w)]
        check("%d pools" % len(pools), len(pools) == 2)
        f.load(12, [w for w in f.worlds if w not in pools])
        time.sleep(3.0)
        f.first.store.mode = "silent"
        for w in pools:
            w.process.send_signal(signal.SIGKILL)
        f.wait()
        check_kept(c, f)
        check("served at the end",
              c.spent("hot", f.ends_at - 3.0, f.ends_at) > 0)
    finally:
        f.stop()


def test_quota_changes():
    """Guards against a lowered quota that is not kept, and one that is taken
    away and goes on."""
    c, f = Counter(), Accounts(3)
    try:
        f.begin(c).load(14)
        time.sleep(2.0)
        low = config([account("hot", ["hot-key"], 400, 400),
                      account("calm", ["calm-key"])], 5)
        f.first.run(f.first.store.put("op/config", low))
        time.sleep(8.0)
        now = time.monotonic()
        spent = c.spent("hot", now - WINDOW_S, now)
        check("%d tokens at 400 a second" % spent,
              spent <= (400 * WINDOW_S + 400) * 1.1 + 11000)
        f.first.run(f.first.store.put("op/config", config(
            [account("hot", ["hot-key"]), account("calm", ["calm-key"])],
            6)))
        f.wait()
        late = [s for at, _, s, _ in f.answers if at > now + 2.0]
        check("no quota left", 200 in late and 429 not in late)
    finally:
        f.stop()


if __name__ == "__main__":
    sys.exit(entry.main(sys.argv[1:], globals()))
