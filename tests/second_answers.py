"""Tests of spindle-entry: a replica that writes an answer without a length,
and then another one on the same connection, or events that it wrote before.

Prints one line per test, and "result: N passed, N failed" at the end.
"""
import asyncio
import itertools
import sys

from entry import check, event_numbers, main, two_replicas
from platform_world import ID

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
