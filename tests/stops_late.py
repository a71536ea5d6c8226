"""Tests of spindle-entry: what comes, is repeated or ends late in a stop.

Prints one line per test, and "result: N passed, N failed" at the end.
"""
import asyncio
import json
import os
import re
import select
import signal
import socket
import sys
import threading
import time

from entry import FAR, check, main
from platform_world import (NOT_RUN, World, answer_ok, default_config,
                            read_answer, request, route)
from stops import GRACE_S, KEPT, Stopped


def read_to_end(s):
    """Bytes up to the end of the connection, and whether it was reset."""
    text = b""
    try:
        while more := s.recv(65536):
            text += more
    except ConnectionError:
        return text, True
    return text, False


def test_sigterm_order_retried_late():
    """An order that its replica refuses late in a stop is not passed on to
    another replica, where it can outlast the process: it has not run, and is
    refused."""
    reached = []

    async def script(call):
        await call.read()
        reached.append((call.replica.name, time.monotonic()))
        if len(reached) > 1:
            await asyncio.sleep(GRACE_S)
            return await call.answer()
        while t.since == 0.0 or time.monotonic() < t.since + 3.2:
            await asyncio.sleep(0.01)
        return await call.answer(b"", 503, {NOT_RUN: "1"})
    with Stopped(script) as t:
        t.w.replica("i-b", script=script, slots=100)
        t.w.wait("listed", lambda: len(t.w.events("replica-listed")) == 2)
        s = t.w.connect()
        s.sendall(request("/once/x", "id-1", "POST", b"o", deadline=FAR))
        t.w.wait("at a replica", lambda: reached)
        t.stop()
        status, _, _, whole = read_answer(s)
        check("whole", whole)
        check("passed on %s s after SIGTERM, status %d" % (
            ["%.2f" % (at - t.since) for _, at in reached[1:]], status),
              len(reached) == 1 and status == 503)


def test_sigterm_order_past_its_deadline():
    """An order that is read after its deadline, late in a stop, is not passed
    on."""
    with Stopped(answer_ok) as t:
        s = t.w.connect()
        s.sendall(request("/once/x", "id-1", "PUT", deadline=1000, fields={
            "Transfer-Encoding": "chunked"}) + b"3\r\nabc\r\n")
        t.stop()
        t.sleep_until(3.0)
        s.sendall(b"0\r\n\r\n")
        status, _, _, whole = read_answer(s)
        time.sleep(0.1)
        check("status %d, at the replica: %s" % (status, t.ids()),
              whole and t.ids() == [])


def test_order_past_its_deadline():
    """The same without a stop."""
    with Stopped(answer_ok) as t:
        s = t.w.connect()
        s.sendall(request("/once/x", "id-1", "PUT", deadline=300, fields={
            "Transfer-Encoding": "chunked"}) + b"3\r\nabc\r\n")
        time.sleep(0.8)
        s.sendall(b"0\r\n\r\n")
        status, _, _, whole = read_answer(s)
        time.sleep(0.1)
        check("status %d, at the replica: %s" % (status, t.ids()),
              whole and t.ids() == [])


def answers_of_pair(first, second, first_s):
    """Bytes that a caller gets which sends two requests at once, the first of
    which is answered a time after SIGTERM."""
    async def script(call):
        await call.read()
        while call.id == "id-1" and (
                t.since == 0.0 or time.monotonic() < t.since + first_s):
            await asyncio.sleep(0.01)
        return await call.answer()
    with Stopped(script) as t:
        s = t.w.connect()
        s.sendall(first)
        t.w.wait("at the replica", t.ids)
        s.sendall(second)
        time.sleep(0.2)
        t.stop()
        return read_to_end(s)


def test_sigterm_pipelined_behind_answer():
    """A request that was received before SIGTERM, behind one that is answered
    after it, is answered."""
    text, reset = answers_of_pair(
        request("/read/x", "id-1", deadline=FAR),
        request("/once/x", "id-2", "POST", b"o", deadline=FAR), 1.0)
    check("%d answers, reset %s" % (text.count(b"HTTP/1.1 "), reset),
          text.count(b"HTTP/1.1 ") == 2)


def test_sigterm_pipelined_behind_settled():
    """The same behind one that gets its answer at the end of a stop."""
    text, reset = answers_of_pair(
        request("/read/x", "id-1", deadline=FAR),
        request("/once/x", "id-2", "POST", b"o", deadline=FAR), GRACE_S)
    check("%d answers, reset %s" % (text.count(b"HTTP/1.1 "), reset),
          text.count(b"HTTP/1.1 ") == 2)


