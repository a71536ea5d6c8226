"""Tests of spindle-entry: limits that replicas name on their requests.

Several processes serve callers; a replica counts what reaches it from all of
them.  Prints one line per test, and "result: N passed, N failed" at the end.
"""
import sys
import threading
import time

import entry
from entry import check
from platform_world import World, answer_ok

WINDOW_S = 4.0
# From the first answer that names a limit until the limit holds.
STABLE_S = 3.0
RATE = 8  # requests a second of the callers of each process


def most_in_window(times, since):
    """Most arrivals in any window that begins after a time."""
    times = [t for t in times if t >= since]
    return max((sum(1 for u in times if t <= u < t + WINDOW_S)
                for t in times), default=0)


class Limited:
    """The script of a replica that names a limit, or none, and counts."""

    def __init__(self, limit):
        self.limit = limit
        self.arrived, self.named_at = [], None

    async def __call__(self, call):
        self.arrived.append(time.monotonic())
        await call.read()
        if self.limit is None:
            return await call.answer()
        self.named_at = self.named_at or time.monotonic()
        return await call.answer(extra={"Server-Limit": "%g" % self.limit})

    def check_kept(self):
        most = most_in_window(self.arrived, self.named_at + STABLE_S)
        allowed = 1.5 * self.limit * WINDOW_S + 5
        check("%d requests in 4 s, %g allowed" % (most, allowed),
              most <= allowed)


class Fleet:
    """Entry processes in two data centres, and callers of each."""

    def __init__(self, n):
        self.first = World(zone="a")
        self.worlds = [self.first] + [
            World(start=False, zone="ab"[i % 2]) for i in range(1, n)]
        self.answers = []  # (sent at, ended at, status, fields)
        self.ends_at = 0.0
        self.callers = []

    def start(self, scripts):
        for o in self.worlds[1:]:
            o.store_port = self.first.store_port
            o.start()
        for i, script in enumerate(scripts):
            self.first.replica("i-%d" % i, "plain", script, zone="ab"[i % 2])
        self.first.wait("ready and listed", lambda: all(
            o.ready() and len(o.events("replica-listed")) >= len(scripts)
            for o in self.worlds), 20)
        time.sleep(1.0)  # for the processes to know each other
        return self

    def call(self, for_s, rate=RATE):
        """Callers that do not wait for each other, at each process."""
        self.ends_at = time.monotonic() + for_s
        for k, w in enumerate(self.worlds):
            for i in range(rate):
                self.callers.append(threading.Thread(
                    target=self.caller, args=(w, "%d-%d" % (k, i))))
                self.callers[-1].start()
        return self

    def caller(self, w, name):
        n = 0
        while time.monotonic() < self.ends_at:
            at = time.monotonic()
            try:
                status, fields, _, _ = w.call(
                    "/read/x", "id-%s-%d" % (name, n), deadline=2000)
            except OSError:
                status, fields = 0, {}
            self.answers.append((at, time.monotonic(), status, fields))
            n += 1
            time.sleep(max(0.0, at + 1.0 - time.monotonic()))

    def wait(self):
        for t in self.callers:
            t.join()
        return self

    def served(self, since):
        return sum(1 for at, _, status, _ in self.answers
                   if at >= since and status == 200)

    def stop(self):
        self.wait()
        for o in self.worlds[1:]:
            o.stop()
        self.first.stop()


def test_limited_replica_gets_requests():
    """The only replica names a limit: all processes together keep it, what it
    takes is served, and the others are refused with a time to come back."""
    a = Limited(4)
    f = Fleet(5)
    try:
        f.start([a]).call(12).wait()
        a.check_kept()
        since = a.named_at + STABLE_S
        served = f.served(since)
        check("%d served" % served,
              served >= 0.5 * a.limit * (f.ends_at - since))
        for _, _, status, fields in f.answers:
            check("status %d" % status, status in (200, 503))
            check("time to come back",
                  status == 200 or float(fields["retry-after"]) > 0)
    finally:
        f.stop()


def test_limited_beside_others():
    """Another replica has room for what is beyond the limit: all served."""
    a = Limited(4)
    f = Fleet(5)
    try:
        f.start([a, answer_ok]).call(10).wait()
        a.check_kept()
        late = [status for _, _, status, _ in f.answers if status != 200]
        check("not served: %s" % late, not late)
    finally:
        f.stop()


def test_limit_in_large_fleet():
    """The limit is below one request a second for each of 20 processes."""
    a = Limited(4)
    f = Fleet(20)
    try:
        f.start([a]).call(12, rate=2).wait()
        a.check_kept()
        since = a.named_at + STABLE_S
        served = f.served(since)
        check("%d served" % served,
              served >= 0.5 * a.limit * (f.ends_at - since))
    finally:
        f.stop()


if __name__ == "__main__":
    sys.exit(entry.main(sys.argv[1:], globals()))
