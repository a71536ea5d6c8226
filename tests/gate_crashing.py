"""The own interface: one request, sent again and again, crashes each instance
of a plain service that begins to run it.

Real processes on loopback.  Prints one line per test, then "result: N passed,
N failed".  A failure of a test named in KNOWN-RED.txt does not fail the run.
"""
import os
import socket
import struct
import sys
import threading
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from gate_stops import main, read_message  # noqa: E402
from process import check  # noqa: E402
from cluster import Cluster, request, wait_for  # noqa: E402

PORT = int(os.environ.get("SPINDLE_TEST_PORT", "17000")) + 2600
DEADLY = "/shop/deadly"
DOWN_S = 1.0     # until a crashed instance is back
STABLE_S = 3.0   # from the third crash until few repeats are allowed
RETRIES_MAX = 3  # later than that


class CrashingService:
    """An instance that resets its connections and is gone for a time when it
    is asked for DEADLY."""

    def __init__(self, addr, crashed_at):
        self.host, self.port = addr.split(":")
        self.crashed_at = crashed_at
        self.lock = threading.Lock()
        self.listen()

    def listen(self):
        self.sock = socket.create_server((self.host, int(self.port)))
        threading.Thread(
            target=self.serve, args=(self.sock,), daemon=True).start()

    def serve(self, sock):
        while True:
            try:
                s, _ = sock.accept()
            except OSError:
                return
            threading.Thread(
                target=self.answer, args=(s,), daemon=True).start()

    def answer(self, s):
        with s:
            while True:
                head, _, _ = read_message(s)
                if head is None:
                    return
                time.sleep(0.02)
                if DEADLY.encode() in head:
                    s.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                 struct.pack("ii", 1, 0))
                    self.crash()
                    return
                s.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")

    def crash(self):
        """Both gates' requests may end one instance."""
        with self.lock:
            sock, self.sock = self.sock, None
        if sock is None:
            return
        self.crashed_at.append(time.monotonic())
        sock.shutdown(socket.SHUT_RDWR)
        sock.close()
        threading.Timer(DOWN_S, self.listen).start()


def test_request_crashes_instances():
    """At most three repeats reach instances later than 3 s after the third
    crash, from all gates."""
    c = Cluster(vms=2, engines=1, models=1, services=3, base_port=PORT,
                load_ms=200)
    c.start_service = lambda i: CrashingService(c.service(i), crashed_at)
    crashed_at = []
    try:
        c.up()
        c.declare()
        c.wait_ready()
        wait_for("service listed", lambda: all(request(
            c.gate(i), "GET", "/shop/x")[0] == 200 for i in range(2)), 10)
        start = time.monotonic()
        while time.monotonic() < start + 12:
            for i in range(2):
                request(c.gate(i), "GET", DEADLY)
            time.sleep(0.2)
        times = sorted(crashed_at)
        check("it crashes instances", len(times) >= 2)
        late = [t for t in times if len(times) > 2 and
                t > times[2] + STABLE_S]
        check("%d of %d crashes late" % (len(late), len(times)),
              len(late) <= RETRIES_MAX)
    finally:
        c.down()


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:], [test_request_crashes_instances]))
