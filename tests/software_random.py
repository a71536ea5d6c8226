"""Random releases, losses and take-ups against three spindle-entry processes.

Streams begin at any process, break off at their replica or are left by their
caller, and are taken up again at any process, while replicas of up to three
versions come and go, processes are killed and started again, one or all, and
the key-value service is away for a time.  Oracle: no stream has events of two
versions.  Prints for each seed the share of new streams that began and of
take-ups that went on, and "result: N passed, N failed" at the end.

    python3 tests/software_random.py [--seeds 1-50] [--seconds 12]
"""
import argparse
import asyncio
import random
import re
import sys
import threading
import time

import entry
from limits import Fleet

EVENTS = 12
CALLERS = 6
TAKE_UPS = 4
REPLICAS = 6
CALM_S = 1.5     # after an operation, in which shares are not counted
WENT_ON_MIN = 0.5  # of the share of new streams, as the platform's pages say
COUNTED_MIN = 12


def writer(version, draw):
    """Writes events slowly; breaks some streams off."""
    async def script(call):
        await call.read()
        first = int(call.fields.get("last-event-id", 0)) + 1
        broken = first + draw.randrange(3, 30)
        call.writer.write(call.head(extra={
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked"}))
        for i in range(first, EVENTS + 1):
            if i == broken:
                call.writer.transport.abort()
                return False
            piece = b"id: %d\ndata: %s-%d\n\n" % (i, version.encode(), i)
            call.writer.write(b"%x\r\n%s\r\n" % (len(piece), piece))
            await call.writer.drain()
            await asyncio.sleep(0.03)
        call.writer.write(b"0\r\n\r\n")
        await call.writer.drain()
        return True
    return script


class Run:
    def __init__(self, seed, seconds):
        self.draw = random.Random(seed)
        self.fleet = Fleet(3)
        self.first = self.fleet.first
        self.ends_at = time.monotonic() + seconds
        self.disturbed_at = 0.0
        self.names = []      # of replicas, oldest first, with versions
        self.number = 0
        self.joined = []     # streams with events of two versions
        self.began = [0, 0]  # of new streams in calm: begun, all
        self.went_on = [0, 0]

    def add(self, version):
        name = "i-%d" % self.number
        self.number += 1
        self.first.replica(name, "plain", writer(version, random.Random(
            self.draw.random())), version=version, slots=30)
        self.names.append((name, version))

    def remove(self):
        name, _ = self.names.pop(0)
        self.first.run(self.first.store.remove("servers/" + name))

    def calm(self):
        return time.monotonic() > self.disturbed_at + CALM_S

    def operate(self):
        """One operation after the other, until the time is over."""
        version = 1
        while time.monotonic() < self.ends_at:
            time.sleep(self.draw.uniform(0.3, 2.5))
            what = self.draw.choice(
                ["release", "release", "kill", "kill all", "store"])
            if what == "release":
                version = version % 3 + 1
                for _ in range(self.draw.randrange(1, 5)):
                    self.add("v%d" % version)
                    self.remove()
                continue
            self.disturbed_at = time.monotonic()
            if what == "store":
                self.first.store.mode = "busy"
                time.sleep(self.draw.uniform(0.2, 1.5))
                self.first.store.mode = None
            else:
                self.kill(self.fleet.worlds if what == "kill all" else
                          [self.draw.choice(self.fleet.worlds)])
            self.disturbed_at = time.monotonic()

    @staticmethod
    def kill(worlds):
        for w in worlds:
            w.process.kill()
            w.process.wait()
        for w in worlds:
            w.start()
        for w in worlds:
            w.wait("ready again", w.ready, 20)

    def caller(self, number):
        draw = random.Random(number)
        n = 0
        while time.monotonic() < self.ends_at:
            self.stream(draw, "id-%d-%d" % (number, n))
            n += 1

    def attempt(self, draw, id, origin, last):
        """Returns whether it ended whole, and the events it brought."""
        fields = {"Last-Event-Id": str(last), "Resumes": origin} if last else {}
        leave = draw.random() < 0.4
        raw = b""
        try:
            s = draw.choice(self.fleet.worlds).connect()
            s.settimeout(3)
            s.sendall(entry.request("/go/x", id, "POST", b"p", fields))
            while b"\r\n0\r\n\r\n" not in raw:
                piece = s.recv(4096)
                if not piece:
                    break
                raw += piece
                if leave and raw.count(b"data: ") > 2:
                    break
                if raw.startswith(b"HTTP/1.1 503"):
                    break
            s.close()
        except OSError:
            pass
        return b"\r\n0\r\n\r\n" in raw and b" 200 " in raw[:16], [
            (v.decode(), int(i)) for v, i in
            re.findall(rb"data: (v\d)-(\d+)\n\n", raw)]

    def stream(self, draw, origin):
        seen = set()
        last = 0
        for n in range(TAKE_UPS):
            calm = self.calm()
            id = origin if n == 0 else "%s-%d" % (origin, n)
            whole, events = self.attempt(draw, id, origin, last)
            calm = calm and self.calm()
            if last == 0:
                self.count(self.began, calm, events)
            elif sum(v in seen for _, v in list(self.names)) >= 2:
                self.count(self.went_on, calm, events)
            seen |= {v for v, _ in events}
            if len(seen) > 1:
                self.joined.append((origin, sorted(seen)))
            last = max([last] + [i for _, i in events])
            # Without an event the next one begins a stream of its own.
            if last == 0:
                origin = "%s-again-%d" % (origin, n)
            if whole or last >= EVENTS:
                return
            time.sleep(0.05)

    @staticmethod
    def count(share, calm, events):
        if calm:
            share[0] += bool(events)
            share[1] += 1

    def play(self):
        self.fleet.start([])
        for _ in range(REPLICAS):
            self.add("v1")
        time.sleep(1.0)
        threads = [threading.Thread(target=self.caller, args=(i,))
                   for i in range(CALLERS)]
        for t in threads:
            t.start()
        try:
            self.operate()
        finally:
            self.ends_at = 0.0
            for t in threads:
                t.join()
            self.fleet.stop()

    def share_is_low(self):
        (begun, new), (went, again) = self.began, self.went_on
        return again >= COUNTED_MIN and \
            went / again < WENT_ON_MIN * begun / max(1, new)


def seeds_of(text):
    first, _, last = text.partition("-")
    return range(int(first), int(last or first) + 1)


def main():
    args = argparse.ArgumentParser()
    args.add_argument("--seeds", default="1-2")
    args.add_argument("--seconds", type=float, default=12.0)
    args = args.parse_args()
    failed = 0
    for seed in seeds_of(args.seeds):
        run = Run(seed, args.seconds)
        run.play()
        bad = bool(run.joined) or run.share_is_low()
        failed += bad
        print("seed %d: new streams %d of %d, taken up %d of %d, joined %s: %s"
              % (seed, *run.began, *run.went_on, run.joined[:5],
                 "FAILED" if bad else "ok"), flush=True)
    n = len(seeds_of(args.seeds))
    print("result: %d passed, %d failed" % (n - failed, failed))
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
