"""Serving benchmark on loopback against two baselines.

The same arrival trace (same seed) is replayed through the gates and through
two policies that spindle-load implements itself: round robin, and least
outstanding requests per gate.  Prints tables and makes no pass or fail
decision.
"""
import json
import os
import re
import subprocess
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))), "scripts"))
from cluster import Cluster, get_json, request  # noqa: E402

POLICIES = ("gates", "round-robin", "least")
ENGINE = ["-t", "8", "-k", "0.06", "-p", "60", "-b", "24"]
SECONDS = float(os.environ.get("BENCH_SECONDS", "30"))


# Starts a cluster, applies its ticket and waits until it is ready.
def start_cluster(port, **more):
    args = dict(vms=3, engines=12, services=0, models=8, adapters=0,
                copies=3, load_ms=50, rate=1000, concurrent=16,
                memory_mb=40000, model_mb=8000, base_port=port,
                engine_args=ENGINE)
    args.update(more)
    c = Cluster(**args)
    c.up()
    c.declare()
    c.wait_resident()
    c.wait_ready()
    return c


def print_row(name, policy, report, *keys):
    print("| %s | %s | %s |" % (name, policy, " | ".join(
        "%.1f" % report[k] if isinstance(report[k], float)
        else str(report[k]) for k in keys)), flush=True)


def print_header(title, *columns):
    print("\n%s\n\n| trace | policy | %s |\n|%s" % (
        title, " | ".join(columns), "---|" * (len(columns) + 2)))


# Runs one trace through each policy; returns the reports by policy.
def run_policies(name, keys, args, setup=None, policies=POLICIES):
    out = {}
    for i, policy in enumerate(policies):
        c = start_cluster(21000 + 200 * i)
        try:
            if setup:
                setup(c)
            report, _, _ = c.load("-p", policy, "-d", SECONDS, *args)
            print_row(name, policy, report, *keys)
            out[policy] = report
        finally:
            c.down()
    return out


def measure_long_requests():
    keys = ("requests", "answered", "not_run", "short_first_p50_ms",
            "short_first_p99_ms", "long_first_p50_ms")
    print_header("Short and long requests mixed (30 and 400 tokens)", *keys)
    base = ["-r", 60, "--short-tokens", 30, "--long-tokens", 400, "-S", 31]
    alone = run_policies("short only", keys, base + ["-L", 0])
    mixed = run_policies("a third long", keys, base + ["-L", 0.33])
    for p in POLICIES:
        print("%s: short p99, mixed load over short only: %.2f" % (
            p, mixed[p]["short_first_p99_ms"] /
            max(1.0, alone[p]["short_first_p99_ms"])))


def measure_load_swing():
    keys = ("requests", "answered", "not_run", "in_time", "wanted",
            "short_first_p99_ms")
    print_header("Tenfold swing in the middle third, deadline 2 s", *keys)
    out = run_policies("tenfold", keys, [
        "-r", 30, "-w", 10, "-L", 0.05, "-D", 2000, "--short-tokens", 60,
        "--long-tokens", 300, "-S", 32])
    print("goodput over least outstanding: %.2f, over round robin: %.2f" % (
        out["gates"]["in_time"] / max(1, out["least"]["in_time"]),
        out["gates"]["in_time"] / max(1, out["round-robin"]["in_time"])))


def measure_slow_replicas():
    keys = ("requests", "answered", "not_run", "short_first_p50_ms",
            "short_first_p99_ms")
    print_header("Two of twelve replicas five times slower", *keys)
    args = ["-r", 60, "-L", 0.1, "--short-tokens", 40,
            "--long-tokens", 200, "-S", 33]

    def slow_two_engines(c):
        for i in (3, 7):
            c.post(c.engine(i), "/fault", {"slow": 5.0})
    even = run_policies("even", keys, args)
    two = run_policies("two slow", keys, args, slow_two_engines)
    for p in POLICIES:
        print("%s: p99 with slow replicas over without: %.2f" % (
            p, two[p]["short_first_p99_ms"] /
            max(1.0, even[p]["short_first_p99_ms"])))


def measure_cancellation():
    keys = ("requests", "answered", "cancelled", "engine_s", "wasted_s",
            "cancel_p99_ms")
    print_header("Seven of ten requests cancelled", *keys)
    out = run_policies("cancels", keys, [
        "-r", 80, "-c", 0.7, "-L", 0.3, "--short-tokens", 80,
        "--long-tokens", 300, "-S", 34])
    for p in POLICIES:
        print("%s: engine time on cancelled requests: %.2f%%" % (
            p, 100 * out[p]["wasted_s"] / max(0.1, out[p]["engine_s"])))


CONTROLS = {"product": "spindle-control", "static even": "control-even",
            "last minute": "control-minute"}


