"""Serving measurements on loopback against two baselines.

The same recorded arrival trace (same seed) goes through the product and
through two policies of spindle-load's own: round robin, and least outstanding
of each gate.  Prints a table; judges nothing.
"""
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))), "scripts"))
from cluster import Cluster  # noqa: E402

POLICIES = ("gates", "round-robin", "least")
ENGINE = ["-t", "8", "-k", "0.06", "-p", "60", "-b", "24"]
SECONDS = float(os.environ.get("BENCH_SECONDS", "30"))


def fresh(port, **more):
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


def row(name, policy, report, *keys):
    print("| %s | %s | %s |" % (name, policy, " | ".join(
        "%.1f" % report[k] if isinstance(report[k], float)
        else str(report[k]) for k in keys)), flush=True)


def table(title, *columns):
    print("\n%s\n\n| trace | policy | %s |\n|%s" % (
        title, " | ".join(columns), "---|" * (len(columns) + 2)))


def each(name, keys, args, before=None, policies=POLICIES):
    out = {}
    for i, policy in enumerate(policies):
        c = fresh(21000 + 200 * i)
        try:
            if before:
                before(c)
            report, _, _ = c.load("-p", policy, "-d", SECONDS, *args)
            row(name, policy, report, *keys)
            out[policy] = report
        finally:
            c.down()
    return out


def long_work():
    keys = ("requests", "answered", "not_run", "short_first_p50_ms",
            "short_first_p99_ms", "long_first_p50_ms")
    table("Short work beside long work (30 and 400 tokens)", *keys)
    base = ["-r", 60, "--short-tokens", 30, "--long-tokens", 400, "-S", 31]
    alone = each("short only", keys, base + ["-L", 0])
    mixed = each("a third long", keys, base + ["-L", 0.33])
    for p in POLICIES:
        print("%s: short p99 beside long over alone: %.2f" % (
            p, mixed[p]["short_first_p99_ms"] /
            max(1.0, alone[p]["short_first_p99_ms"])))


def swing():
    keys = ("requests", "answered", "not_run", "in_time", "wanted",
            "short_first_p99_ms")
    table("Tenfold swing in the middle third, deadline 2 s", *keys)
    out = each("tenfold", keys, ["-r", 30, "-w", 10, "-L", 0.05, "-D", 2000,
                                 "--short-tokens", 60, "--long-tokens", 300,
                                 "-S", 32])
    print("goodput over least outstanding: %.2f, over round robin: %.2f" % (
        out["gates"]["in_time"] / max(1, out["least"]["in_time"]),
        out["gates"]["in_time"] / max(1, out["round-robin"]["in_time"])))


def slow():
    keys = ("requests", "answered", "not_run", "short_first_p50_ms",
            "short_first_p99_ms")
    table("Two of twelve replicas five times slower", *keys)
    args = ["-r", 60, "-L", 0.1, "--short-tokens", 40,
            "--long-tokens", 200, "-S", 33]

    def hamper(c):
        for i in (3, 7):
            c.post(c.engine(i), "/fault", {"slow": 5.0})
    even = each("even", keys, args)
    two = each("two slow", keys, args, hamper)
    for p in POLICIES:
        print("%s: p99 with slow replicas over without: %.2f" % (
            p, two[p]["short_first_p99_ms"] /
            max(1.0, even[p]["short_first_p99_ms"])))


def cancels():
    keys = ("requests", "answered", "cancelled", "engine_s", "wasted_s",
            "cancel_p99_ms")
    table("Seven of ten requests cancelled", *keys)
    out = each("cancels", keys, ["-r", 80, "-c", 0.7, "-L", 0.3,
                                 "--short-tokens", 80, "--long-tokens", 300,
                                 "-S", 34])
    for p in POLICIES:
        print("%s: engine time on cancelled work: %.2f%%" % (
            p, 100 * out[p]["wasted_s"] / max(0.1, out[p]["engine_s"])))


PARTS = {"long": long_work, "swing": swing, "slow": slow,
         "cancels": cancels}


def main(names):
    for name, part in PARTS.items():
        if not names or name in names:
            part()
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
