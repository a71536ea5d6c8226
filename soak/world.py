"""Test doubles of the soak test: key-value service, replicas and links.

The entry processes are the real program; everything outside them is simulated
on loopback, where faults can be injected and requests be checked.
"""
import asyncio
import json
import random
import struct
import socket
import sys
import os
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(ROOT, "tests"))
from platform_world import (Call, NOT_RUN, Store, read_head)  # noqa: E402

MODEL_MB, REPLICA_MB = 70, 160  # two models fit on a replica
MODELS = ["m%d" % i for i in range(6)]
EVENTS = 12                     # server-sent events per stream


class Violations:
    """Violated requirements, each with the detail that shows it."""

    def __init__(self):
        self.list = []

    def add(self, violation, detail):
        self.list.append((violation, detail))


class Link:
    """A TCP proxy; its mode may change while connections are open.

    "out" and "back" stop the data to or from the target, "silent" both ways,
    "slow" delays it, and "refuse" resets new connections.
    """

    def __init__(self, target):
        self.target = target   # (ip, port)
        self.mode = "pass"     # pass, slow, out, back, silent, refuse
        self.writers = set()
        self.server = None
        self.port = 0
        self.reset_at = 0.0

    async def start(self, ip="127.0.0.1", port=0):
        self.server = await asyncio.start_server(self.serve, ip, port)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def reset(self):
        """Resets every open connection."""
        self.reset_at = time.monotonic()
        for w in list(self.writers):
            sock = w.get_extra_info("socket")
            if sock is not None and not w.is_closing():
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                struct.pack("ii", 1, 0))
            w.transport.abort()

    async def serve(self, reader, writer):
        if self.mode == "refuse":
            writer.transport.abort()
            return
        try:
            target_reader, target = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, target}
        try:
            await asyncio.gather(self.copy(reader, target, "out"),
                                 self.copy(target_reader, writer, "back"))
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self.writers -= {writer, target}
            writer.transport.abort()
            target.transport.abort()

    async def copy(self, reader, writer, way):
        while True:
            data = await reader.read(65536)
            if not data:
                if writer.can_write_eof():
                    writer.write_eof()
                return
            while self.mode in (way, "silent"):
                await asyncio.sleep(0.02)
            if self.mode == "slow":
                await asyncio.sleep(0.05)
            writer.write(data)
            await writer.drain()


FIRST_REVISIONS = [1, 2 ** 40 - 20, 1796670000000, 2 ** 53, 2 ** 62]
REVISION_STEPS = [1, 1, 1000003, 2 ** 40]


