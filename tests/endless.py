"""Tests of spindle-entry: bytes without end from replicas and the store.

Each stand-in writes until its peer closes.  A bounded part is read, the
connection is closed, the caller gets the true outcome, and memory stays flat.
Prints one line per test, and "result: N passed, N failed" at the end.
"""
import re
import sys
import time

import entry
from entry import check, two_replicas
from platform_world import World, default_config, request, route

BLOCK = b"x" * 65536
READ_MAX = 12 << 20    # bytes that a stand-in may get rid of
MEMORY_MAX_KB = 60000
CLOSED_WITHIN_S = 3.0  # of a caller's 5 s


class Flood:
    """Writes a beginning, and then a block again and again."""

    def __init__(self, begin, block=BLOCK):
        self.begin, self.block = begin, block
        self.sent, self.closed_at = 0, None
        self.started_at = None

    async def __call__(self, call):
        await call.read()
        self.started_at = time.monotonic()
        try:
            call.writer.write(self.begin(call) if callable(self.begin)
                              else self.begin)
            while self.sent < 4 * READ_MAX:
                call.writer.write(self.block)
                await call.writer.drain()
                self.sent += len(self.block)
        except ConnectionError:
            pass
        self.closed_at = time.monotonic()
        return False


def chunked(call, rest=b"", **kw):
    return call.head(extra={"Transfer-Encoding": "chunked"}, **kw) + rest


def floods():
    """Name and flood, for a request that may run twice."""
    head = b"HTTP/1.1 200 OK\r\n"
    chunk = b"10000\r\n" + BLOCK + b"\r\n"
    return {
        "status line": Flood(b"HTTP/1.1 200 "),
        "field name": Flood(head),
        "field value": Flood(head + b"X-A: "),
        "fields": Flood(head, b"X-A: b\r\n" * 8192),
        "interim responses": Flood(b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 999),
        "chunk size": Flood(chunked, b"0" * 65536),
        "chunk extension": Flood(lambda c: chunked(c, b"5;")),
        "trailers": Flood(lambda c: chunked(c, b"1\r\nx\r\n0\r\n"),
                          b"X-A: b\r\n" * 8192),
        "body without length": Flood(lambda c: c.head()),
        "chunked body": Flood(chunked, chunk),
        "unsigned body": Flood(lambda c: chunked(c, signed=False), chunk),
        "response of another request": Flood(
            lambda c: chunked(c, id="id-of-another"), chunk),
        "no HTTP": Flood(b"\x00\x01"),
    }


def memory_kb(w):
    with open("/proc/%d/status" % w.process.pid) as f:
        return int(re.search(r"VmHWM:\s+(\d+)", f.read()).group(1))


def check_bounded(w, name, flood):
    w.wait(name + ": closed", lambda: flood.closed_at is not None, 6)
    took = flood.closed_at - flood.started_at
    check("%s: closed after %.1f s" % (name, took), took < CLOSED_WITHIN_S)
    check("%s: %d bytes" % (name, flood.sent), flood.sent < READ_MAX)
    kb = memory_kb(w)
    check("%s: %d KB at most" % (name, kb), kb < MEMORY_MAX_KB)


def test_replica_idempotent():
    """An idempotent request is answered by another replica."""
    for name, flood in floods().items():
        w, _, b = two_replicas(flood)
        try:
            status, _, body, _ = w.call("/read/x", "id-1")
            check("%s: %d" % (name, status), (status, body) == (200, b"whole"))
            check(name + ": one attempt", len(b.requests) == 1)
            check_bounded(w, name, flood)
        finally:
            w.stop()


def test_replica_non_idempotent():
    """A non-idempotent request is not repeated nor said not to have run."""
    for name, flood in floods().items():
        w, _, b = two_replicas(flood)
        try:
            status = w.call("/once/x", "id-1", "POST", b"o")[0]
            check("%s: %d" % (name, status), status == 502)
            check(name + ": ran once", not b.requests)
            check_bounded(w, name, flood)
        finally:
            w.stop()


