"""A complete deployment on loopback: test doubles and entry VMs.

Used by the demo, the process tests and the benchmark.  Every process is
started here, and ended here by its pid.
"""
import http.client
import json
import os
import signal
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))


def request(addr, method, path, body=None, timeout=10, headers=None):
    """Sends one HTTP request; returns (status, headers, body)."""
    host, port = addr.split(":")
    conn = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        conn.request(method, path, body, headers or {})
        answer = conn.getresponse()
        return answer.status, answer.headers, answer.read()
    finally:
        conn.close()


def get_json(addr, path, timeout=10):
    return json.loads(request(addr, "GET", path, timeout=timeout)[2])


def wait_for(what, check, seconds=15, step=0.05):
    """Polls check() until it is true; AssertionError after the time limit.

    Connection and parse errors of check() count as false.
    """
    until = time.monotonic() + seconds
    while True:
        try:
            if check():
                return
        except (OSError, ValueError, http.client.HTTPException):
            pass
        if time.monotonic() > until:
            raise AssertionError("timed out waiting for " + what)
        time.sleep(step)


class Cluster:
    """Entry VMs at 127.0.0.(10+i), engines and services at 127.0.1.x."""

    def __init__(self, vms=3, engines=4, services=1, models=8, adapters=2,
                 base_port=7000, build=None, fencing=None, memory_mb=80000,
                 model_mb=9000, rate=1.5, concurrent=3, load_ms=300,
                 engine_args=(), copies=1, log_level="notice",
                 datacentres=2, grace_ms=500, control="spindle-control"):
        self.build = build or os.environ.get(
            "SPINDLE_BUILD", os.path.join(ROOT, "build"))
        self.dir = tempfile.mkdtemp(prefix="spindle.")
        self.procs = {}
        self.port = base_port
        self.platform = "127.0.2.1:%d" % base_port
        self.nvms, self.nengines, self.nservices = vms, engines, services
        self.nmodels, self.nadapters = models, adapters
        self.memory_mb, self.model_mb = memory_mb, model_mb
        self.rate, self.concurrent, self.load_ms = rate, concurrent, load_ms
        self.fencing = fencing or (lambda i: i % 2 == 0)
        self.engine_args, self.copies = list(engine_args), copies
        self.log_level, self.datacentres = log_level, datacentres
        self.grace_ms, self.control_binary = grace_ms, control

    # addresses
    def gate(self, i):
        return "127.0.0.%d:%d" % (10 + i, self.port + 80)

    def control(self, i):
        return "127.0.0.%d:%d" % (10 + i, self.port + 90)

    def gate_bus(self, i):
        return "127.0.0.%d:%d" % (10 + i, self.port + 1)

    def control_bus(self, i):
        return "127.0.0.%d:%d" % (10 + i, self.port + 2)

    def engine(self, i):
        return "127.0.1.%d:%d" % (10 + i, self.port + 8)

    def service(self, i):
        return "127.0.1.%d:%d" % (100 + i, self.port + 9)

    def dc(self, i):
        return "dc%d" % (i % self.datacentres + 1)

    # processes
    def start(self, name, program, *args):
        log = open(os.path.join(self.dir, name + ".log"), "ab")
        self.procs[name] = subprocess.Popen(
            [os.path.join(self.build, program)] + list(args),
            stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        log.close()

    def signal(self, name, sig):
        os.kill(self.procs[name].pid, sig)

    def kill(self, name):
        self.signal(name, signal.SIGKILL)
        self.procs.pop(name).wait()

    def stop(self, name, timeout=20):
        """Stops a process with SIGTERM; returns its exit status."""
        self.signal(name, signal.SIGTERM)
        return self.procs.pop(name).wait(timeout)

    def settings(self, name, values):
        path = os.path.join(self.dir, name + ".json")
        with open(path, "w") as f:
            json.dump(values, f)
        return path

    def start_control(self, i):
        path = self.settings("control%d" % i, {
            "vm": "vm%d" % i, "datacentre": self.dc(i),
            "listen": self.control(i), "bus": self.control_bus(i),
            "service": self.platform, "vm_list": self.platform,
            "log_level": self.log_level})
        self.start("control%d" % i, self.control_binary, "-c", path)

    def start_gate(self, i):
        path = self.settings("gate%d" % i, {
            "vm": "vm%d" % i, "datacentre": self.dc(i),
            "listen": self.gate(i), "bus": self.gate_bus(i),
            "control": self.control_bus(i), "threads": 400,
            "drain_grace_ms": self.grace_ms,
            "log_level": self.log_level})
        self.start("gate%d" % i, "spindle-gate", "-c", path)

    def start_engine(self, i):
        args = ["-l", self.engine(i), "-w", self.platform,
                "-L", str(self.load_ms), "-m", str(self.memory_mb)]
        if self.fencing(i):
            args.append("-f")
        self.start("engine%d" % i, "fake-engine", *args, *self.engine_args)

    def start_service(self, i):
        self.start("service%d" % i, "fake-engine", "-s", "-l",
                   self.service(i))

    def start_platform(self):
        self.start("platform", "fake-platform", "-l", self.platform,
                   "-r", str(self.rate), "-c", str(self.concurrent))

    def set_vms(self, live, leaving=()):
        self.post(self.platform, "/vms", [
            {"address": self.control_bus(i), "leaving": i in leaving}
            for i in live])

    def up(self):
        self.start_platform()
        for i in range(self.nengines):
            self.start_engine(i)
        for i in range(self.nservices):
            self.start_service(i)
        wait_for("platform", lambda: self.stats(self.platform))
        self.set_vms(range(self.nvms))
        for i in range(self.nvms):
            self.start_control(i)
            self.start_gate(i)
        for i in range(self.nvms):
            wait_for("control %d" % i, lambda i=i: request(
                self.control(i), "GET", "/readyz")[0] == 200)
        return self

    def down(self):
        for proc in self.procs.values():
            proc.send_signal(signal.SIGCONT)
            proc.kill()
        for proc in self.procs.values():
            proc.wait()
        self.procs = {}

    # models and tickets
    def models(self):
        return ["model%d" % i for i in range(self.nmodels)]

    def ticket(self, number=1, **change):
        doc = {
            "ticket": number,
            "store": {"loads_per_second": self.rate,
                      "concurrent": self.concurrent,
                      "adapters_in_flight": 25},
            "backends": [
                {"name": "engine%d" % i, "address": self.engine(i),
                 "datacentre": self.dc(i), "adapter_pool_mb": 1000,
                 "fencing": self.fencing(i),
                 "accelerators": [{"memory_mb": self.memory_mb}]}
                for i in range(self.nengines)],
            "models": [
                {"name": "model%d" % i, "version": "1",
                 "memory_mb": self.model_mb, "copies": self.copies,
                 "adapters": [
                     {"name": "model%d-a%d" % (i, k), "memory_mb": 20}
                     for k in range(self.nadapters)]}
                for i in range(self.nmodels)],
        }
        if self.nservices:
            doc["services"] = [
                {"name": "shop", "prefix": "/shop/",
                 "repeatable": ["GET"],
                 "instances": [
                     {"name": "shop%d" % i, "address": self.service(i)}
                     for i in range(self.nservices)]}]
        doc.update(change)
        return doc

    def write_ticket(self, doc):
        path = os.path.join(self.dir, "ticket%d.json" % doc["ticket"])
        with open(path, "w") as f:
            json.dump(doc, f, indent=1)
        return path

    def ctl(self, *args, vm=0, check=True):
        proc = subprocess.run(
            [os.path.join(self.build, "spindlectl"), "-s",
             self.control(vm)] + list(args),
            capture_output=True, text=True, timeout=60, check=False)
        if check and proc.returncode != 0:
            raise AssertionError("spindlectl %s: %d: %s%s" % (
                " ".join(args), proc.returncode, proc.stdout, proc.stderr))
        return proc

    def declare(self, **change):
        self.ctl("apply", self.write_ticket(self.ticket(**change)))

    def resident(self):
        """Models with a resident copy, as the cell owner reports them."""
        have = set()
        for i in range(self.nvms):
            if "control%d" % i not in self.procs:
                continue
            try:
                status = get_json(self.control(i), "/v1/status", timeout=2)
            except OSError:
                continue
            for cell in status["cells"]:
                if not cell["owned"]:
                    continue
                for b in cell["backends"]:
                    have |= {m["model"] for m in b["models"]
                             if m["state"] == "resident"}
        return have

    def owner(self):
        """Index of the VM whose controller owns the cell, or None."""
        for i in range(self.nvms):
            if "control%d" % i not in self.procs:
                continue
            try:
                status = get_json(self.control(i), "/v1/status", timeout=1)
            except OSError:
                continue
            if any(c["owned"] for c in status["cells"]):
                return i
        return None

    def wait_resident(self, seconds=60):
        wait_for("all models resident", lambda:
                 self.resident() >= set(self.models()), seconds)

    def wait_ready(self, seconds=20):
        for i in range(self.nvms):
            if "gate%d" % i not in self.procs:
                continue
            wait_for("gate %d" % i, lambda i=i: request(
                self.gate(i), "GET", "/readyz")[0] == 200 and len(get_json(
                    self.gate(i), "/v1/models")["data"]) >= self.nmodels,
                seconds)

    # helpers
    def post(self, addr, path, doc, timeout=10):
        return request(addr, "POST", path, json.dumps(doc), timeout,
                       {"Content-Type": "application/json"})

    def stats(self, addr):
        return get_json(addr, "/stats", timeout=3)

    def overcommits(self):
        return sum(self.stats(self.engine(i))["overcommits"]
                   for i in range(self.nengines)
                   if "engine%d" % i in self.procs)

    def load_args(self, engines=True):
        args = []
        for i in range(self.nvms):
            args += ["-g", self.gate(i)]
        for i in range(self.nengines if engines else 0):
            args += ["-e", self.engine(i)]
        for i in range(self.nservices):
            args += ["-s", self.service(i)]
        return args + ["-m", "model:%d" % self.nmodels]

    def load(self, *args, timeout=200):
        """Runs spindle-load; returns (report, summary line, exit status)."""
        proc = subprocess.run(
            [os.path.join(self.build, "spindle-load")] + self.load_args() +
            [str(a) for a in args],
            capture_output=True, text=True, timeout=timeout, check=False)
        text, last = proc.stdout, ""
        if text.rstrip().endswith("doubled"):
            text, _, last = text.rstrip().rpartition("\n")
        try:
            return json.loads(text), last, proc.returncode
        except ValueError:
            raise AssertionError(
                "spindle-load: %s%s" % (proc.stdout, proc.stderr)) from None

    def start_load(self, name, *args):
        """Starts spindle-load; finish_load() returns its report."""
        self.procs[name] = subprocess.Popen(
            [os.path.join(self.build, "spindle-load")] + self.load_args() +
            [str(a) for a in args],
            stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True)

    def finish_load(self, name, timeout=200):
        proc = self.procs.pop(name)
        out, err = proc.communicate(timeout=timeout)
        try:
            return json.loads(out)
        except ValueError:
            raise AssertionError("spindle-load: " + out + err) from None

    def log(self, name):
        with open(os.path.join(self.dir, name + ".log")) as f:
            return f.read()

    def dump_logs(self, lines=15):
        for name in sorted(os.listdir(self.dir)):
            if name.endswith(".log"):
                with open(os.path.join(self.dir, name)) as f:
                    tail = f.readlines()[-lines:]
                if tail:
                    sys.stderr.write("--- %s\n%s" % (name, "".join(tail)))
