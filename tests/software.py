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
from limits import Fleet
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


def begin(w, id, version, events=b"-3\n"):
    """Begins streams until one is at a version, and leaves it midway; returns
    its id."""
    for n in range(40):
        name = "%s-%d" % (id, n)
        s = w.connect()
        s.sendall(entry.request("/slow/x", name, "POST", b"p"))
        raw = b""
        while events not in raw:
            piece = s.recv(4096)
            check("stream goes on: %r" % raw, piece)
            raw += piece
        s.close()
        if versions(raw) == {version}:
            return name
    check("a stream at " + version, False)


def take_up(w, origin, id, path="/slow/x", last=3, **fields):
    named = {"Last-Event-Id": str(last)}
    if origin is not None:
        named["Resumes"] = origin
    named.update(fields)
    return w.call(path, id, "POST", b"p", named)


async def write_slowly(call, version):
    """An event every 50 ms; goes on after the last one."""
    first = int(call.fields.get("last-event-id", 0)) + 1
    call.writer.write(call.head(extra={
        "Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}))
    for i in range(first, 9):
        piece = b"id: %d\ndata: %s-%d\n\n" % (i, version.encode(), i)
        call.writer.write(b"%x\r\n%s\r\n" % (len(piece), piece))
        await call.writer.drain()
        await entry.asyncio.sleep(0.05)
    call.writer.write(b"0\r\n\r\n")
    await call.writer.drain()
    return True


def slow(version):
    async def script(call):
        await call.read()
        return await write_slowly(call, version)
    return script


def config(version=3):
    doc = entry.default_config(version)
    doc["routes"].append(entry.route(
        "slow", "/slow/", "streaming", resumable=True, target_gap_ms=300))
    return doc


def add_slow(w, name, version, **more):
    r = w.replica(name, "plain", slow(version), version=version, **more)
    w.wait(name + " listed", lambda: any(
        e.get("backend") == name for e in w.events("replica-listed")))
    return r


def two_versions():
    """A process with two replicas of each version, known to the service."""
    w = World(config())
    w.wait_ready()
    for name, version in (("i-a", "v1"), ("i-b", "v2"), ("i-c", "v1"),
                          ("i-d", "v2")):
        add_slow(w, name, version)
    w.wait("versions listed", lambda: set(listed(w)) == {"v1", "v2"})
    return w


def listed(w):
    text = w.store.items.get("spindle/streams/software", (b"{}",))[0]
    return sorted(v["software"] for v in
                  entry.json.loads(text).get("software", []))


def recorded(w):
    return sum(k.startswith("spindle/streams/id/") for k in w.store.items)


def check_goes_on(answer, version):
    status, _, body, whole = answer
    check("goes on at %s: %r %r" % (version, status, body),
          status == 200 and whole and versions(body) == {version} and
          numbers(body) == [4, 5, 6, 7, 8])


def check_refused(answer):
    status, fields, body, _ = answer
    check("refused: %r %r" % (status, body), status == 503)
    check("with a time", float(fields["retry-after"]) > 0)


def restart(w):
    w.process.kill()
    w.process.wait()
    w.start()
    w.wait("ready again", w.ready, 20)


def test_take_up_where_it_began():
    w = two_versions()
    try:
        for i, version in enumerate(["v1", "v2"] * 3):
            origin = begin(w, "id-%d" % i, version)
            check_goes_on(take_up(w, origin, "again-%d" % i), version)
            # A take-up of a take-up names the first attempt.
            check_goes_on(take_up(w, origin, "third-%d" % i), version)
    finally:
        w.stop()


def test_take_up_after_all_died():
    """The versions are known from the service alone."""
    w = two_versions()
    try:
        origins = [(begin(w, "id-%d" % i, version), version)
                   for i, version in enumerate(["v1", "v2"] * 3)]
        w.wait("recorded", lambda: recorded(w) >= len(origins))
        restart(w)
        for i, (origin, version) in enumerate(origins):
            check_goes_on(take_up(w, origin, "again-%d" % i), version)
        check("from the records", all(
            "from=record" in e["detail"]
            for e in w.events("stream-taken-up")))
    finally:
        w.stop()


def test_take_up_of_unknown_stream():
    """One that nothing tells the version of is refused at once, also without
    `Resumes`, with two of them, or with one that is no text."""
    w = two_versions()
    try:
        restart(w)
        start = time.monotonic()
        check_refused(take_up(w, "never-seen", "id-1"))
        check_refused(take_up(w, None, "id-2"))
        check_refused(take_up(w, "a\r\nResumes: b", "id-3"))
        check_refused(take_up(w, "\xe4" * 300, "id-4"))
        check("at once", time.monotonic() - start < 1)
        check("nothing ran", not any(
            r.requests for r in w.replicas.values()))
        # No event: there is nothing to go on with.
        status, _, body, _ = take_up(w, "never-seen", "id-5", last=0)
        check("begins: %r" % body, status == 200 and 1 in numbers(body))
    finally:
        w.stop()


def test_take_up_with_one_version():
    """With one version no stream is recorded, and any is taken up."""
    w = World(config())
    try:
        w.wait_ready()
        add_slow(w, "i-a", "v1")
        add_slow(w, "i-b", "v1")
        w.wait("version listed", lambda: listed(w) == ["v1"])
        begin(w, "id-1", "v1")
        restart(w)
        check_goes_on(take_up(w, "id-1-0", "id-2"), "v1")
        check_goes_on(take_up(w, None, "id-3"), "v1")
        check("no record", recorded(w) == 0)
    finally:
        w.stop()


def test_take_up_as_old_version_has_left():
    """All processes die just after the last replica of the old version left:
    its streams are refused, those of the new one go on."""
    w = two_versions()
    try:
        old = begin(w, "id-1", "v1")
        new = begin(w, "id-2", "v2")
        w.wait("recorded", lambda: recorded(w) >= 2)
        for name in ("i-a", "i-c"):
            w.run(w.store.remove("servers/" + name))
        w.wait("gone", lambda: len(w.events("replica-gone")) == 2)
        check_refused(take_up(w, old, "id-3"))
        restart(w)
        check_refused(take_up(w, old, "id-4"))
        check_refused(take_up(w, "never-seen", "id-5"))
        check_goes_on(take_up(w, new, "id-6"), "v2")
    finally:
        w.stop()


def test_take_up_that_ran_on_last_replica():
    """One that may have run is not said to be refused."""
    async def leaves(call):
        await call.read()
        if "last-event-id" not in call.fields:
            return await write_slowly(call, "v1")
        await w.store.remove("servers/i-a")
        while not w.events("replica-gone"):
            await entry.asyncio.sleep(0.01)
        call.writer.transport.abort()
        return False
    w = World(config())
    try:
        w.wait_ready()
        w.replica("i-a", "plain", leaves, version="v1")
        w.wait("i-a listed", lambda: w.events("replica-listed"))
        origin = begin(w, "id-1", "v1")
        add_slow(w, "i-b", "v2")
        status, _, body, _ = take_up(w, origin, "id-2")
        check("unknown: %r %r" % (status, body), status == 502)
    finally:
        w.stop()


def test_stream_from_before_release():
    """A stream that began while there was one version is recorded as the
    second one comes."""
    w = World(config())
    try:
        w.wait_ready()
        add_slow(w, "i-a", "v1")
        w.wait("version listed", lambda: listed(w) == ["v1"])
        s = w.connect()
        s.sendall(entry.request("/slow/x", "id-1", "POST", b"p"))
        check("begins", s.recv(100))
        add_slow(w, "i-b", "v2")
        w.wait("recorded", lambda: recorded(w) == 1)
        restart(w)
        s.close()
        check_goes_on(take_up(w, "id-1", "id-2"), "v1")
    finally:
        w.stop()


def test_versions_listed_by_next_hub():
    """The list of versions lost one since the next hub read it, which writes
    it anew as it takes the duty over."""
    f = Fleet(2)
    try:
        f.start([])
        for name, version in (("i-a", "v1"), ("i-b", "v2")):
            f.first.replica(name, "plain", slow(version), version=version)
        f.first.wait("versions listed", lambda: listed(f.first) ==
                     ["v1", "v2"])
        # Both have read the list with both versions.
        first, other = sorted(f.worlds, key=lambda w: "%s:%d" % (
            w.ip, w.ports["bus"]))
        restart(other)
        time.sleep(2)
        entry_of = f.first.store.items["spindle/streams/software"]
        doc = entry.json.loads(entry_of[0])
        doc["software"] = doc["software"][:1]
        first.process.kill()
        first.process.wait()
        f.first.run(f.first.store.put(
            "spindle/streams/software", entry.json.dumps(doc).encode()))
        check("lost one", listed(f.first) == ["v1"])
        f.first.wait("both listed", lambda: listed(f.first) == ["v1", "v2"],
                     5)
    finally:
        f.stop()


def test_take_up_without_service():
    """A process that cannot ask the service refuses what it does not know:
    its own list may be old."""
    w = World(config())
    try:
        w.wait_ready()
        add_slow(w, "i-a", "v1")
        w.wait("version listed", lambda: listed(w) == ["v1"])
        origin = begin(w, "id-1", "v1")
        w.store.mode = "busy"
        check_refused(take_up(w, "never-seen", "id-2"))
        check_goes_on(take_up(w, origin, "id-3"), "v1")
    finally:
        w.stop()


def test_take_up_after_restoration():
    """The copy from which the service comes back lacks a version and the
    records: nothing is joined, and streams go on once it is listed again."""
    w = World(config())
    try:
        w.wait_ready()
        add_slow(w, "i-a", "v1")
        w.wait("version listed", lambda: listed(w) == ["v1"])
        copy = w.store.copy()
        add_slow(w, "i-b", "v2")
        w.wait("versions listed", lambda: listed(w) == ["v1", "v2"])
        origin = begin(w, "id-1", "v2")
        w.store.restore(copy)
        w.run(w.store.put("servers/i-b", w.entry_of("i-b", version="v2")))
        w.wait("listed again", lambda: listed(w) == ["v1", "v2"], 20)
        restart(w)
        check_refused(take_up(w, origin, "id-2"))
        origin = begin(w, "id-3", "v2")
        w.wait("recorded", lambda: recorded(w) >= 1)
        restart(w)
        check_goes_on(take_up(w, origin, "id-4"), "v2")
    finally:
        w.stop()


if __name__ == "__main__":
    sys.exit(entry.main(sys.argv[1:], globals()))
