"""Stand-ins for the cases of this review: the platform's store, model replicas
and clients, as the pages describe them, on loopback addresses and the real
clock.  Needs Python 3 alone."""
import asyncio
import base64
import json
import os
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PROGRAM = os.path.join(ROOT, "target", "spindle-entry")
ID = "Arbutusspindle-Attempt-Id"
HOST = "ficu95.example"


class Record:
    """What was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.since = time.monotonic()

    def __call__(self, text):
        self.file.write("%8.3f %s\n" % (time.monotonic() - self.since, text))
        self.file.flush()


async def read_head(reader):
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, sep, value = line.partition(":")
        if sep:
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def serve_json(reader, writer, answer):
    """Serves calls with JSON bodies, one after another."""
    try:
        while True:
            head = await read_head(reader)
            if head is None:
                return
            line, fields = head
            body = await reader.readexactly(
                int(fields.get("content-length", 0)))
            status, doc = await answer(line.split(" ")[0], line.split(" ")[1],
                                       fields, body)
            text = json.dumps(doc).encode()
            writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                         b"Content-Length: %d\r\n\r\n" % (status, len(text))
                         + text)
            await writer.drain()
    except (ConnectionError, asyncio.IncompleteReadError):
        pass
    finally:
        writer.close()


class Store:
    """The platform's store.  Its revision counter starts at `first`."""

    def __init__(self, first=1):
        self.items = {}    # key -> (value, revision, created, lease)
        self.history = []  # (revision, key, value or None)
        self.revision = first
        self.leases = {}   # lease -> (ttl_s, ends at)
        self.next_lease = 7
        self.changed = asyncio.Event()
        self.calls = 0

    async def start(self, ip):
        self.server = await asyncio.start_server(self.serve, ip, 0)
        self.address = "%s:%d" % (
            ip, self.server.sockets[0].getsockname()[1])
        asyncio.ensure_future(self.expire())

    async def serve(self, reader, writer):
        await serve_json(reader, writer, self.answer)

    def note(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, writes, removes=()):
        self.revision += 1
        for key, value, lease in writes:
            created = self.items[key][2] if key in self.items \
                else self.revision
            self.items[key] = (value, self.revision, created, lease)
            self.history.append((self.revision, key, value))
        for key in removes:
            if key in self.items:
                del self.items[key]
                self.history.append((self.revision, key, None))
        self.note()

    def put_json(self, key, doc):
        self.put([(key, json.dumps(doc).encode(), 0)])

    async def expire(self):
        while True:
            await asyncio.sleep(0.02)
            for lease, (_, at) in list(self.leases.items()):
                if time.monotonic() >= at:
                    self.end(lease)

    def end(self, lease):
        del self.leases[lease]
        keys = [k for k, v in self.items.items() if v[3] == lease]
        if keys:
            self.put([], keys)

    def item(self, key):
        value, revision, created, lease = self.items[key]
        return {"key": key, "value": base64.b64encode(value).decode(),
                "revision": revision, "created": created, "lease": lease}

    async def answer(self, method, target, fields, body):
        self.calls += 1
        url = urllib.parse.urlsplit(target)
        query = {k: v[0] for k, v in urllib.parse.parse_qs(url.query).items()}
        doc = json.loads(body) if body else {}
        await asyncio.sleep(0.004)
        if url.path == "/api/kv-key":
            key = query["key"]
            return (200, dict(self.item(key), at=self.revision)) \
                if key in self.items else (404, {})
        if url.path == "/api/kv-range":
            keys = sorted(k for k in self.items
                          if k.startswith(query["path_prefix"]) and
                          k > query.get("after", ""))
            return 200, {"items": [self.item(k) for k in keys[:500]],
                         "has_more": len(keys) > 500, "at": self.revision}
        if url.path == "/api/kv-watch":
            return await self.watch(query)
        if url.path == "/api/kv-lease":
            self.next_lease += 1
            ttl = doc["ttl_ms"]
            self.leases[self.next_lease] = (
                ttl / 1000, time.monotonic() + ttl / 1000)
            return 200, {"lease": self.next_lease, "ttl_ms": ttl}
        lease = int(url.path.rsplit("/", 1)[1]) \
            if url.path.rsplit("/", 1)[1].isdigit() else 0
        if url.path.startswith("/api/kv-keep/"):
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, time.monotonic() + ttl)
            return 200, {"ttl_ms": int(ttl * 1000)}
        if url.path.startswith("/api/kv-lease-end/"):
            if lease not in self.leases:
                return 404, {}
            self.end(lease)
            return 200, {}
        if url.path == "/api/kv-txn":
            return self.transact(doc)
        return 404, {}

    def transact(self, doc):
        rows = doc.get("expected", [])
        for row in rows:
            now = self.items[row["key"]][1] if row["key"] in self.items else 0
            if now != row["revision"]:
                return 412, {"items": [self.item(r["key"]) for r in rows
                                       if r["key"] in self.items]}
        writes = [(r["key"], base64.b64decode(r["value"]), r.get("lease", 0))
                  for r in doc.get("write", [])]
        if any(w[2] != 0 and w[2] not in self.leases for w in writes):
            return 404, {}
        self.put(writes, doc.get("remove", []))
        return 200, {"revision": self.revision}

    async def watch(self, query):
        after = int(query["after"])
        end = time.monotonic() + int(query["wait_ms"]) / 1000
        oldest = self.history[0][0] if self.history else self.revision
        if after < oldest - 1:
            return 410, {}
        while True:
            changed = self.changed
            found = [h for h in self.history if h[0] > after and
                     h[1].startswith(query["path_prefix"])]
            if found:
                events = []
                for revision, key, value in found:
                    if value is None:
                        events.append({"key": key, "revision": revision,
                                       "deleted": True})
                    else:
                        events.append({
                            "key": key, "revision": revision,
                            "created": revision, "lease": 0,
                            "value": base64.b64encode(value).decode()})
                return 200, {"events": events, "at": self.revision}
            left = end - time.monotonic()
            if left <= 0:
                return 200, {"events": [], "at": self.revision}
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Replica:
    """A model replica.  It crashes if it is ordered to hold too much."""

    def __init__(self, world, name, service, engine, models, slots=64):
        self.world, self.name, self.service = world, name, service
        self.engine, self.slots = engine, slots
        self.models = {m: [] for m in models}  # -> its adapters
        self.coming = []                       # MODEL/NAME on their way
        self.loading = None
        self.sequence = self.fence = self.beats = 0
        self.born = int(time.time() * 1000)
        self.queued_orders = 0
        self.most_adapters = 0
        self.running = 0
        self.writers = set()
        self.up = False

    async def start(self, ip, port=0):
        self.server = await asyncio.start_server(self.serve, ip, port)
        self.ip, self.port = ip, self.server.sockets[0].getsockname()[1]
        self.up = True
        self.beat()
        self.beater = asyncio.ensure_future(self.beat_all())

    def state(self):
        return {"born": self.born, "stage": "colocated",
                "models": [{"name": m, "version": 1, "adapters": list(a)}
                           for m, a in self.models.items()]}

    def beat(self):
        self.beats += 1
        self.world.store.put_json("servers/" + self.name, dict(
            self.state(), service=self.service,
            address="%s:%d" % (self.ip, self.port), zone="z1", version="v1",
            slots=self.slots, state="ready", cold_left_ms=0,
            sequence=self.beats))

    async def beat_all(self):
        while self.up:
            await asyncio.sleep(1.2)
            if self.up:
                self.beat()

    async def crash(self):
        """Resets all connections; its address refuses new ones."""
        self.up = False
        self.beater.cancel()
        self.server.close()
        for w in list(self.writers):
            sock = w.get_extra_info("socket")
            if sock is not None and sock.fileno() != -1:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                struct.pack("ii", 1, 0))
            w.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while self.up:
                head = await read_head(reader)
                if head is None:
                    return
                line, fields = head
                body = await reader.readexactly(
                    int(fields.get("content-length", 0)))
                method, target = line.split(" ")[:2]
                if fields.get("arbutusspindle-expect-instance",
                              self.name) != self.name:
                    self.reply(writer, fields, 421, {})
                elif target == "/api/report":
                    self.reply(writer, fields, 200, self.report())
                elif target == "/api/order":
                    self.reply(writer, fields, *self.order(json.loads(body)))
                else:
                    await self.run(writer, fields, target)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    @staticmethod
    def reply(writer, fields, status, doc, extra=b""):
        text = json.dumps(doc).encode()
        id = fields.get(ID.lower(), "")
        if id:
            extra += b"%s: %s\r\n" % (ID.encode(), id.encode())
        writer.write(b"HTTP/1.1 %d X\r\n%sContent-Length: %d\r\n\r\n" % (
            status, extra, len(text)) + text)

    def report(self):
        return dict(self.state(), occupied=self.loading is not None,
                    sequence=self.sequence, queued=0, in_flight=self.running,
                    kv_used=0, kv_total=100000, handles=0,
                    coming=[c + "@1" for c in self.coming])

    def nadapters(self):
        return sum(len(a) for a in self.models.values()) + len(self.coming)

    def order(self, doc):
        log = self.world.record
        text = "order to %s: %s" % (self.name, json.dumps(doc))
        if doc.get("fencing_token", 0) < self.fence:
            log(text + " -> 412")
            return 412, {}
        self.fence = doc["fencing_token"]
        if "expected" in doc and doc["expected"] != self.sequence:
            log(text + " -> 409")
            return 409, {}
        status = self.carry_out(doc)
        if status == 202 or (status == 200 and
                             doc["operation"] == "unload"):
            self.sequence += 1
        log("%s -> %d; it holds %d models, %d adapters" % (
            text, status, len(self.models), self.nadapters()))
        return status, {}

    def carry_out(self, doc):
        model, adapter = doc["model"], doc.get("adapter")
        if adapter is not None:
            if model not in self.models:
                return 400
            name = model + "/" + adapter
            if doc["operation"] == "unload":
                if adapter in self.models[model]:
                    self.models[model].remove(adapter)
                return 200
            if adapter in self.models[model] or name in self.coming:
                return 200
            self.coming.append(name)
            self.most_adapters = max(self.most_adapters, self.nadapters())
            if self.nadapters() > self.engine["adapter_slots"]:
                self.world.broken(
                    "LIMIT", "%s is ordered to load adapter %s: %d adapters, "
                    "%d places" % (self.name, name, self.nadapters(),
                                   self.engine["adapter_slots"]))
                asyncio.ensure_future(self.crash())
                return 202
            asyncio.ensure_future(self.fetch(model, adapter))
            return 202
        if self.loading is not None:
            return 409
        if doc["operation"] == "unload":
            if self.models.pop(model, None) is None:
                return 200
            asyncio.get_running_loop().call_later(0.05, self.beat)
            return 202
        if model in self.models:
            return 200
        self.loading = model
        asyncio.ensure_future(self.load(model))
        return 202

    async def fetch(self, model, adapter):
        await asyncio.sleep(0.02)
        self.coming.remove(model + "/" + adapter)
        if model in self.models:
            self.models[model].append(adapter)

    async def load(self, model):
        await asyncio.sleep(self.world.load_s)
        self.loading = None
        if self.up:
            self.models[model] = []
            self.beat()

    async def run(self, writer, fields, target):
        id = fields.get(ID.lower(), "")
        name, _, adapter = fields.get("arbutusspindle-model", "").partition(
            "/")
        if name and (name not in self.models or
                     adapter and adapter not in self.models[name]):
            self.reply(writer, fields, 421, {},
                       b"Arbutusspindle-Not-Executed: 1\r\n")
            return
        self.world.record("%s runs %s (%s)" % (
            self.name, id, fields.get("arbutusspindle-model", "-")))
        self.running += 1
        try:
            writer.write((
                "HTTP/1.1 200 OK\r\n%s: %s\r\n"
                "Arbutusspindle-Response-Signature: s.%s\r\n"
                "Content-Type: text/event-stream\r\n"
                "Transfer-Encoding: chunked\r\n\r\n" % (
                    ID, id, self.name)).encode())
            for i in range(1, self.world.events + 1):
                await asyncio.sleep(0.05)
                piece = b"id: %d\ndata: piece-%d\n\n" % (i, i)
                writer.write(b"%x\r\n%s\r\n" % (len(piece), piece))
                await writer.drain()
            writer.write(b"0\r\n\r\n")
        finally:
            self.running -= 1


