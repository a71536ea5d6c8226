"""What a stopping process of the own interface owes its callers.

Real processes on loopback.  Prints one line per test, then "result: N passed,
N failed".  A failure of a test named in KNOWN-RED.txt does not fail the run.
"""
import json
import os
import signal
import socket
import sys
import threading
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from process import check, run_one  # noqa: E402
import known_red  # noqa: E402
from cluster import Cluster, request, wait_for  # noqa: E402

PORT = int(os.environ.get("SPINDLE_TEST_PORT", "17000")) + 2000
GRACE_MS = 300
ORDER = json.dumps({"order": "o1"})


class OrderService:
    """A plain service that answers each order after a time."""

    def __init__(self, addr, delay_s):
        self.delay_s = delay_s
        self.begun, self.answered, self.cut = [], [], []
        host, port = addr.split(":")
        self.sock = socket.create_server((host, int(port)))
        threading.Thread(target=self.serve, daemon=True).start()

    def serve(self):
        while True:
            try:
                s, _ = self.sock.accept()
            except OSError:
                return
            threading.Thread(
                target=self.answer, args=(s,), daemon=True).start()

    def answer(self, s):
        with s:
            head, _, body = read_message(s)
            if head is None:
                return
            self.begun.append(body)
            s.settimeout(self.delay_s)
            try:
                self.cut.append(s.recv(1))
                return
            except TimeoutError:
                pass
            except OSError as e:
                self.cut.append(e)
                return
            s.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
            self.answered.append(body)

    def close(self):
        self.sock.close()


def read_message(s):
    """Reads a message; returns (head, status or None, body), or Nones if it
    is not whole."""
    data = b""
    try:
        while b"\r\n\r\n" not in data:
            more = s.recv(65536)
            if not more:
                return None, None, data
            data += more
        head, body = data.split(b"\r\n\r\n", 1)
        lines = head.decode().split("\r\n")
        fields = {k.lower(): v.strip() for k, v in (
            line.split(":", 1) for line in lines[1:])}
        chunked = fields.get("transfer-encoding") == "chunked"
        length = int(fields.get("content-length", 0))
        while not (body.endswith(b"0\r\n\r\n") if chunked else
                   len(body) >= length):
            more = s.recv(65536)
            if not more:
                return None, None, data
            body += more
    except OSError:
        return None, None, data
    status = lines[0].split(" ")[1]
    return head, int(status) if status.isdigit() else None, body


def connect(addr, timeout=15):
    s = socket.create_connection(addr.split(":"), timeout)
    s.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return s


def post(path, body):
    return ("POST %s HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\n"
            "Content-Length: %d\r\n\r\n%s" % (path, len(body), body)).encode()


def stream(tokens):
    return post("/v1/chat/completions", json.dumps({
        "model": "model0", "stream": True, "max_tokens": tokens,
        "messages": [{"role": "user", "content": "x; len=%d" % tokens}]}))


class OneGate(Cluster):
    """A VM whose gate has a given number of threads."""

    def __init__(self, port, threads=50, order_delay_s=None, vms=1):
        super().__init__(vms=vms, engines=2, models=2, base_port=port,
                         grace_ms=GRACE_MS)
        self.threads, self.delay_s, self.orders = threads, order_delay_s, None

    def start_gate(self, i):
        path = self.settings("gate%d" % i, {
            "vm": "vm%d" % i, "datacentre": self.dc(i),
            "listen": self.gate(i), "bus": self.gate_bus(i),
            "control": self.control_bus(i), "threads": self.threads,
            "drain_grace_ms": self.grace_ms, "log_level": self.log_level})
        self.start("gate%d" % i, "spindle-gate", "-c", path)

    def start_service(self, i):
        if self.delay_s is None:
            super().start_service(i)
        else:
            self.orders = OrderService(self.service(i), self.delay_s)

    def __enter__(self):
        try:
            self.up()
            self.declare()
            self.wait_resident()
            self.wait_ready()
        except BaseException:
            self.__exit__()
            raise
        return self

    def __exit__(self, *_):
        if self.orders is not None:
            self.orders.close()
        self.down()

    def stop_gate(self):
        self.signal("gate0", signal.SIGTERM)

    def wait_stopped(self, seconds=15):
        status = self.procs.pop("gate0").wait(seconds)
        check("exit status %d" % status, status == 0)


