"""Tests of spindle-entry: a replica that writes an answer without a length,
and then another one on the same connection, or events that it wrote before.

Prints one line per test, and "result: N passed, N failed" at the end.
"""
import asyncio
import itertools
import sys

from entry import check, event_numbers, main, two_replicas
from platform_world import ID, answer_ok, request

STREAM = {"Content-Type": "text/event-stream"}
BODY = b"to the end"


def copies(call):
    """Answers that may come behind an answer: its own, and another's."""
    head = call.head(200)
    other = head.replace(call.id.encode(), b"id-before")
    return [head + BODY, other + b"not its own",
            b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n"]


async def write_pieces(call, data, size):
    for at in range(0, len(data), size):
        call.writer.write(data[at:at + size])
        await call.writer.drain()
        if size < len(data):
            await asyncio.sleep(0.0005)


def event(n):
    return b"id: %d\ndata: piece-%d\n\n" % (n, n)


def test_second_answer_in_body():
    """A body that ends with its connection is not taken for whole if another
    answer follows it, cut at any byte: an idempotent request is repeated, the
    outcome of another one is unknown."""
    plan = {}

    async def twice(call):
        await call.read()
        copy = copies(call)[plan["copy"]][:plan["cut"]]
        await write_pieces(call, call.head(200) + BODY + copy, plan["size"])
        return False
    w, a, b = two_replicas(twice)
    numbers = iter(range(100000))
    try:
        for plan["copy"] in range(3):
            for plan["cut"], plan["size"] in [
                    (cut, 100000) for cut in range(1, 60)] + [
                    (1000, 100000), (1000, 7), (1000, 1)]:
                id = "id-%d" % next(numbers)
                answer = w.call("/read/x", id)
                check("%s: %r" % (plan, answer),
                      answer[2:] == (b"whole", True))
                status, _, body, _ = w.call("/once/x", id + "o", "POST")
                check("%s, once: %d %r" % (plan, status, body),
                      status == 502 or body == b"whole")
        check("both were used", a.requests and b.requests)
    finally:
        w.stop()


def test_second_answer_in_stream():
    """The head of another answer is no event of a stream that ends with its
    connection: it is resumed, or visibly broken off."""
    plan = {}

    async def twice(call):
        await call.read()
        await write_pieces(call, call.head(extra=STREAM) + event(1) +
                           event(2) + plan["tail"] + call.head(extra=STREAM) +
                           event(1) + event(2) + event(3), plan["size"])
        return False

    async def rest(call):
        await call.read()
        return await call.events(
            int(call.fields.get("last-event-id", 0)) + 1, 3)
    for plan["tail"], plan["size"], (path, numbers, complete) in (
            itertools.product((b"", b"id: 3\nda"), (100000, 11, 1),
                              (("/go/x", [1, 2, 3], True),
                               ("/tell/x", [1, 2], False)))):
        w, _, _ = two_replicas(twice, rest)
        try:
            _, _, body, whole = w.call(path, "id-1", "POST", b"p")
            check("%s %s: %r" % (plan, path, body),
                  b"HTTP/" not in body and ID.encode() not in body)
            check("%s %s: %s, whole: %s" % (
                plan, path, event_numbers(body), whole),
                (event_numbers(body), whole) == (numbers, complete))
        finally:
            w.stop()


def test_new_events_before_repeated():
    """New events in front of a repeated one, in one piece, are written."""
    async def repeats(call):
        await call.read()
        call.writer.write(call.head(extra=dict(
            STREAM, **{"Content-Length": 6 * len(event(1))})) +
            b"".join(event(n) for n in (1, 2, 3, 2, 4, 5)))
        await call.writer.drain()
        return True
    w, _, _ = two_replicas(repeats)
    try:
        for path in ("/go/x", "/tell/x"):
            _, _, body, whole = w.call(path, "id-1", "POST", b"p")
            check("%s: %s" % (path, event_numbers(body)),
                  (event_numbers(body), whole) == ([1, 2, 3, 4, 5], True))
    finally:
        w.stop()


def read_until_close(sock):
    data = b""
    while True:
        piece = sock.recv(65536)
        if not piece:
            return data
        data += piece


def test_other_answer_to_resumed_stream():
    """The answer with which a replica refuses to resume a stream is neither
    its end nor a part of it, also where the stream ends with the
    connection."""
    plan = {}

    async def breaks(call):
        await call.read()
        return await call.events(1, 2, end=False)

    async def other(call):
        await call.read()
        return await call.answer(b"gone", plan["status"])
    for plan["status"], version in itertools.product(
            (404, 409, 302, 500), (b"HTTP/1.1", b"HTTP/1.0")):
        w, _, b = two_replicas(breaks, other)
        s = w.connect()
        try:
            s.sendall(request("/go/x", "id-1", "POST", b"p", {}, 5000).replace(
                b"HTTP/1.1", version, 1))
            try:
                data = read_until_close(s)
                closed = "in order"
            except ConnectionResetError:
                data, closed = b"", "reset"
            check("%s %s: %s %r" % (plan, version, closed, data),
                  data.count(b"HTTP/1.1 ") <= 1 and b"gone" not in data)
            check("%s %s: visibly broken off: %s" % (plan, version, closed),
                  closed == "reset" or
                  version == b"HTTP/1.1" and not data.endswith(b"0\r\n\r\n"))
            check("it was resumed", b.requests)
        finally:
            s.close()
            w.stop()


def test_stream_without_ids_breaks():
    """Events without ids are not written twice: such a stream is visibly
    broken off, since what a replica repeats can't be told."""
    async def write(call, last, end):
        await call.read()
        events = b"".join(b": still here\n\ndata: piece-%d\n\n" % n
                          for n in range(1, last + 1))
        call.writer.write(call.head(extra=dict(STREAM, **{
            "Content-Length": len(events) + (0 if end else 1)})) + events)
        await call.writer.drain()
        return end
    w, _, _ = two_replicas(lambda call: write(call, 2, False),
                           lambda call: write(call, 3, True))
    try:
        _, _, body, whole = w.call("/go/x", "id-1", "POST", b"p")
        check("%r, whole: %s" % (body, whole),
              not whole and body.count(b"data:") == 2)
    finally:
        w.stop()


def test_head_request():
    """No body follows an answer to HEAD, neither an error's nor the last chunk
    of a stream: on a kept connection it would be read as the start of the
    next answer."""
    async def breaks(call):
        await call.read()
        call.reset()
        return False
    for path, script, expected in (
            ("/none/x", answer_ok, 404), ("/once/x", breaks, 502),
            ("/go/x", answer_ok, 200), ("/read/x", answer_ok, 200)):
        w, _, _ = two_replicas(script, script)
        s = w.connect()
        try:
            s.sendall(request(path, "id-1", "HEAD"))
            data = b""
            while b"\r\n\r\n" not in data:
                data += s.recv(65536)
            head, _, rest = data.partition(b"\r\n\r\n")
            check("%s: %r" % (path, head), int(head.split()[1]) == expected)
            check("kept", b"\r\nConnection: close" not in head)
            s.sendall(request("/none/x", "id-2"))
            while b"\r\n\r\n" not in rest:
                rest += s.recv(65536)
            check("%s: %r" % (path, rest), rest.startswith(b"HTTP/1.1 404"))
        finally:
            s.close()
            w.stop()


def test_error_in_resumed_stream():
    """A replica answers the rest of a stream with an error: another one is
    asked, or the stream breaks off, without bytes that are no part of it."""
    plan = {}

    async def answers(call):
        await call.read()
        if "last-event-id" in call.fields:
            return await call.answer(b"no such stream", plan["status"])
        call.writer.write(call.head(extra=STREAM) + event(1) + event(2) +
                          b"id: 3\nda")
        await call.writer.drain()
        return False
    for plan["status"] in (404, 410, 503):
        w, a, b = two_replicas(answers, answers)
        try:
            status, _, body, whole = w.call("/go/x", "id-1", "POST", b"p")
            check("%s: %d %r, whole: %s" % (plan, status, body, whole),
                  (status, event_numbers(body), whole) ==
                  (200, [1, 2], False) and b"no such" not in body)
            check("two attempts", len(a.requests) + len(b.requests) == 2)
        finally:
            w.stop()


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:], globals()))