class World:
    """The stand-ins, the machines and what was seen."""

    def __init__(self, record, first_revision=1, load_s=1.0, events=6):
        self.record = Record(record)
        self.store = Store(first_revision)
        self.load_s, self.events = load_s, events
        self.breaks = []
        self.processes = {}
        self.names = {}  # of machines, where not the usual ones
        self.dir = tempfile.TemporaryDirectory()
        self.base = "127.%d.%d." % (100 + os.getpid() // 250 % 100,
                                    os.getpid() % 250 + 1)
        self.ids = 0

    def broken(self, rule, text):
        self.record("%s: %s" % (rule, text))
        self.breaks.append(rule)

    def configure(self, version, routes, services, idle_ms=15000):
        self.store.put_json("op/config", {
            "version": version, "routes": routes, "services": services,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 3000,
                       "idle_timeout_ms": idle_ms}})

    def settings(self, n, first=True):
        """As on the pages, for a machine of a small deployment."""
        ip = self.base + str(n)
        return {
            "node_name": self.names.get(n, "front-z1-%d" % n), "role": "entry",
            "machine_class": "front", "serves": ["front", "control"],
            "ip": ip, "zone": "z1", "region": "r1", "zones": {"z1": "r1"},
            "bind": {"front": ip + ":8149", "ready": ip + ":8141",
                     "control": ip + ":8144"},
            "internal_ports": [7380, 7395],
            "seeds": [self.base + "1:8144"], "bootstrap": first,
            "loss_counts": False,
            "limits": {"cpu_share": 0.25, "cores": 1, "memory_mb": 260,
                       "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
            "data_dir": None, "discovery": "platform", "entry": "vip",
            "heartbeat_ms": 1200,
            "bounds": {"stable_ms": 3000, "drain_ms": 2000, "grace_s": 8,
                       "config_apply_ms": 2000, "retry_budget_ratio": 0.2,
                       "retry_window_s": 10, "budget_slack": 58,
                       "recovery_s": 12, "require_fence": True,
                       "lease_ms": 3000, "thaw_slack_ms": 300,
                       "ceiling_window_s": 5, "burst_factor": 1.1},
            "platform": {"address": self.store.address, "form": "kv",
                         "writes_per_s": 400, "reads_per_s": 2000,
                         "history_s": 20, "value_bytes": 1048576,
                         "ttl_min_ms": 1000}}

    def start(self, n, first=True):
        path = os.path.join(self.dir.name, "node-%d.json" % n)
        with open(path, "w") as f:
            json.dump(self.settings(n, first), f)
        log = open(os.path.join(self.dir.name, "log-%d" % n), "a")
        self.processes[n] = subprocess.Popen(
            [PROGRAM], cwd=ROOT, stdout=log, stderr=log,
            env={"PATH": os.environ.get("PATH", ""), "HOME": "/tmp",
                 "LANG": "C", "ARBUTUSSPINDLE_BOOT": path})
        self.record("machine %d starts" % n)

    def kill(self, n, number=signal.SIGKILL):
        self.processes[n].send_signal(number)
        self.record("machine %d: signal %d" % (n, number))

    async def ready(self, n, within=15.0):
        end = time.monotonic() + within
        while time.monotonic() < end:
            try:
                status = await self.http(self.base + str(n), 8141,
                                         b"GET /api/readiness HTTP/1.1\r\n"
                                         b"Host: x\r\n\r\n")
                if status[0] == 200:
                    return True
            except (OSError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.1)
        return False

    @staticmethod
    async def http(ip, port, raw):
        """(status, fields, body, whether the body is whole)"""
        reader, writer = await asyncio.open_connection(ip, port)
        try:
            writer.write(raw)
            head = await read_head(reader)
            if head is None:
                return 0, {}, b"", False
            status, fields = int(head[0].split(" ")[1]), head[1]
            body = b""
            try:
                if fields.get("transfer-encoding") == "chunked":
                    while True:
                        size = int(await reader.readuntil(b"\r\n"), 16)
                        data = await reader.readexactly(size + 2)
                        if size == 0:
                            return status, fields, body, True
                        body += data[:-2]
                body = await reader.readexactly(
                    int(fields.get("content-length", 0)))
                return status, fields, body, True
            except (asyncio.IncompleteReadError, ConnectionError):
                return status, fields, body, False
        finally:
            writer.transport.abort()

    async def ask(self, n, path, model=None, deadline=10000, method="POST",
                  body=b"prompt"):
        """One client attempt at a machine; returns its outcome."""
        self.ids += 1
        id = "%016x" % (0x9c41d07b00000000 + self.ids)
        lines = ["%s %s HTTP/1.1" % (method, path), "Host: " + HOST,
                 "%s: %s" % (ID, id),
                 "Arbutusspindle-Deadline-Ms: %d" % deadline]
        if model is not None:
            lines += ["Arbutusspindle-Model: " + model,
                      "Arbutusspindle-Token-Count: 200,12",
                      "Arbutusspindle-Prompt-Prefix: %x:200" % self.ids]
        if body or method != "GET":
            lines.append("Content-Length: %d" % len(body))
        self.record("client sends %s to machine %d: %s %s" % (
            id, n, path, model or ""))
        try:
            got = await asyncio.wait_for(self.http(
                self.base + str(n), 8149,
                ("\r\n".join(lines) + "\r\n\r\n").encode() + body),
                deadline / 1000 + 0.5)
        except (OSError, asyncio.TimeoutError,
                asyncio.IncompleteReadError) as e:
            got = (0, {}, type(e).__name__.encode(), False)
        self.record("client got %s: %d %s" % (
            id, got[0], "whole" if got[3] else "broken off"))
        return got

    def stop(self):
        for p in self.processes.values():
            if p.poll() is None:
                p.kill()
            p.wait()
        keep = os.environ.get("KEEP")
        if keep:
            for name in os.listdir(self.dir.name):
                with open(os.path.join(self.dir.name, name)) as f, \
                        open(os.path.join(keep, name), "w") as g:
                    g.write(f.read())
        self.dir.cleanup()


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def play(case, record, **options):
    """Runs a case and writes its record; exits with 0 (held), 1 (broken) or
    2 (could not run)."""
    if not os.access(PROGRAM, os.X_OK):
        print("target/spindle-entry is not built")
        sys.exit(2)

    async def run():
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        world = World(record, **options)
        try:
            return world, await asyncio.wait_for(case(world), 110)
        finally:
            world.stop()
    try:
        world, able = asyncio.run(run())
    except (OSError, asyncio.TimeoutError) as e:
        print("could not run: %r" % e)
        sys.exit(2)
    if not able:
        print("could not run")
        sys.exit(2)
    if world.breaks:
        print("broken: " + ", ".join(sorted(set(world.breaks))))
        sys.exit(1)
    print("held")
