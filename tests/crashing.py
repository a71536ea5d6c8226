"""Tests of spindle-entry: one request, sent again and again, crashes each
replica that begins to run it.

Prints one line per test, and "result: N passed, N failed" at the end.
"""
import asyncio
import collections
import sys
import threading
import time

from entry import check, main
from platform_world import World, request

DOWN_S = 1.5     # until a crashed replica is back
STABLE_S = 3.0   # from the third crash until few repeats are allowed
RETRIES_MAX = 3  # later than that
DEADLY = "/deadly?q=1"
PROMPT = "Arbutusspindle-Prompt-Prefix"


async def crashes(call):
    """A request for DEADLY ends the replica that begins to run it."""
    await call.read()
    if DEADLY not in call.line:
        await asyncio.sleep(0.02)
        if "/go/" in call.line:
            return await call.events(1, 3)
        return await call.answer()
    await asyncio.sleep(0.03)
    if "/go/" in call.line:
        call.writer.write(call.head(extra={
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked"}))
        await call.writer.drain()
        await asyncio.sleep(0.1)
    await call.replica.crash(DOWN_S)
    return False


class Fleet:
    """Processes that share replicas; requests are sent from threads."""

    def __init__(self, script, nreplicas=4, nprocesses=3):
        self.worlds = [World()]
        self.replicas = [self.worlds[0].replica("i-%d" % i, "plain", script)
                         for i in range(nreplicas)]
        for _ in range(nprocesses - 1):
            w = World(start=False)
            self.worlds.append(w)
            w.store_port = self.worlds[0].store_port
            w.start()
        for w in self.worlds:
            w.wait_ready()
            w.wait("listed", lambda w=w: len(
                w.events("replica-listed")) >= nreplicas)
        self.threads = []
        self.sent = 0

    def __enter__(self):
        return self

    def __exit__(self, *unused):
        for w in reversed(self.worlds):
            w.stop()

    def crashed_at(self):
        return sorted(t for r in self.replicas for t in r.crashed_at)

    def send(self, path, method, body, answers, fields=None):
        """Sends a request to the next process; its status goes to a list."""
        self.sent += 1
        w, id = self.worlds[self.sent % len(self.worlds)], "%016x" % (
            0xd0000 + self.sent)

        def run():
            try:
                answers.append(w.call(path, id, method, body, fields,
                                      deadline=1000)[0])
            except OSError:
                answers.append(0)
        self.threads.append(threading.Thread(target=run))
        self.threads[-1].start()

    def join(self):
        for t in self.threads:
            t.join()


def keeps_crashing(prefix, method, body=b"", fields=None):
    """The same request comes for ten seconds, beside sound ones."""
    with Fleet(crashes) as f:
        deadly, sound = [], []
        start = time.monotonic()
        step = 0
        while time.monotonic() < start + 10:
            if step % 5 == 0:
                f.send(prefix + DEADLY, method, body, deadly, fields)
            else:
                f.send("%s/sound-%d" % (prefix, step), method, body,
                       sound if time.monotonic() > start + 6 else [],
                       fields and {PROMPT: "aa01:100,bb01:100,%x:9" % step})
            step += 1
            time.sleep(0.05)
        f.join()
        times = f.crashed_at()
        check("it crashes replicas", times)
        third = (times[:3])[-1] if len(times) >= 3 else time.monotonic()
        late = [t for t in times if t > third + STABLE_S]
        check("%d of %d crashes late" % (len(late), len(times)),
              len(late) <= RETRIES_MAX)
        check("told to return later: %s" % deadly[-5:],
              set(deadly[-5:]) == {503})
        check("%d of %d sound ones served" % (sound.count(200), len(sound)),
              sound.count(200) == len(sound) > 0)


def test_request_keeps_crashing_replicas():
    keeps_crashing("/read", "GET")


def test_order_keeps_crashing_replicas():
    keeps_crashing("/once", "POST", b"an order")


def test_prompt_keeps_crashing_replicas():
    """A stream: the shared parts of its prompt are sound."""
    keeps_crashing("/go", "POST", b"p", {PROMPT: "aa01:100,bb01:100,cc01:9"})


def test_sound_request_outlives_crashes():
    """Replicas crash by themselves beside a request that many callers send
    again and again: it is served soon after."""
    async def script(call):
        await call.read()
        await asyncio.sleep(0.05)
        return await call.answer()
    with Fleet(script, nreplicas=6) as f:
        answers = []
        start = time.monotonic()
        step = 0
        while time.monotonic() < start + 6:
            if step in (20, 28, 36):
                r = f.replicas[step // 8 - 2]
                asyncio.run_coroutine_threadsafe(
                    r.crash(DOWN_S), f.worlds[0].loop)
            f.send("/read/popular", "GET", b"", answers)
            step += 1
            time.sleep(0.05)
        f.join()
        check("crashes", len(f.crashed_at()) == 3)
        check("%d of %d served" % (answers.count(200), len(answers)),
              answers.count(200) >= 0.9 * len(answers))
        check("none blocked",
              not any(w.events("poison-blocked") for w in f.worlds))


def outlives_crashes(answer, status):
    """Replicas crash by themselves beside a request that many callers send."""
    running = collections.Counter()

    async def script(call):
        await call.read()
        running[call.replica] += 1
        await asyncio.sleep(0.15)
        running[call.replica] -= 1
        return await answer(call)
    with Fleet(script, nreplicas=6) as f:
        answers = []
        for step in range(120):
            if step in (20, 40, 60):
                asyncio.run_coroutine_threadsafe(
                    max(running, key=running.get).crash(DOWN_S),
                    f.worlds[0].loop)
                running.clear()
            f.send("/read/popular", "GET", b"", answers)
            time.sleep(0.05)
        f.join()
        check("crashes", len(f.crashed_at()) == 3)
        check("none blocked",
              not any(w.events("poison-blocked") for w in f.worlds))
        check("%d of %d answered" % (answers.count(status), len(answers)),
              answers.count(status) >= 0.9 * len(answers))


def test_unknown_path_outlives_crashes():
    """Guards against 404 that does not count as an answer."""
    outlives_crashes(lambda call: call.answer(status=404), 404)


def test_closed_answer_outlives_crashes():
    """The same with answers that end with their connection."""
    async def answer(call):
        call.writer.write(call.head(extra={"Connection": "close"}) + b"whole")
        await call.writer.drain()
        return False
    outlives_crashes(answer, 200)


def test_crash_after_caller_left():
    """The callers leave before the replica crashes."""
    async def script(call):
        await call.read()
        if DEADLY not in call.line:
            return await call.answer()
        await asyncio.sleep(0.08)
        await call.replica.crash(DOWN_S)
        return False
    with Fleet(script) as f:
        start = time.monotonic()
        while time.monotonic() < start + 10:
            f.sent += 1
            w = f.worlds[f.sent % len(f.worlds)]
            s = w.connect()
            s.sendall(request("/read" + DEADLY, "%016x" % f.sent))
            time.sleep(0.04)
            s.close()
            time.sleep(0.21)
        times = f.crashed_at()
        third = (times[:3])[-1] if len(times) >= 3 else time.monotonic()
        late = [t for t in times if t > third + STABLE_S]
        check("it crashes replicas", times)
        check("%d of %d crashes late" % (len(late), len(times)),
              len(late) <= RETRIES_MAX)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:], globals()))
