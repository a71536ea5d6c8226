"""Tests of spindle-entry: what a stop owes requests, by how far they are.

Prints one line per test, and "result: N passed, N failed" at the end.
"""
import asyncio
import re
import signal
import socket
import sys
import time

from entry import FAR, check, main, patient_world
from platform_world import (ID, SIGNATURE, answer_ok, default_config,
                            read_answer, request, route)

GRACE_S = 4.0        # grace_s of the settings
START_BY_S = 2.6     # after SIGTERM; later requests must be able to end
KEPT = {"idle_timeout_ms": 15000, "header_timeout_ms": 15000}


class Stopped:
    """A world whose process gets SIGTERM; times are seconds since then."""

    def __init__(self, script, slots=100):
        self.w, self.replica = patient_world(script, slots=slots, **KEPT)
        self.since = 0.0

    def stop(self):
        self.w.process.send_signal(signal.SIGTERM)
        self.since = time.monotonic()
        self.w.wait("stopping", lambda: self.w.events("stopping"))

    def sleep_until(self, at):
        time.sleep(max(self.since + at - time.monotonic(), 0))

    def ids(self):
        """Ids of the requests that have reached the replica."""
        return [fields[ID.lower()] for _, fields, _ in self.replica.requests]

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.w.stop()


async def works_on(call):
    """Streams last until 2.9 s after SIGTERM, requests longer than a stop."""
    await call.read()
    if "/go/" in call.line:
        return await call.events(1, 32, gap=0.1)
    await asyncio.sleep(GRACE_S)
    return await call.answer()


def stream_kept_open(t):
    """A connection on which a stream ends 2.7 to 3.2 s after SIGTERM."""
    s = t.w.connect()
    s.sendall(request("/go/x", "id-1", "POST", b"p", deadline=FAR))
    s.recv(1, socket.MSG_PEEK)  # the head is sent before SIGTERM
    t.stop()
    status, fields, body, whole = read_answer(s)
    check("stream", (status, whole) == (200, True))
    check("kept", fields.get("connection", "").lower() != "close")
    check("late", START_BY_S < time.monotonic() - t.since < GRACE_S - 0.5)
    return s


def test_sigterm_order_on_kept_connection():
    """An order sent on a kept connection late in a stop, which can outlast
    the process, is refused and not run."""
    with Stopped(works_on) as t:
        s = stream_kept_open(t)
        s.sendall(request("/once/x", "id-2", "POST", b"o", deadline=1500))
        status, fields, _, whole = read_answer(s)
        check("refused: %d" % status, (status, whole) == (503, True))
        check("Retry-After", "retry-after" in fields)
        check("not run", t.ids() == ["id-1"])


def test_sigterm_order_read_late():
    """The same for an order whose chunked body ends late in a stop."""
    with Stopped(works_on) as t:
        s = t.w.connect()
        s.sendall(request("/once/x", "id-1", "PUT", deadline=6000, fields={
            "Transfer-Encoding": "chunked"}) + b"3\r\nabc\r\n")
        t.stop()
        t.sleep_until(3.2)
        s.sendall(b"0\r\n\r\n")
        status, _, _, whole = read_answer(s)
        check("refused: %d" % status, (status, whole) == (503, True))
        check("not run", t.ids() == [])


def test_sigterm_short_order_late():
    """An order that comes late in a stop, and whose deadline is before its
    end, is served."""
    async def quick(call):
        await call.read()
        if "/go/" in call.line:
            return await call.events(1, 32, gap=0.1)
        return await call.answer()
    with Stopped(quick) as t:
        s = stream_kept_open(t)
        s.sendall(request("/once/x", "id-2", "POST", b"o", deadline=150))
        status, _, body, whole = read_answer(s)
        check("served: %d" % status,
              (status, body, whole) == (200, b"whole", True))


def test_sigterm_sent_requests_at_the_end():
    """Requests at a replica that outlast a stop are told that their outcome
    is unknown; their connections are not just closed."""
    with Stopped(works_on) as t:
        socks = {}
        for path in ("/once/x", "/read/x"):
            socks[path] = t.w.connect()
            socks[path].sendall(request(path, "id" + path[:3].replace(
                "/", "-"), "POST", b"o", deadline=FAR))
        t.w.wait("at the replica", lambda: len(t.ids()) == 2)
        t.stop()
        for path, s in socks.items():
            status, fields, _, whole = read_answer(s)
            check("%s unknown: %d" % (path, status),
                  (status, whole) == (502, True))
            check("own answer", SIGNATURE.lower() not in fields)