def test_body_read_during_gate_stop():
    """A request whose body ends after the grace time gets an answer."""
    with OneGate(PORT) as c:
        s = connect(c.gate(0))
        data = post("/shop/orders", ORDER)
        s.sendall(data[:-4])
        time.sleep(0.2)
        c.stop_gate()
        time.sleep(1)
        try:
            s.sendall(data[-4:])
        except OSError:
            pass
        _, status, body = read_message(s)
        check("answered: %s %s" % (status, body), status in (200, 503))
        c.wait_stopped()


def test_body_never_ends_during_gate_stop():
    """A request whose body does not come is refused, and the gate stops."""
    with OneGate(PORT + 100) as c:
        s = connect(c.gate(0))
        s.sendall(post("/shop/orders", ORDER)[:-4])
        time.sleep(0.2)
        c.stop_gate()
        _, status, body = read_message(s)
        check("refused: %s %s" % (status, body), status == 503 and
              b"not-run-closing" in body)
        c.wait_stopped()


def test_first_request_during_gate_stop():
    """A connection that was accepted before SIGTERM may send a request."""
    with OneGate(PORT + 200) as c:
        s = connect(c.gate(0))
        time.sleep(0.2)
        c.stop_gate()
        time.sleep(0.7)
        try:
            s.sendall(post("/shop/orders", ORDER))
        except OSError:
            pass
        _, status, body = read_message(s)
        check("answered: %s %s" % (status, body), status in (200, 503))
        c.wait_stopped()


def test_requests_behind_busy_threads_at_gate_stop():
    """Requests that wait for a thread as the gate stops are answered."""
    with OneGate(PORT + 300, threads=4) as c:
        streams = [connect(c.gate(0)) for _ in range(4)]
        for s in streams:
            s.sendall(stream(100))
        time.sleep(0.3)
        waiting = [connect(c.gate(0)) for _ in range(20)]
        for s in waiting:
            s.sendall(post("/shop/orders", ORDER))
        time.sleep(0.1)
        c.stop_gate()
        results = [read_message(s)[1] for s in streams + waiting]
        check("answered: %s" % results, None not in results)
        c.wait_stopped()


def test_request_behind_stream_at_gate_stop():
    """A request sent behind a stream that began before SIGTERM is answered."""
    with OneGate(PORT + 50) as c:
        s = connect(c.gate(0))
        s.sendall(stream(100))
        data = s.recv(20)
        c.stop_gate()
        time.sleep(0.5)
        s.sendall(post("/shop/orders", ORDER))
        try:
            while more := s.recv(65536):
                data += more
        except OSError as e:
            data += str(e).encode()
        check("answers: %s" % data[-300:], data.count(b"HTTP/1.1 ") == 2 and
              data.endswith(b"}\n") and b"[DONE]" in data)
        c.wait_stopped()


def test_unread_answer_at_gate_stop():
    """An answer that its caller reads late is not discarded by a reset."""
    with OneGate(PORT + 400) as c:
        s = socket.socket()
        s.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        host, port = c.gate(0).split(":")
        s.connect((host, int(port)))
        s.settimeout(10)
        c.stop_gate()
        s.sendall(stream(400))
        wait_for("running", lambda: sum(c.stats(c.engine(i))["running"]
                                        for i in range(c.nengines)) == 1)
        wait_for("idle", lambda: sum(c.stats(c.engine(i))["running"]
                                     for i in range(c.nengines)) == 0)
        time.sleep(1.5)
        s.sendall(post("/shop/orders", ORDER) * 3)
        time.sleep(0.1)
        _, status, body = read_message(s)
        check("whole: %s %d" % (status, len(body)), status == 200)
        c.wait_stopped()


def test_order_of_gone_caller_at_gate_stop():
    """A stop does not cut an order whose caller has left."""
    with OneGate(PORT + 500, order_delay_s=4) as c:
        s = connect(c.gate(0))
        s.sendall(post("/shop/orders", ORDER))
        wait_for("order sent", lambda: c.orders.begun)
        s.close()
        time.sleep(0.2)
        c.stop_gate()
        c.wait_stopped()
        check("cut %s" % c.orders.cut, not c.orders.cut)
        check("answered", len(c.orders.answered) == 1)


