"""Tests of spindle-entry: the service's revisions may be any number below 2^63.

Prints one line per test, and "result: N passed, N failed" at the end.
"""
import json
import signal
import sys
import time

from entry import check, engine_config, main, metric
from limits import Fleet
from platform_world import World, answer_ok

LEASE_S = 4.0     # of the right to send orders
RETRY_S = 0.7     # between attempts to take it
DRAIN_S = 2.0     # drain_ms of the platform's pages
SMALL = 5
CLOCK_MS = 1796670000000
LARGEST = 2 ** 63 - 1
RANGE, WATCH = "/api/kv-range", "/api/kv-watch"


def fleet(first, processes, config=None):
    """Processes at a store whose counter starts at a number."""
    f = Fleet(processes)
    store = f.first.store
    store.revision = first
    if config is not None:
        f.first.config = config
    return f


def check_conditions(store):
    """No condition names a revision that the store never gave."""
    given = {(key, revision) for revision, key, _ in store.history}
    for row in store.conditions:
        check("condition %s" % row, row["revision"] == 0 or
              (row["key"], row["revision"]) in given)


def take_over(first):
    """The holder of the orders is killed; another process takes its place."""
    worlds = [World(engine_config(), start=False) for _ in range(3)]
    store = worlds[0].store
    store.revision = first
    try:
        worlds[0].run(store.put("op/config", worlds[0].config))
        for w in worlds:
            w.store_port = worlds[0].store_port
            w.start()
        worlds[0].wait("taken", lambda: any(
            w.events("cell-taken") for w in worlds))
        holder = next(w for w in worlds if w.events("cell-taken"))
        holder.process.send_signal(signal.SIGKILL)
        holder.process.wait()
        holder.run(store.remove("spindle/lease/orders"))
        holder.wait("revision %d: taken again" % first, lambda: any(
            w.events("cell-taken") for w in worlds if w is not holder),
            LEASE_S + 2 * RETRY_S)
        check_conditions(store)
    finally:
        for w in worlds:
            w.stop()


def test_orders_after_holder_is_killed():
    """Guards against review/12: revisions of 2^40 and more were cut, so that
    nobody could take the orders after their first holder."""
    take_over(CLOCK_MS)


def test_orders_after_holder_is_killed_small():
    take_over(SMALL)


def test_orders_after_holder_is_killed_crossing():
    take_over(2 ** 40 - 3)


def test_orders_after_holder_is_killed_largest():
    take_over(LARGEST - 1000)


def changes(first):
    """Replicas leave and come; returns the calls for lists meanwhile, and the
    watches that were lost."""
    f = fleet(first, 3)
    store = f.first.store
    try:
        f.start([answer_ok, answer_ok])
        since = len(store.calls)
        for i in range(4):
            f.first.run(store.remove("servers/i-%d" % (i % 2)))
            time.sleep(0.5)
            f.first.register("i-%d" % (i % 2), sequence=2 + i)
            time.sleep(0.5)
        time.sleep(DRAIN_S)
        for w in f.worlds:
            check("known at %s" % w.vm, metric(
                w, "spindle_entry_replicas_ready") == 2)
        return (sum(t.startswith((RANGE, WATCH))
                    for _, t in store.calls[since:]),
                sum(len(w.events("watch-lost")) for w in f.worlds))
    finally:
        f.stop()


def test_calls_for_lists():
    """With large revisions every watch was answered with 410, and each list
    was read anew all the time."""
    small, _ = changes(SMALL)
    for first in (CLOCK_MS, 2 ** 53 + 1, LARGEST - 1000):
        large, lost = changes(first)
        check("%d calls with small revisions, %d from %d on, %d lost" % (
            small, large, first, lost), large <= 1.5 * small and lost == 0)


def removal(first, processes, step=1):
    """All processes learn of a removal, of which only hubs are told."""
    f = fleet(first, processes)
    store = f.first.store
    store.step = step
    try:
        f.start([answer_ok, answer_ok])
        f.first.register("i-1", sequence=2)
        time.sleep(1.0)
        f.first.run(store.remove("servers/i-0"))
        time.sleep(DRAIN_S)
        for w in f.worlds:
            check("gone at %s" % w.vm, any(
                e.get("backend") == "i-0" for e in w.events("replica-gone")))
        check("the same list", len({
            metric(w, "spindle_entry_list_revision") for w in f.worlds}) == 1)
    finally:
        f.stop()


def test_removal():
    removal(CLOCK_MS, 5)


def test_removal_large_fleet():
    removal(2 ** 62, 18)


def test_removal_same_low_bits():
    """Revisions whose lower 40 bits are all the same."""
    removal(2 ** 40, 5, 2 ** 40)


def test_removal_after_restoration():
    """The service goes on from a copy and gives large revisions out again."""
    f = fleet(2 ** 62, 5)
    store = f.first.store
    try:
        f.start([answer_ok, answer_ok])
        copy = store.copy()
        for i in range(5):
            f.first.register("i-1", sequence=2 + i)
        time.sleep(0.5)
        f.first.loop.call_soon_threadsafe(store.restore, copy)
        f.first.wait("restored", lambda: store.era == 2)
        f.first.register("i-1", sequence=9)
        time.sleep(1.0)
        f.first.run(store.remove("servers/i-0"))
        time.sleep(DRAIN_S)
        for w in f.worlds:
            check("gone at %s" % w.vm, any(
                e.get("backend") == "i-0" for e in w.events("replica-gone")))
    finally:
        f.stop()


def test_unusable_revisions():
    """A revision that is no integer below 2^63 is named in the log; nothing is
    written under a condition taken from it."""
    for odd in (2 ** 63, 2 ** 64 + 7, -1, 4.0, "4", None):
        w = World(start=False)
        try:
            w.run(w.store.put("op/config", w.config))
            w.store.shown = lambda r, odd=odd: odd
            w.start()
            w.wait("named: %r" % odd, lambda w=w: any(
                "2^63" in e["detail"] for e in w.events("kv-bad")))
            time.sleep(1.0)
            check("not ready", not w.ready())
            written = [row for row in w.store.conditions
                       if row["revision"] != 0]
            check("%r: conditions %s" % (odd, written), not written)
            check("counted", metric(w, "spindle_entry_bad_answers_total") > 0)
            w.store.shown = lambda r: r
            w.wait("ready", w.ready)
        finally:
            w.stop()


def test_unusable_revision_of_one_entry():
    """It costs only the entry that has it."""
    w = World(start=False)
    try:
        w.run(w.store.put("op/config", w.config))
        for name in ("i-a", "i-b"):
            w.replica(name, "plain", answer_ok)
        odd = w.store.items["servers/i-a"][1]
        w.store.shown = lambda r: 4.0 if r == odd else r
        w.start()
        w.wait_ready()
        w.wait("named", lambda: any(
            "2^63" in e["detail"] for e in w.events("replica-bad")))
        check("served", w.call()[0] == 200)
        check("listed: %s" % json.dumps(w.events("replica-listed")),
              {e["backend"] for e in w.events("replica-listed")} == {"i-b"})
    finally:
        w.stop()


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:], globals()))
