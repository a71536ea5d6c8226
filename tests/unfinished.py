"""Tests of spindle-entry: crowds of callers that never finish what they send.

The VM's memory and the limit on bodies are lowered, so that small crowds exceed
the memory.  Checked is what does not depend on the machine's speed: the process
lives, its memory and descriptors stay under the VM's limits, and an ordinary
request is answered afterwards.  Each test runs alone.  Prints one line per
test, and "result: N passed, N failed" at the end.
"""
import os
import re
import signal
import socket
import sys
import threading
import time

import entry
from entry import check
from platform_world import ID, World, default_config, request

MEMORY_MB = 48
DESCRIPTORS = 400
BODY = 1048576  # max_body_bytes
CROWD = 100     # of bodies: twice the memory of the VM
HEADS = 3000    # of unfinished heads, of 15 kB each
HEAD = 16384    # max_header_bytes


def world(**limits):
    w = World(default_config(**dict(
        {"max_body_bytes": BODY, "max_header_bytes": HEAD,
         "header_timeout_ms": 60000, "idle_timeout_ms": 60000}, **limits)),
        start=False)
    w.limits = {"memory_mb": MEMORY_MB, "max_fds": DESCRIPTORS}
    w.run(w.store.put("op/config", w.config))
    w.start()
    w.replica("i-1")
    return w.wait_ready()


def head(n, framing):
    return ("POST /once/x HTTP/1.1\r\nHost: shop.example\r\n%s: crowd-%d\r\n"
            "Arbutusspindle-Deadline-Ms: 60000\r\n%s\r\n\r\n" % (
                ID, n, framing)).encode()


def chunks(size, total):
    """A body of so many bytes in chunks, without its end."""
    chunk = b"%x\r\n" % size + b"x" * size + b"\r\n"
    return chunk * (total // size)


def send_all(s, data):
    """Sends what the process takes; it may refuse or close the connection."""
    s.settimeout(5)
    try:
        s.sendall(data)
    except OSError:
        pass


def crowd(w, n, data_of):
    """Connections that send at once, by some threads, and stay open."""
    socks = []
    for i in range(n):
        try:
            socks.append(w.connect())
        except OSError:
            break
    share = [socks[i::8] for i in range(8)]
    threads = [threading.Thread(target=lambda mine, k: [
        send_all(s, data_of(k + 8 * j)) for j, s in enumerate(mine)],
        args=(mine, k)) for k, mine in enumerate(share)]
    for t in threads:
        t.start()
    for t in threads:
        t.join()
    return socks


def status_of(w, name):
    with open("/proc/%d/status" % w.process.pid) as f:
        return int(re.search(name + r":\s+(\d+)", f.read()).group(1))


def unread_bytes(w):
    """What the kernel holds for the process's connections."""
    mine = "".join("%02X" % int(n) for n in reversed(w.ip.split(".")))
    with open("/proc/net/tcp") as f:
        rows = [line.split() for line in f][1:]
    return sum(int(r[4].split(":")[1], 16) for r in rows
               if r[1].startswith(mine + ":") and r[3] == "01")


def settle(w):
    """Waits until the process has read what it reads of the crowd."""
    last, since = None, time.monotonic()
    while time.monotonic() < since + 0.5:
        now = unread_bytes(w)
        if now != last:
            last, since = now, time.monotonic()
        time.sleep(0.05)


def check_bounds(w):
    settle(w)
    check("lives", w.process.poll() is None)
    peak = status_of(w, "VmHWM")
    check("peak of %d kB" % peak, peak <= MEMORY_MB * 1024)
    used = len(os.listdir("/proc/%d/fd" % w.process.pid))
    check("%d descriptors" % used, used <= DESCRIPTORS)
    answer = w.call("/read/x", "ordinary")
    check("ordinary request: %d" % answer[0], answer[0] == 200)
    whole = w.call("/once/x", "whole", "POST", b"y" * (BODY - 1000),
                   deadline=20000)
    check("whole body: %d" % whole[0], whole[0] == 200)


def run_crowd(n, data_of, **limits):
    w = world(**limits)
    socks = []
    try:
        socks = crowd(w, n, data_of)
        check_bounds(w)
    finally:
        for s in socks:
            s.close()
        w.stop()


def run_chunks(size):
    body = chunks(size, BODY - 4096)
    run_crowd(CROWD, lambda i: head(
        i, "Transfer-Encoding: chunked") + body)


def test_large_chunks():
    """Guards against bodies in chunks of 64 kB that stop short of their end
    and fill the memory."""
    run_chunks(65536)


def test_small_chunks():
    run_chunks(1000)


def test_tiny_chunks():
    """The same in chunks of 8 bytes, each of which the parser reports."""
    run_chunks(8)


def test_announced():
    """Guards against bodies of an announced length that stop short of it."""
    run_crowd(CROWD, lambda i: head(
        i, "Content-Length: %d" % BODY) + b"x" * (BODY - 1))


def test_over_limit():
    """Guards against bodies far over the limit that are kept or read on."""
    body = chunks(65536, 8 * BODY)
    run_crowd(CROWD, lambda i: head(
        i, "Transfer-Encoding: chunked") + body if i % 2 else head(
        i, "Content-Length: 1000000000000") + body)


def test_whole_bodies():
    """Guards against whole bodies that wait for replicas and fill the memory;
    each counts at the caller and on its way to the replica."""
    run_crowd(CROWD, lambda i: head(
        i, "Content-Length: %d" % BODY) + b"x" * BODY)


def test_heads():
    """Guards against unfinished heads that fill the memory, and callers that
    use up the descriptors."""
    run_crowd(HEADS, lambda i: head(i, "X-A: " + "x" * 15000)[:-4])


def test_pipelined():
    """Guards against requests sent behind one another that fill the memory."""
    one = request("/read/x", "id-p", deadline=60000)
    run_crowd(DESCRIPTORS, lambda i: one * 4000)


def test_inner_doors():
    """Guards against the same at the addresses for probes and for peers."""
    w = world()
    socks = []
    try:
        body = head(1, "Transfer-Encoding: chunked") + chunks(
            65536, BODY - 4096)
        for port in (w.ports["ready"], w.ports["bus"] + 1, 9109):
            for _ in range(CROWD):
                try:
                    s = socket.create_connection((w.ip, port), 5)
                except OSError:
                    break
                socks.append(s)
                send_all(s, body)
        check_bounds(w)
    finally:
        for s in socks:
            s.close()
        w.stop()


def test_stop():
    """Guards against a stop that goes on with callers which have just given
    way: what was sent ahead is parsed at its end, and may need their room."""
    w = world()
    socks = []
    try:
        one = head(1, "Content-Length: %d" % BODY) + b"x" * (BODY - 1)
        ahead = request("/read/x", "id-p", deadline=60000) * 100
        socks = crowd(w, CROWD, lambda i: ahead + one if i % 2 else one)
        settle(w)
        w.process.send_signal(signal.SIGTERM)
        check("ends: %s" % w.process.wait(20), w.process.returncode == 0)
    finally:
        for s in socks:
            s.close()
        w.stop()


def main(names):
    """One test at a time: the crowds share no machine with another test."""
    results = []
    for name, test in sorted(globals().items()):
        if name.startswith("test_") and (not names or name in names):
            entry.run_one(test, results, threading.Lock(),
                          threading.Semaphore(1))
    print("result: %d passed, %d failed" % (
        results.count(True), results.count(False)))
    return results.count(False) != 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