class LeaseStore(Store):
    """Store with lease expiry, lost write responses and delayed writes.  Its
    revisions are of any size."""

    def __init__(self, rng, revisions, violations):
        super().__init__()
        self.rng = rng
        self.violations = violations
        self.revision = revisions.choice(FIRST_REVISIONS)
        self.step = revisions.choice(REVISION_STEPS)
        self.given = set()      # (key, revision)
        self.lease_ends = {}    # lease -> expiry time
        self.loss_ratio = 0.0   # share of writes without a response
        self.late_ratio = 0.0   # share of those that are applied late

    async def answer(self, method, target, body):
        now = time.monotonic()
        path = target.partition("?")[0]
        write = path == "/api/kv-txn"
        if write:
            self.check_conditions(json.loads(body)["expected"])
        if write and self.rng.random() < self.loss_ratio:
            if self.rng.random() < self.late_ratio:
                asyncio.get_running_loop().call_later(
                    self.rng.uniform(0.5, 3), lambda: asyncio.ensure_future(
                        super(LeaseStore, self).answer(method, target, body)))
            else:
                await super().answer(method, target, body)
            await asyncio.sleep(3600)
        if path.startswith("/api/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease in self.leases:
                self.lease_ends[lease] = now + self.leases[lease] / 1000
        status, doc = await super().answer(method, target, body)
        if path == "/api/kv-lease" and status == 200:
            self.lease_ends[doc["lease"]] = now + doc["ttl_ms"] / 1000
        return status, doc

    async def put(self, key, value, lease=0):
        revision = await super().put(key, value, lease)
        self.given.add((key, revision))
        return revision

    def check_conditions(self, rows):
        for row in rows:
            given = (row["key"], row["revision"])
            if row["revision"] != 0 and given not in self.given:
                self.violations.add("a revision that was never given", row)

    def restore(self, copy):
        self.lease_ends = {}
        super().restore(copy)

    async def expire_leases(self):
        """Ends expired leases; they do not age while the store is down."""
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for lease, end in list(self.lease_ends.items()):
                if self.mode != "up":
                    self.lease_ends[lease] = end + 0.05
                elif now >= end:
                    del self.lease_ends[lease]
                    await self.answer(
                        "DELETE", "/api/kv-lease-end/%d" % lease, b"")


class Engine:
    """A replica: plain service, or engine that loads models on orders."""

    def __init__(self, world, name, service):
        self.world, self.name, self.service = world, name, service
        self.models = []
        self.loading = None
        self.sequence = 0
        self.fence, self.holder = 0, ""
        self.state = "ready"
        self.born = 0
        self.link = None
        self.server = None
        self.unresponsive = False  # accepts but never responds
        self.says = {}             # fields of all its answers
        self.limit = None          # requests a second that its answers name
        self.refusing_until = 0.0  # turns requests away before
        self.tasks = set()

    async def start(self, models=()):
        self.models, self.loading = list(models), None
        self.sequence, self.fence, self.state = 0, 0, "ready"
        self.born = int(time.time() * 1000)
        self.unresponsive, self.says, self.refusing_until = False, {}, 0.0
        if self.server is None:
            self.server = await asyncio.start_server(
                self.serve, "127.0.0.1", 0)
            port = self.server.sockets[0].getsockname()[1]
            self.link = await Link(("127.0.0.1", port)).start()
        await self.publish()

    async def publish(self):
        """Writes the state of the replica to the key-value service."""
        entry = {"service": self.service, "zone": "z1", "version": "v1",
                 "address": "127.0.0.1:%d" % self.link.port, "slots": 8,
                 "state": self.state, "cold_left_ms": 0,
                 "sequence": self.sequence, "born": self.born}
        if self.service == "llm":
            entry["models"] = [{"name": m, "version": 1, "adapters": []}
                               for m in self.models]
        if self.state == "draining":
            entry["remaining_ms"] = 2500
        await self.world.store.put("servers/" + self.name, entry)

    def crash(self):
        """Resets all connections and drops their requests.

        The replica accepts new ones without responding until the next start.
        """
        for task in list(self.tasks):
            task.cancel()
        self.link.reset()
        self.unresponsive = True

    async def serve(self, reader, writer):
        self.tasks.add(asyncio.current_task())
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                call = Call(self, reader, writer, *head)
                call.body = await reader.readexactly(
                    int(call.fields.get("content-length", 0)))
                if self.unresponsive:
                    await asyncio.sleep(3600)
                if not await self.handle(call):
                    return
        except (ConnectionError, asyncio.IncompleteReadError,
                asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(asyncio.current_task())
            writer.transport.abort()

    async def handle(self, call):
        if "/api/report" in call.line:
            return await self.report(call)
        if "/api/order" in call.line:
            return await self.order(call)
        self.world.limits.arrived(self, call)
        self.world.stops.arrived(self, call)
        if await self.world.notices.arrived(self, call):
            return True
        model = call.fields.get("arbutusspindle-model", "")
        if self.service == "llm" and model not in self.models:
            return await call.answer(b"", 421, {NOT_RUN: "1"}, signed=False)
        self.world.on_execution(self, call)
        try:
            return await self.work(call)
        finally:
            self.world.stops.worked(call)

    async def work(self, call):
        stops = self.world.stops
        if "/go/" not in call.line:
            await asyncio.sleep(stops.work_s(
                call, self.world.rng.uniform(0.002, 0.04)))
            return await call.answer(self.body_of(call.id))
        first = int(call.fields.get("last-event-id", 0)) + 1
        return await call.events(
            first, EVENTS, gap=stops.work_s(call, 0.36) / EVENTS)

    @staticmethod
    def body_of(id):
        return b"answer to " + id.encode()

    async def report(self, call):
        doc = {"stage": "colocated", "occupied": self.loading is not None,
               "sequence": self.sequence, "queued": 0, "in_flight": 0,
               "kv_used": 0, "kv_total": 100000, "handles": 0,
               "born": self.born,
               "models": [{"name": m, "version": 1, "adapters": []}
                          for m in self.models]}
        return await call.answer(json.dumps(doc).encode(), signed=False)

    async def order(self, call):
        doc = json.loads(call.body)
        status = self.accept(doc)
        if status == 202:
            self.sequence += 1
            asyncio.ensure_future(self.execute_order(doc, self.born))
        if self.world.rng.random() < self.world.order_loss_ratio:
            await asyncio.sleep(3600)
        return await call.answer(b"{}", status, signed=False)

    def accept(self, doc):
        if doc["fencing_token"] < self.fence:
            return 412
        if doc["fencing_token"] == self.fence and \
                doc["holder"] != self.holder:
            self.world.violations.add(
                "two holders with one fencing token", "%s: %s and %s, %d" % (
                    self.name, self.holder, doc["holder"], self.fence))
        self.fence, self.holder = doc["fencing_token"], doc["holder"]
        if self.loading is not None or doc["expected"] != self.sequence:
            return 409
        holds = doc["model"] in self.models
        if holds == (doc["operation"] == "load"):
            return 200
        used = MODEL_MB * (len(self.models) + (doc["operation"] == "load"))
        if used > REPLICA_MB:
            self.world.violations.add(
                "replica memory exceeded", "%s: order to load %s with %s" % (
                    self.name, doc["model"], self.models))
        self.loading = doc["model"]
        return 202

    async def execute_order(self, doc, born):
        await asyncio.sleep(0.4 if doc["operation"] == "load" else 0.05)
        if born != self.born:
            return
        self.loading = None
        if doc["operation"] == "load":
            self.models.append(doc["model"])
        elif doc["model"] in self.models:
            self.models.remove(doc["model"])
        await self.publish()


def rng_for(seed, what):
    """Random generator of its own for each part of a run."""
    return random.Random("%s/%s" % (seed, what))