def measure_placement():
    """Shares of requests served in time while model popularity shifts."""
    keys = ("requests", "answered", "not_run", "in_time", "wanted",
            "short_first_p99_ms")
    for name, concurrent in (("Messingblatt", 3), ("Slibroute", 16)):
        print_header("Placement, %s: 12 replicas, 25 models, 3 copies fit a "
                     "server, %d concurrent loads; popularity shifts every "
                     "20 s" % (name, concurrent), *keys)
        for policy, binary in CONTROLS.items():
            c = Cluster(vms=3, engines=12, services=0, models=25,
                        adapters=0, copies=1, load_ms=300, rate=1.5,
                        concurrent=concurrent, memory_mb=28000,
                        model_mb=8000, base_port=24000,
                        engine_args=ENGINE, control=binary)
            try:
                c.up()
                c.declare()
                c.wait_resident(90)
                c.wait_ready()
                before = count_moves(c)
                report, _, _ = c.load(
                    "-d", 2 * SECONDS, "-r", 190, "-D", 2000, "--rotate",
                    20, "-L", 0.05, "--short-tokens", 60, "-S", 35,
                    "--long-tokens", 300)
                print_row(name, policy, report, *keys)
                print("%s, %s: attainment %.1f%%, %d moves" % (
                    name, policy, 100 * report["in_time"] /
                    report["wanted"], count_moves(c) - before), flush=True)
            finally:
                c.down()


def count_moves(c):
    return sum(cell["loads"] + cell["unloads"] for i in range(c.nvms)
               for cell in get_json(c.control(i), "/v1/status")["cells"])


def read_metrics(c, addr):
    text = request(addr, "GET", "/metrics")[2].decode()
    return {k: float(v) for k, v in re.findall(
        r"^(\w+) ([\d.e+-]+)$", text, re.M)}


def measure_processes():
    """CPU time, memory and bus traffic of the daemons by request rate."""
    print("\nDaemons by rate (3 VMs, 40 tokens a request)\n\n"
          "| rate | gates: ms of CPU a request | us a token | gate RSS MB | "
          "owner: ms a request | control RSS MB | bus bytes a request | "
          "owner idle share |\n|---|---|---|---|---|---|---|---|")
    for rate in (0.05, 30, 90, 180):
        c = start_cluster(26000)
        try:
            addrs = [c.gate(i) for i in range(3)] + [
                c.control(i) for i in range(3)]
            before = [read_metrics(c, a) for a in addrs]
            report, _, _ = c.load("-d", 20, "-r", rate, "-S", 36,
                                  "--short-tokens", 40)
            after = [read_metrics(c, a) for a in addrs]
            cpu = [b["process_cpu_seconds_total"] -
                   a["process_cpu_seconds_total"]
                   for a, b in zip(before, after)]
            sent = sum(b["spindle_bus_sent_bytes_total"] -
                       a["spindle_bus_sent_bytes_total"]
                       for a, b in zip(before, after))
            rss = [b["process_max_resident_bytes"] / 2 ** 20 for b in after]
            n = max(1, report["requests"])
            print("| %g | %.3f | %.1f | %.0f | %.3f | %.0f | %.0f | %.2f%% |"
                  % (rate, 1e3 * sum(cpu[:3]) / n,
                     1e6 * sum(cpu[:3]) / n / 40, max(rss[:3]),
                     1e3 * max(cpu[3:]) / n, max(rss[3:]), sent / n,
                     100 * max(cpu[3:]) / 21), flush=True)
        finally:
            c.down()


def measure_ticket_delay():
    """Time from ticket-accepted to conf-in-force on nine nodes, and the rate of
    key-value calls when idle."""
    c = Cluster(vms=9, engines=2, services=0, models=4, adapters=0,
                base_port=28000, load_ms=50)
    tickets = 30
    try:
        c.up()
        c.declare()
        c.wait_resident()
        time.sleep(5)
        calls, start = c.stats(c.platform)["calls"], time.monotonic()
        time.sleep(10)
        idle = (c.stats(c.platform)["calls"] - calls) / (
            time.monotonic() - start)
        for n in range(2, 2 + tickets):
            c.ctl("apply", c.write_ticket(c.ticket(number=n, models=[
                {"name": "model0", "memory_mb": 9000,
                 "priority": n % 10}])), vm=n % 9)
        proc = subprocess.run(
            [os.path.join(c.build, "spindle-timeline"), "-f", "json"] +
            [c.control(i) for i in range(9)],
            capture_output=True, text=True, check=True)
    finally:
        c.down()
    accepted, force = {}, {}
    for line in proc.stdout.splitlines():
        event = json.loads(line)
        found = re.search(r"revision=(\d+)", event["detail"])
        if not found or int(found.group(1)) < 2:
            continue
        revision = int(found.group(1))
        if event["event"] == "ticket-accepted":
            accepted[revision] = event["at"]
        elif event["event"] == "conf-in-force":
            force.setdefault(revision, []).append(event["at"])
    late = sorted((max(force[r]) - accepted[r]) / 1e6 for r in accepted)
    whole = [r for r in accepted if len(force[r]) == 9]
    print("\nAccepted to in force on 9 of 9 nodes: %d of %d tickets; last "
          "node after p50 %.0f ms, max %.0f ms; idle calls of the service: "
          "%.1f/s" % (len(whole), len(accepted), late[len(late) // 2],
                      late[-1], idle), flush=True)


PARTS = {"in_force": measure_ticket_delay, "processes": measure_processes,
         "placement": measure_placement, "long": measure_long_requests,
         "swing": measure_load_swing, "slow": measure_slow_replicas,
         "cancels": measure_cancellation}


def main(names):
    for name, part in PARTS.items():
        if not names or name in names:
            part()
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
