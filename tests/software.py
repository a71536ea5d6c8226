"""Tests of spindle-entry: streams while replicas of several versions of their
software serve.

What two versions write does not fit together.  Each stand-in names its version
in every event, so that a joined stream shows.  Prints one line per test, and
"result: N passed, N failed" at the end.
"""
import re
import sys
import time

import entry
from entry import check
from platform_world import World

STREAMS = 12


def writer(version, breaks_after=3, last=6):
    """Breaks each stream off after some events; goes on after the last one."""
    async def script(call):
        await call.read()
        first = int(call.fields.get("last-event-id", 0)) + 1
        end = last if first > 1 else breaks_after
        call.writer.write(call.head(extra={
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked"}))
        for i in range(first, end + 1):
            piece = b"id: %d\ndata: %s-%d\n\n" % (i, version.encode(), i)
            call.writer.write(b"%x\r\n%s\r\n" % (len(piece), piece))
        await call.writer.drain()
        if end < last:
            call.writer.transport.abort()
            return False
        call.writer.write(b"0\r\n\r\n")
        await call.writer.drain()
        return True
    return script


def versions(body):
    return {v.decode() for v in re.findall(rb"data: (\w+)-\d+\n", body)}


def numbers(body):
    return [int(n) for n in re.findall(rb"data: \w+-(\d+)\n", body)]


def add(w, name, version, **more):
    r = w.replica(name, "plain", writer(version), version=version, **more)
    w.wait(name + " listed", lambda: any(
        e.get("backend") == name for e in w.events("replica-listed")))
    return r


def test_stream_goes_on_at_its_version():
    """A stream that its replica breaks off goes on at one of the same
    version, whatever others have room."""
    w = World()
    try:
        w.wait_ready()
        for name, version in (("i-a", "v1"), ("i-b", "v2"), ("i-c", "v1"),
                              ("i-d", "v2")):
            add(w, name, version)
        seen = set()
        for i in range(STREAMS):
            _, _, body, whole = w.call("/go/x", "id-%d" % i, "POST", b"p")
            seen |= versions(body)
            check("one version: %r" % body, len(versions(body)) == 1)
            check("whole", whole and numbers(body) == [1, 2, 3, 4, 5, 6])
        check("both serve", seen == {"v1", "v2"})
    finally:
        w.stop()


def test_last_replica_of_version_leaves():
    """A stream of a version that no replica has any more ends at once."""
    async def leaves(call):
        await call.read()
        call.writer.write(call.head(extra={
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked"}) +
            b"13\r\nid: 1\ndata: v1-1\n\n\r\n")
        await call.writer.drain()
        await w.store.remove("servers/i-a")
        while not w.events("replica-gone"):
            await entry.asyncio.sleep(0.01)
        call.writer.transport.abort()
        return False
    w = World()
    try:
        w.wait_ready()
        w.replica("i-a", "plain", leaves, version="v1")
        w.wait("i-a listed", lambda: w.events("replica-listed"))
        b = add(w, "i-b", "v2", zone="z2")
        start = time.monotonic()
        _, _, body, whole = w.call("/go/x", "id-1", "POST", b"p")
        check("broken off: %r" % body, versions(body) == {"v1"} and not whole)
        check("at once", time.monotonic() - start < 2.5)
        check("not sent to the other version", not b.requests)
    finally:
        w.stop()


if __name__ == "__main__":
    sys.exit(entry.main(sys.argv[1:], globals()))