def test_sigterm_unread_stream_of_old_caller():
    """A stream without a length, of which the end of the process cuts off a
    part, does not look complete."""
    step, number = 60000, 70

    async def script(call):
        await call.read()
        n = int(call.id[2:])
        call.writer.write(call.head(extra={
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked"}))
        for i in range(1, n + 1):
            piece = (b"id: %d\ndata: " % i).ljust(step - 2, b"x") + b"\n\n"
            call.writer.write(b"%x\r\n%s\r\n" % (len(piece), piece))
            await call.writer.drain()
        call.writer.write(b"0\r\n\r\n")
        await call.writer.drain()
        return True
    with Stopped(script) as t:
        socks = []
        for n in range(1, number + 1):
            s = socket.socket()
            s.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            s.settimeout(10)
            s.connect((t.w.ip, t.w.ports["front"]))
            s.sendall(request("/go/x", "id%d" % n, "POST", b"p",
                              deadline=FAR).replace(b"HTTP/1.1", b"HTTP/1.0"))
            socks.append(s)
        t.w.wait("at the replica", lambda: len(t.ids()) == number)
        time.sleep(2)
        t.stop()
        t.w.process.wait(10)
        bad = []
        for n, s in enumerate(socks, 1):
            s.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 22)
            text, reset = read_to_end(s)
            size = len(text.partition(b"\r\n\r\n")[2])
            if size < n * step and not reset:
                bad.append((n * step, size))
        check("ended like whole ones (bytes sent, received): %s" % bad,
              not bad)


def sending(s, stop_at):
    """Sends chunks of a body, 1 ms apart, as most clients do without reading.
    Returns the error of the send, or None."""
    while time.monotonic() < stop_at:
        try:
            s.sendall(b"1\r\nx\r\n")
        except OSError as e:
            return e
        time.sleep(0.001)
    return None


def test_sigterm_body_still_sent_at_the_end():
    """A caller whose body is still coming as a stop ends gets its refusal,
    and has not lost it to a reset."""
    with Stopped(answer_ok) as t:
        s = t.w.connect()
        s.sendall(request("/once/x", "id-1", "PUT", deadline=FAR, fields={
            "Transfer-Encoding": "chunked"}))
        t.stop()
        error = sending(s, t.since + GRACE_S + 0.1)
        text, reset = read_to_end(s)
        check("error %r, reset %s, read %r" % (error, reset, text[:40]),
              error is None or text.startswith(b"HTTP/1.1 503 "))


def test_sigterm_continue_late():
    """A caller that asks late in a stop whether to send its order is told no,
    rather than to send what is then refused."""
    with Stopped(answer_ok) as t:
        s = t.w.connect()
        s.sendall(b"P")
        t.stop()
        t.sleep_until(3.0)
        s.sendall(request("/once/x", "id-1", "PUT", deadline=FAR, fields={
            "Content-Length": "5", "Expect": "100-continue"})[1:])
        line = s.recv(65536).partition(b"\r\n")[0]
        check("%r" % line, line.startswith(b"HTTP/1.1 503 "))


def test_sigterm_empty_line_at_the_end():
    """A caller that ends its last request with an empty line, which servers
    ignore, gets no answer to no request."""
    with Stopped(answer_ok) as t:
        s = t.w.connect()
        s.sendall(request("/once/x", "id-1", "POST", b"o"))
        status, _, _, _ = read_answer(s)
        check("served", status == 200)
        s.sendall(b"\r\n")
        t.stop()
        text, _ = read_to_end(s)
        check("%r" % text[:40], text == b"")


def full_listener():
    """A listener whose queue is full: connections to it are not established
    until one is accepted."""
    ls = socket.socket()
    ls.bind(("127.0.0.1", 0))
    ls.listen(0)
    fill = []
    for _ in range(4):
        c = socket.socket()
        c.setblocking(False)
        c.connect_ex(ls.getsockname())
        fill.append(c)
    time.sleep(0.2)
    return ls, fill


def test_sigterm_pause_across_connect():
    """An order whose connection to the replica comes up after a pause that
    ends late in a stop is refused, and not sent."""
    with Stopped(answer_ok) as t:
        ls, fill = full_listener()
        t.w.replicas["i-a"].port = ls.getsockname()[1]
        t.w.register("i-a", slots=100, sequence=2, born=1700000000001)
        time.sleep(0.5)
        t.stop()
        t.sleep_until(2.4)
        s = t.w.connect()
        s.sendall(request("/once/x", "id-1", "POST", b"o", deadline=FAR))
        time.sleep(0.1)
        t.w.process.send_signal(signal.SIGSTOP)
        got = []

        def serve():
            ls.settimeout(0.1)
            end = t.since + GRACE_S
            conns = []
            while time.monotonic() < end:
                try:
                    c, _ = ls.accept()
                    c.settimeout(0.05)
                    conns.append(c)
                except OSError:
                    pass
                for c in conns:
                    try:
                        data = c.recv(65536)
                        if data:
                            got.append((time.monotonic() - t.since, data))
                    except OSError:
                        pass
        thread = threading.Thread(target=serve)
        thread.start()
        t.sleep_until(3.65)
        t.w.process.send_signal(signal.SIGCONT)
        status, _, _, whole = read_answer(s)
        thread.join()
        for c in fill:
            c.close()
        sent = ["%.2f" % at for at, data in got if b"id-1" in data]
        check("status %d, sent %s s after SIGTERM" % (status, sent),
              whole and not sent)


def test_sigterm_pause_across_the_end():
    """Requests whose bytes came during a pause across the end of a stop are
    answered, though the first turn of the loop is the last."""
    with Stopped(answer_ok) as t:
        socks = [t.w.connect() for _ in range(90)]
        for i, s in enumerate(socks):
            s.sendall(request("/once/x", "id%d" % i, "POST", b"o")[:-2])
        t.stop()
        t.sleep_until(3.3)
        t.w.process.send_signal(signal.SIGSTOP)
        for s in socks:
            s.sendall(b"\no")
        t.sleep_until(3.9)
        t.w.process.send_signal(signal.SIGCONT)
        lost = {}
        for s in socks:
            text, reset = read_to_end(s)
            if not re.match(rb"HTTP/1.1 50[23] ", text):
                how = text[:12], reset
                lost[how] = lost.get(how, 0) + 1
        check("of %d, without an answer: %s" % (len(socks), lost), not lost)


def test_sigterm_twice_and_hup():
    """A second SIGTERM and SIGHUP do not change a stop."""
    async def slow(call):
        await call.read()
        await asyncio.sleep(1.5)
        return await call.answer()
    with Stopped(slow) as t:
        s = t.w.connect()
        s.sendall(request("/once/x", "id-1", "POST", b"o", deadline=FAR))
        t.w.wait("at the replica", t.ids)
        t.stop()
        t.w.process.send_signal(signal.SIGHUP)
        t.w.process.send_signal(signal.SIGTERM)
        time.sleep(0.3)
        t.w.process.send_signal(signal.SIGTERM)
        t.w.process.send_signal(signal.SIGHUP)
        status, _, _, whole = read_answer(s)
        check("served: %d" % status, (status, whole) == (200, True))
        check("ends", t.w.process.wait(10) == 0)


def test_sigterm_connects_as_the_listener_closes():
    """Connections that are established as the listener closes, and that send
    their request at once, are answered."""
    with Stopped(answer_ok) as t:
        t.stop()
        lost, done = [], []

        def caller(k):
            i = 0
            while time.monotonic() < t.since + 2.8:
                i += 1
                try:
                    s = t.w.connect()
                except OSError:
                    continue
                try:
                    s.sendall(request("/read/x", "id-%d-%d" % (k, i)))
                    text, _ = read_to_end(s)
                except OSError as e:
                    text = str(e).encode()
                s.close()
                (done if text.startswith(b"HTTP/1.1 ") else lost).append(
                    "%.3f" % (time.monotonic() - t.since))
        t.sleep_until(2.4)
        threads = [threading.Thread(target=caller, args=(k,))
                   for k in range(6)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        check("%d answered, lost at %s" % (len(done), lost),
              done and not lost)


def test_sigterm_half_closed():
    """A caller that ends its sending after its order gets its answer, also
    while the process stops."""
    with Stopped(answer_ok) as t:
        t.stop()
        s = t.w.connect()
        s.sendall(request("/once/x", "id-1", "POST", b"o", deadline=FAR))
        s.shutdown(socket.SHUT_WR)
        status, _, _, whole = read_answer(s)
        check("status %d, at the replica %s" % (status, t.ids()),
              (status, whole) == (200, True) or t.ids() == [])


def stop_with_grace(grace_s):
    """Callers of each state at a stop with another grace_s: what they got,
    and the time that the process took to end."""
    async def silent(call):
        await call.read()
        if "/go/" in call.line:
            return await call.events(1, 4000)
        await asyncio.sleep(40)
        return False
    with Stopped(silent) as t:
        path = os.path.join(t.w.dir.name, "node.json")
        with open(path) as f:
            doc = json.load(f)
        doc["bounds"]["grace_s"] = grace_s
        with open(path, "w") as f:
            json.dump(doc, f)
        t.w.process.send_signal(signal.SIGHUP)
        t.w.wait("reloaded", lambda: t.w.events("reloaded"))
        socks = {k: t.w.connect() for k in ("order", "stream", "half", "new")}
        socks["order"].sendall(request("/once/x", "id-1", "POST", b"o",
                                       deadline=FAR))
        socks["stream"].sendall(request("/go/x", "id-2", "POST", b"p",
                                        deadline=FAR))
        socks["half"].sendall(request("/once/x", "id-3", "POST", b"o",
                                      deadline=FAR)[:-1])
        t.w.wait("at the replica", lambda: len(t.ids()) == 2)
        time.sleep(0.3)
        ended = os.pidfd_open(t.w.process.pid)
        t.w.process.send_signal(signal.SIGTERM)
        since = time.monotonic()
        select.select([ended], [], [], 20)
        took = time.monotonic() - since
        os.close(ended)
        t.w.process.wait(1)
        got = {k: read_to_end(s) for k, s in socks.items()}
        return {k: (text[:12], reset) for k, (text, reset) in
                got.items()}, got["stream"][0], took, t.w.process.returncode


def check_grace(grace_s):
    got, stream, took, status = stop_with_grace(grace_s)
    check("%s s, status %d, %s" % (took, status, got),
          (grace_s == 0 or took < grace_s) and status == 0 and
          got["order"] == (b"HTTP/1.1 502", False) and
          got["stream"] == (b"HTTP/1.1 200", False) and
          not stream.endswith(b"\r\n0\r\n\r\n") and
          got["half"] == (b"HTTP/1.1 503", False) and
          got["new"] == (b"", False))


def test_sigterm_grace_none():
    """Each request has its answer at the end of a stop without any time."""
    check_grace(0)


def test_sigterm_grace_small():
    """The same for a stop shorter than the time that it leaves at its end."""
    check_grace(0.3)


def test_sigterm_grace_second():
    """The same for one shorter than the time for new connections."""
    check_grace(1)


def test_sigterm_grace_long():
    """The same for a long one."""
    check_grace(12)


def test_sigterm_late_loop_at_the_end():
    """Orders whose last byte came while the loop was delayed up to the end of
    a stop are answered."""
    with Stopped(answer_ok) as t:
        socks = [t.w.connect() for _ in range(90)]
        for i, s in enumerate(socks):
            s.sendall(request("/once/x", "id%d" % i, "POST", b"o",
                              deadline=FAR)[:-1])
        t.stop()
        t.sleep_until(2.9)
        for version in range(10, 30):
            config = default_config(version, **KEPT)
            config["routes"] += [
                route("more-%d" % i, "/more/%d/" % i, "idempotent")
                for i in range(6000)]
            t.w.run(t.w.store.put("op/config", config))
            if time.monotonic() - t.since > 3.5:
                break
            time.sleep(0.02)
        t.sleep_until(3.55)
        for s in socks:
            s.sendall(b"o")
        lost = {}
        for s in socks:
            text, reset = read_to_end(s)
            if not text.startswith(b"HTTP/1.1 "):
                how = text[:12], reset
                lost[how] = lost.get(how, 0) + 1
        check("of %d, without an answer: %s" % (len(socks), lost), not lost)


def test_sigterm_ends_within_grace():
    """A stop whose last answers are not read ends by itself, with its last
    log line, before SIGKILL is due."""
    async def large(call):
        await call.read()
        return await call.answer(b"x" * 4000000)
    with Stopped(large) as t:
        s = socket.socket()
        s.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        s.settimeout(10)
        s.connect((t.w.ip, t.w.ports["front"]))
        s.sendall(request("/read/x", "id-1", deadline=FAR))
        t.w.wait("answered", lambda: t.w.events("request-attempt"))
        t.stop()
        t.sleep_until(GRACE_S)
        check("stopped", t.w.events("stopped"))


def test_sigterm_mixed_states():
    """Callers in all states at once: each request that was read as a whole
    has a whole answer, but for streams that have begun."""
    kinds = ("order", "read", "stream", "tell", "half", "refused", "leaves",
             "pair", "slow", "idle")

    async def script(call):
        await call.read()
        n = int(call.id.split("-")[1])
        if call.id.startswith(("stream", "tell")) and n % 2:
            return await call.events(1, 800, gap=0.005)
        if call.id.startswith("slow"):
            return await call.answer(b"x" * 700000)
        late = t.since + GRACE_S - 0.6 + 0.01 * n
        while t.since == 0.0 or time.monotonic() < late:
            await asyncio.sleep(0.01)
        if call.id.startswith("refused"):
            return await call.answer(b"", 503, {NOT_RUN: "1"})
        return await call.answer()
    with Stopped(script) as t:
        t.w.replica("i-b", script=script, slots=100)
        t.w.wait("listed", lambda: len(t.w.events("replica-listed")) == 2)
        socks = []
        for n in range(60):
            kind = kinds[n % len(kinds)]
            path = {"stream": "/go/x", "tell": "/tell/x", "read": "/read/x",
                    "pair": "/read/x"}.get(kind, "/once/x")
            s = t.w.connect()
            text = request(path, "%s-%d" % (kind, n), "POST", b"o",
                           deadline=FAR)
            if kind != "idle":
                s.sendall(text[:-1] if kind == "half" else text)
            if kind == "pair":
                s.sendall(text[:40])
            socks.append((kind, n, s))
        time.sleep(0.5)
        t.stop()
        t.sleep_until(GRACE_S - 0.5)
        for kind, n, s in socks:
            if kind == "leaves":
                time.sleep(0.02)
                s.close()
        bad = []
        for kind, n, s in socks:
            if kind in ("leaves", "idle"):
                continue
            try:
                status, _, _, whole = read_answer(s)
            except ConnectionError:
                status, whole = 0, False
            if not whole and not (kind in ("stream", "tell") and
                                  status == 200):
                bad.append((kind, n, status))
        check("ended without a whole answer: %s" % bad, not bad)
        check("ends", t.w.process.wait(10) == 0)


def test_sigterm_during_start():
    """A process that is told to stop while it starts ends in time; what it
    has accepted is answered, or its connection ended unread."""
    for delay_ms in (0, 4, 8, 12, 16, 24, 40, 80, 160):
        w = World(start=False)
        w.replica("i-a", script=answer_ok, slots=100)
        w.run(w.store.put("op/config", w.config))
        try:
            w.start()
            time.sleep(delay_ms / 1000)
            socks = []
            for i in range(3):
                try:
                    socks.append(w.connect())
                    socks[-1].sendall(request("/read/x", "id-%d" % i))
                except OSError:
                    pass
            w.process.send_signal(signal.SIGTERM)
            since = time.monotonic()
            status = w.process.wait(10)
            check("%d ms: status %d after %s s" % (
                delay_ms, status, time.monotonic() - since),
                  status in (0, -signal.SIGTERM) and
                  time.monotonic() - since < GRACE_S)
            for s in socks:
                text, reset = read_to_end(s)
                check("%d ms: %r, %d" % (delay_ms, text[:40], status),
                      text.startswith(b"HTTP/1.1 ") or
                      status == -signal.SIGTERM)
        finally:
            w.stop()


def test_sigterm_order_not_yet_sent():
    """An order whose connection to the replica is not up as a stop ends has
    not run: it is refused, not told that its outcome is unknown."""
    with Stopped(answer_ok) as t:
        ls, fill = full_listener()
        t.w.replicas["i-a"].port = ls.getsockname()[1]
        t.w.register("i-a", slots=100, sequence=2, born=1700000000001)
        time.sleep(0.5)
        s = t.w.connect()
        text = request("/once/x", "id-1", "PUT", deadline=FAR, fields={
            "Transfer-Encoding": "chunked"}) + b"3\r\nabc\r\n"
        s.sendall(text)
        # The stop ends before the attempt to connect is given up.
        path = os.path.join(t.w.dir.name, "node.json")
        with open(path) as f:
            doc = json.load(f)
        doc["bounds"]["grace_s"] = 0.4
        with open(path, "w") as f:
            json.dump(doc, f)
        t.w.process.send_signal(signal.SIGHUP)
        t.w.wait("reloaded", lambda: t.w.events("reloaded"))
        t.stop()
        t.sleep_until(0.1)
        s.sendall(b"0\r\n\r\n")
        status, _, _, whole = read_answer(s)
        for c in fill:
            c.close()
        ls.close()
        check("status %d, started %d" % (
            status, len(t.w.events("request-started"))),
              (status, whole) == (503, True))


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:], globals()))
