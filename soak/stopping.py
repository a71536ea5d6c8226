"""Callers that keep their connections, and stops that may lose requests."""
import asyncio
import signal
import time

from world import MODELS, rng_for
from platform_world import CRASHES, request

STABLE_S = 3.0        # without a fault before a request, for it to count
GRACE_S = 4.0         # grace_s of the settings
TERM_TIMEOUT_S = 4.5  # with a margin
SLACK_S = 0.2         # loss_slack_ms: the close may cross the request
SENT_BY_S = 3.0       # after SIGTERM; later requests must end in time
TIMEOUT_S = 5.0       # timeout_ms of the routes
ANSWER_S = 11.0       # two requests, one after the other
LAST_STOP_S = 2.0     # before the end of faults
SERIES_GAP_S = (0.2, 3.0)
CALLERS_PER_VM = 6


class Sent:
    """One request on a connection that is kept."""

    def __init__(self, id, kind, deadline_s, work_s):
        self.id, self.kind = id, kind
        self.deadline_s = int(deadline_s * 1000) / 1000  # as it is sent
        self.work_s = work_s
        self.began = time.monotonic()
        self.whole_at = None    # its last byte has been sent
        self.lag = 0.0          # of this program, by then
        self.engines = []       # that it has reached
        self.worked_until = None


class Connection:
    """A connection, used until the process closes it."""

    def __init__(self, stops, vm, reader, writer):
        self.stops, self.vm, self.process = stops, vm, vm.process
        self.reader, self.writer = reader, writer
        self.waiting = []          # requests without a whole answer, in order
        self.closed = False
        self.idle = asyncio.Event()
        self.task = asyncio.ensure_future(self.read())

    async def send(self, sent, head, pieces, pauses):
        """Sends a request; its body in pieces with pauses in between."""
        self.waiting.append(sent)
        self.idle.clear()
        try:
            self.writer.write(head)
            for piece, pause in zip(pieces, pauses):
                await asyncio.sleep(pause)
                if self.closed or sent not in self.waiting:
                    return
                self.writer.write(piece)
            await self.writer.drain()
        except ConnectionError:
            return
        sent.whole_at, sent.lag = time.monotonic(), self.stops.lag

    async def read(self):
        """Reads answers until one says close or the connection ends."""
        world, said_close = self.stops.world, False
        try:
            while not said_close:
                status, names = await world.read_head(self.reader)
                if not self.waiting:
                    world.violations.add("answer without a request",
                                         "%d at vm%d" % (status,
                                                         self.vm.index))
                    break
                body = await world.read_body(self.reader, names)
                sent = self.waiting.pop(0)
                world.count("kept " + world.check_response(
                    sent.id, sent.kind, status, names, body))
                self.stops.answered(self, sent)
                said_close = names.get("connection") == "close" or \
                    sent.whole_at is None
                if not self.waiting:
                    self.idle.set()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        except ValueError as e:
            world.violations.add("answer that is not HTTP", str(e))
        finally:
            end = time.monotonic()
            self.closed = True
            self.idle.set()
            self.writer.transport.abort()
        await self.stops.ended(self, end, said_close)