def test_half_an_order_is_passed_on():
    """A request whose body ends early is not passed on."""
    with OneGate(PORT + 600, order_delay_s=0.5) as c:
        body = ORDER + " " * 100
        chunk = ("POST /shop/orders HTTP/1.1\r\nHost: x\r\n"
                 "Transfer-Encoding: chunked\r\n\r\n"
                 "40\r\n%s" % ORDER).encode()
        for data in (post("/shop/orders", body)[:-100], chunk):
            for half_close in (False, True):
                s = connect(c.gate(0))
                s.sendall(data)
                if half_close:
                    s.shutdown(socket.SHUT_WR)
                    read_message(s)
                s.close()
        time.sleep(1)
        check("passed on %s" % c.orders.begun, not c.orders.begun)
        s = connect(c.gate(0))
        s.sendall(b"POST /shop/orders HTTP/1.1\r\nHost: x\r\n"
                  b"Transfer-Encoding: chunked\r\n\r\n"
                  b"%x\r\n%s\r\n0\r\n\r\n" % (len(ORDER), ORDER.encode()))
        check("whole one answered", read_message(s)[1] == 200)
        check("as sent", c.orders.begun == [ORDER.encode()])


def test_ticket_in_progress_at_control_stop():
    """A ticket that is being decided as its process stops gets an answer."""
    with OneGate(PORT + 800) as c:
        c.post(c.platform, "/fault", {"slow_ms": 700})
        ticket = json.dumps(c.ticket(number=2, models=[
            {"name": "model9", "version": "1", "memory_mb": 9000}]))
        s = connect(c.control(0))
        s.sendall(post("/v1/tickets", ticket))
        time.sleep(0.2)
        c.signal("control0", signal.SIGTERM)
        _, status, body = read_message(s)
        check("answered: %s %s" % (status, body), status is not None)
        check("exit status", c.procs.pop("control0").wait(15) == 0)


def test_ticket_read_during_control_stop():
    """A ticket whose body ends during the stop gets an answer."""
    with OneGate(PORT + 900) as c:
        data = post("/v1/tickets", json.dumps(c.ticket(number=2)))
        s = connect(c.control(0))
        s.sendall(data[:-9])
        time.sleep(0.2)
        c.signal("control0", signal.SIGTERM)
        time.sleep(1)
        try:
            s.sendall(data[-9:])
        except OSError:
            pass
        _, status, body = read_message(s)
        check("answered: %s %s" % (status, body), status is not None)
        check("exit status", c.procs.pop("control0").wait(15) == 0)


def test_gates_stop_in_a_row():
    """No request is lost as one gate after the other stops, some twice."""
    with OneGate(PORT + 700, threads=200, vms=3) as c:
        c.start_load("load", "-d", 12, "-r", 40, "-o", 0.3, "-S", 31)
        for i in (0, 1, 2, 0):
            time.sleep(1)
            c.signal("gate%d" % i, signal.SIGTERM)
            time.sleep(0.1)
            c.signal("gate%d" % i, signal.SIGTERM)
            check("exit", c.procs.pop("gate%d" % i).wait(15) == 0)
            c.start_gate(i)
            wait_for("ready", lambda i=i: request(
                c.gate(i), "GET", "/readyz")[0] == 200)
        report = c.finish_load("load")
        check("report %s" % report, report["lost"] + report["failed"] +
              report["unknown"] + report["doubled"] == 0)


TESTS = [
    test_body_read_during_gate_stop, test_body_never_ends_during_gate_stop,
    test_first_request_during_gate_stop,
    test_requests_behind_busy_threads_at_gate_stop,
    test_request_behind_stream_at_gate_stop, test_unread_answer_at_gate_stop,
    test_order_of_gone_caller_at_gate_stop,
    test_half_an_order_is_passed_on, test_ticket_in_progress_at_control_stop,
    test_ticket_read_during_control_stop, test_gates_stop_in_a_row]


def main(names, tests):
    """Runs tests, all or those named."""
    counts = {"passed": 0, "failed": 0, "red": 0}
    red, lock = known_red.entries(), threading.Lock()
    for test in tests:
        if not names or test.__name__ in names:
            run_one(test, red, counts, lock)
    print("result: %(passed)d passed, %(failed)d failed, %(red)d known red" %
          counts)
    return 1 if counts["failed"] else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:], TESTS))