def test_sigterm_silent_stream_at_the_end():
    """The same for a stream without its first event."""
    async def silent(call):
        await call.read()
        await asyncio.sleep(GRACE_S + 1)
        return False
    with Stopped(silent) as t:
        s = t.w.connect()
        s.sendall(request("/tell/x", "id-1", "POST", b"p", deadline=FAR))
        t.w.wait("at the replica", t.ids)
        t.stop()
        status, _, _, whole = read_answer(s)
        check("unknown: %d" % status, (status, whole) == (502, True))


def test_sigterm_half_read_request_at_the_end():
    """A request of which only a part came until the end of a stop is refused."""
    with Stopped(answer_ok) as t:
        s = t.w.connect()
        s.sendall(request("/once/x", "id-1", "POST", b"order")[:-2])
        t.stop()
        status, fields, _, whole = read_answer(s)
        check("refused: %d" % status, (status, whole) == (503, True))
        check("Retry-After", "retry-after" in fields)
        check("not run", t.ids() == [])


def test_sigterm_pipelined_request_beside_tick():
    """A request that was received during a stream is answered, though the tick
    of a stop that closes idle connections is due as the stream ends.  Large
    configurations delay the event loop, so that both often coincide."""
    async def script(call):
        await call.read()
        if "/go/" not in call.line:
            return await call.answer()
        await call.events(1, 1, end=False)
        number = int(call.id[2:])
        while t.since == 0.0 or \
                time.monotonic() < t.since + 2.7 + 0.008 * number:
            await asyncio.sleep(0.002)
        call.writer.write(b"0\r\n\r\n")
        await call.writer.drain()
        return True
    with Stopped(script) as t:
        socks = [t.w.connect() for _ in range(60)]
        for i, s in enumerate(socks):
            s.sendall(request("/go/x", "go%d" % i, "POST", b"p", deadline=FAR))
        t.w.wait("at the replica", lambda: len(t.ids()) == len(socks))
        time.sleep(0.3)
        for i, s in enumerate(socks):
            s.sendall(request("/read/x", "id%d" % i, deadline=300))
        t.stop()
        t.sleep_until(2.65)
        for version in range(10, 16):
            config = default_config(version, **KEPT)
            config["routes"] += [
                route("more-%d" % i, "/more/%d/" % i, "idempotent")
                for i in range(4000)]
            t.w.run(t.w.store.put("op/config", config))
            time.sleep(0.1)
        lost = []
        for i, s in enumerate(socks):
            text = b""
            while more := s.recv(65536):
                text += more
            answer = text.partition(b"\r\n0\r\n\r\n")[2]
            if not re.match(rb"HTTP/1.1 (200|503) ", answer) or \
                    b"id%d" % i not in answer:
                lost.append((i, answer))
        check("answered, but for %s" % lost, not lost)


def test_sigterm_answer_unread_at_the_end():
    """An answer that its caller begins to read at the very end of a stop is
    whole, if it is read within grace_s."""
    async def large(call):
        await call.read()
        return await call.answer(b"x" * 3000000)
    with Stopped(large) as t:
        s = socket.socket()
        s.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        s.settimeout(10)
        s.connect((t.w.ip, t.w.ports["front"]))
        s.sendall(request("/read/x", "id-1"))
        t.w.wait("at the replica", t.ids)
        t.stop()
        t.sleep_until(GRACE_S - 0.35)
        s.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 22)
        status, _, body, whole = read_answer(s)
        check("%d: %d bytes" % (status, len(body)),
              (status, whole) == (200, True))


def test_sigterm_answer_unread_beside_input():
    """An answer that the kernel holds for a slow caller is whole, though the
    caller sends another request once nothing else is in progress."""
    async def large(call):
        await call.read()
        return await call.answer(b"x" * 400000)
    with Stopped(large) as t:
        s = socket.socket()
        s.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        s.settimeout(10)
        s.connect((t.w.ip, t.w.ports["front"]))
        s.sendall(request("/read/x", "id-1"))
        t.w.wait("answered", lambda: t.w.events("request-attempt"))
        t.stop()
        t.sleep_until(3.0)
        s.sendall(request("/read/x", "id-2"))
        time.sleep(0.1)
        s.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 22)
        status, _, body, whole = read_answer(s)
        check("%d: %d bytes" % (status, len(body)),
              (status, whole) == (200, True))


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:], globals()))