class Stops:
    """Stops of processes in series, and what they owe to requests."""

    def __init__(self, world):
        self.world = world
        self.sent = {}   # id -> request on a kept connection
        self.lag = 0.0   # how late this program has been in all, seconds

    # --- callers ----------------------------------------------------------
    async def measure_lag(self):
        while True:
            began = time.monotonic()
            await asyncio.sleep(0.01)
            self.lag += max(0.0, time.monotonic() - began - 0.012)

    async def caller(self, number):
        rng = rng_for(self.world.seed, "kept caller %d" % number)
        vm = self.world.vms[number % len(self.world.vms)]
        while not self.world.done:
            try:
                c = Connection(self, vm, *await asyncio.open_connection(
                    vm.ip, vm.ports["front"]))
            except OSError:
                await asyncio.sleep(0.05)
                continue
            await self.use(c, rng)
            if not c.closed:
                c.task.cancel()
            await asyncio.gather(c.task, return_exceptions=True)
            await asyncio.sleep(rng.uniform(0, 0.1))

    async def use(self, c, rng):
        """Sends requests on a connection until it ends."""
        while not c.closed and not self.world.done:
            first = await self.ask(c, rng)
            if first.kind == "go" and rng.random() < 0.5:
                await asyncio.sleep(rng.uniform(0, first.work_s))
                if not c.closed:
                    await self.ask(c, rng, "once" if rng.random() < 0.6
                                   else "read")
            try:
                await asyncio.wait_for(c.idle.wait(), ANSWER_S)
            except asyncio.TimeoutError:
                if c.vm.is_settled():
                    self.world.violations.add("no response in time",
                                              c.waiting[0].id)
                return
            await asyncio.sleep(rng.choice([0, 0, 0, 0.1, 1.0]))

    async def ask(self, c, rng, kind=None):
        kind = kind or rng.choice(["read", "once", "go", "go"])
        # Long streams and bodies keep connections open late in a stop.
        work_s = rng.choice([0.1, rng.uniform(2, 4.4)] if kind == "go" else
                            [0.02, 0.3, rng.uniform(0.3, 1.5)])
        chunked = kind != "read" and rng.random() < 0.4
        body_s = rng.choice([0, rng.uniform(0, 4)]) if chunked else 0
        sent = Sent(self.world.new_id(c.vm), kind,
                    body_s + work_s + rng.uniform(0.3, 3), work_s)
        body = b"" if kind == "read" else b"%032x" % rng.getrandbits(128)
        fields = {} if kind != "go" else {
            "Arbutusspindle-Model": rng.choice(MODELS),
            "Arbutusspindle-Token-Count": "200,36",
            "Arbutusspindle-Prompt-Prefix": "a1:200"}
        fields.update(self.world.accounts.fields(sent.id))
        pieces, pauses = [body], [0]
        if chunked:
            fields["Transfer-Encoding"] = "chunked"
            pieces = [b"8\r\n%s\r\n" % body[i:i + 8]
                      for i in range(0, len(body), 8)] + [b"0\r\n\r\n"]
            pauses = [body_s / len(pieces)] * len(pieces)
        # A request in chunks has no length.
        method = "GET" if kind == "read" else \
            "PUT" if chunked else "POST"
        head = request("/%s/x" % kind, sent.id, method,
                       body if method == "POST" else b"", fields,
                       deadline=round(sent.deadline_s * 1000))
        if method == "POST":
            head = head[:-len(body)]
        self.sent[sent.id] = sent
        self.world.sent_requests[sent.id] = (kind, body)
        self.world.notices.sent_at[sent.id] = sent.began
        await c.send(sent, head, pieces, pauses)
        return sent

    # --- at the replicas --------------------------------------------------
    def arrived(self, engine, call):
        if call.id in self.sent:
            self.sent[call.id].engines.append(engine)

    def work_s(self, call, default):
        sent = self.sent.get(call.id)
        return default if sent is None else sent.work_s

    def worked(self, call):
        if call.id in self.sent:
            self.sent[call.id].worked_until = time.monotonic()

    # --- the check --------------------------------------------------------
    def counts(self, c, sent):
        """Whether a SIGTERM, and no other fault, may have touched it."""
        since = sent.began - STABLE_S
        links = [c.vm.store_link] + [e.link for e in sent.engines]
        return c.process in c.vm.terms and sent.whole_at is not None and \
            not c.vm.paused and c.vm.unplanned_at < since and \
            all(x.mode == "pass" and x.reset_at < since for x in links)

    def answered(self, c, sent):
        if self.counts(c, sent):
            self.world.count("answered around a stop")

    def is_allowed(self, c, sent, end):
        """Whether a request may end without a whole answer."""
        if not sent.engines and end - sent.whole_at - (
                self.lag - sent.lag) <= SLACK_S:
            return True
        if end >= sent.began + min(sent.deadline_s, TIMEOUT_S):
            return True
        term = c.vm.terms[c.process]
        worked_until = min(sent.worked_until or end, end)
        return bool(sent.engines) and sent.whole_at <= term + SENT_BY_S and \
            worked_until >= term + GRACE_S * 5 / 6

    async def ended(self, c, end, said_close):
        """Checks the requests that had no whole answer as their connection
        ended."""
        await asyncio.sleep(0.03)  # for the lag up to now
        unanswerable = said_close
        for sent in c.waiting:
            # HTTP has no answer behind one that is cut or says close.
            if not self.counts(c, sent) or self.is_allowed(c, sent, end) or \
                    unanswerable and not sent.engines:
                unanswerable = True
                continue
            term = c.vm.terms[c.process]
            self.world.violations.add(
                "request lost around a stop",
                "%s %s at vm%d: sent %.3f..%.3f s after SIGTERM, end %.3f, "
                "deadline %.3f, work %.2f, at %s until %s" % (
                    sent.id, sent.kind, c.vm.index, sent.began - term,
                    sent.whole_at - term, end - term,
                    sent.began + sent.deadline_s - term, sent.work_s,
                    [e.name for e in sent.engines],
                    sent.worked_until and
                    "%.3f" % (sent.worked_until - term)))

    # --- stops ------------------------------------------------------------
    async def stop(self, vm):
        """SIGTERM, and a new process once that one has ended."""
        process, paused = vm.process, 0.0
        vm.signal(signal.SIGTERM)
        end = time.monotonic() + TERM_TIMEOUT_S
        while process.poll() is None and time.monotonic() < end + paused:
            await asyncio.sleep(0.05)
            paused += 0.05 * vm.paused
            vm.mark_disturbed()
        if process.poll() is None:
            self.world.violations.add(
                "process did not stop within its grace time",
                "vm%d" % vm.index)
            process.kill()
            process.wait()
        if process.returncode in CRASHES:
            self.world.violations.add("process crashed", "vm%d: %d" % (
                vm.index, process.returncode))
        if not vm.alive():
            await vm.start()

    async def play(self, until):
        """Stops in series; SIGHUP and configurations come in between."""
        rng = rng_for(self.world.seed, "stops")
        until -= LAST_STOP_S
        tasks = []
        while time.monotonic() < until:
            await asyncio.sleep(rng.uniform(*SERIES_GAP_S))
            series = rng.choice([self.in_turn, self.twice, self.some])
            self.world.log("series " + series.__name__)
            tasks.append(asyncio.ensure_future(series(rng, until)))
            if rng.random() < 0.5:
                await asyncio.sleep(rng.uniform(0, 1))
                vm = rng.choice(self.world.vms)
                # A process that starts may not handle it yet.
                if time.monotonic() > vm.started_at + 1:
                    vm.signal(signal.SIGHUP)
            if rng.random() < 0.5:
                await self.world.configure(rng)
        await asyncio.gather(*tasks)

    async def in_turn(self, rng, until):
        await self.one_after_the_other(rng, until, self.world.vms)

    async def some(self, rng, until):
        await self.one_after_the_other(
            rng, until, rng.sample(self.world.vms, rng.choice([1, 2, 3])))

    async def one_after_the_other(self, rng, until, vms):
        gap = rng.uniform(0, 1)
        tasks = []
        for vm in vms:
            if time.monotonic() > until:
                break
            tasks.append(asyncio.ensure_future(self.stop(vm)))
            await asyncio.sleep(gap)
        await asyncio.gather(*tasks)

    async def twice(self, rng, until):
        """Stops one VM again as it starts, or soon after."""
        vm = rng.choice(self.world.vms)
        await self.stop(vm)
        await asyncio.sleep(rng.choice([rng.uniform(0, 0.1), 0.4, 1.5]))
        if time.monotonic() < until:
            await self.stop(vm)