def test_replica_not_executed():
    """What a replica says it did not run goes to another one."""
    flood = Flood(lambda c: c.head(503, {
        "Arbutusspindle-Not-Executed": "1",
        "Transfer-Encoding": "chunked"}), b"10000\r\n" + BLOCK + b"\r\n")
    w, _, b = two_replicas(flood)
    try:
        check("200", w.call("/once/x", "id-1", "POST", b"o")[0] == 200)
        check("ran elsewhere", len(b.requests) == 1)
        check_bounded(w, "not executed", flood)
    finally:
        w.stop()


def test_event_without_end():
    """A stream goes on elsewhere after the events that were whole."""
    piece = b"id: 1\ndata: piece-1\n\n"

    async def rest(call):
        await call.read()
        return await call.events(
            int(call.fields.get("last-event-id", 0)) + 1, 3)
    flood = Flood(lambda c: c.head(extra={
        "Content-Type": "text/event-stream",
        "Transfer-Encoding": "chunked"}) + b"%x\r\n%s\r\n" % (
            len(piece), piece) + b"7\r\ndata: y\r\n",
        b"10000\r\n" + BLOCK + b"\r\n")
    w, _, _ = two_replicas(flood, rest, config=dict(
        default_config(), routes=[route("go", "/go/", "streaming",
                                        resumable=True, max_attempts=2)]))
    try:
        status, _, body, whole = w.call("/go/x", "id-1", "POST", b"p")
        check("whole stream", (status, whole) == (200, True))
        check("each event once",
              re.findall(rb"data: (\S+)", body) ==
              [b"piece-1", b"piece-2", b"piece-3"])
        check_bounded(w, "event", flood)
    finally:
        w.stop()


def test_stalled_stream():
    """A stream that gets a byte now and then ends at its deadline, as broken
    off; one that is slow but sound is not cut."""
    import asyncio

    async def trickle(call):
        await call.read()
        await call.events(1, 1, end=False)
        for _ in range(200):
            call.writer.write(b"1\r\n:\r\n")
            await call.writer.drain()
            await asyncio.sleep(0.05)
        return False

    async def slow(call):
        await call.read()
        return await call.events(1, 6, gap=0.4)
    config = dict(default_config(), routes=[
        route("go", "/go/", "streaming", timeout_ms=1500),
        route("slow", "/slow/", "streaming", timeout_ms=5000)])
    w, a, _ = two_replicas(trickle, config=config)
    try:
        s = w.connect()
        start = time.monotonic()
        s.sendall(request("/go/x", "id-1", "POST", b"p"))
        text = b""
        try:
            while True:
                piece = s.recv(4096)
                if not piece:
                    break
                text += piece
        except ConnectionError:
            pass
        took = time.monotonic() - start
        check("ended after %.1f s" % took, 1.3 < took < 2.5)
        check("not as complete", not text.endswith(b"0\r\n\r\n"))
        a.script = slow
        status, _, body, whole = w.call("/slow/x", "id-2", "POST", b"p")
        check("slow stream whole", (status, whole, body.count(b"id: ")) ==
              (200, True, 6))
    finally:
        w.stop()


def test_store():
    """A response of the store without end counts as none."""
    w = World()
    try:
        w.wait_ready()
        before = len(w.store.calls)
        w.store.mode = "endless"
        w.store.cut()
        w.wait("calls again", lambda: len(w.store.calls) > before + 3, 10)
        kb = memory_kb(w)
        check("%d KB at most" % kb, kb < MEMORY_MAX_KB)
        w.store.mode = ""
        w.replica("i-c")
        w.wait("listed", lambda: w.events("replica-listed"), 8)
    finally:
        w.stop()


if __name__ == "__main__":
    sys.exit(entry.main(sys.argv[1:], globals()))
