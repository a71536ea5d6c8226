"""Tests of spindle-entry: the list of replicas beside entries of other writers.

Several processes share the list; hubs read it, and the others hear of changes
from them.  Prints one line per test, and "result: N passed, N failed" at the
end.
"""
import sys
import time

import entry
from entry import check, metric
from limits import Fleet
from platform_world import answer_ok

DRAIN_S = 2.0    # drain_ms of the platform's pages
SETTLE_S = 4.0   # longer than their stable_ms
VALUE_BYTES = 1048576
LARGE_FLEET = 18  # more processes than read the list themselves


def replica_entry(number, **more):
    """A readable entry of another writer, of a service that nobody calls."""
    doc = {"service": "other", "address": "127.0.0.1:%d" % (1024 + number),
           "zone": "z9", "version": "v1", "slots": 6, "state": "ready",
           "cold_left_ms": 0, "sequence": 1, "born": 1700000000000}
    doc.update(more)
    return doc


def zero_bytes():
    return {"a-0": bytes(64)}


def large_value():
    return {"a-0": b"x" * VALUE_BYTES}


def many_large_values():
    """More than a response to one watch may have."""
    return {"x-%d" % i: b"x" * VALUE_BYTES for i in range(8)}


def large_readable_values():
    """Readable, but for a member that nobody knows."""
    return {"x-%d" % i: replica_entry(i, note="x" * (VALUE_BYTES - 400))
            for i in range(2)}


def any_bytes():
    """Bytes, texts and documents that cannot be read, beside readable ones."""
    values = [b"\xff\xfe\x00", b"", b"\"", b"null", b"[]", b"{\"a\":\"\\u0000\"}",
              b"{\"a\":\"\\ud800\"}", b"{" * 5000, bytes(range(256)),
              replica_entry(1, state="odd"), replica_entry(2, zone="z\0"),
              replica_entry(3, zone="\x01\x7f\"\\\u2028"),
              replica_entry(4, models=[{"name": "m" * 63, "adapters": [
                  "\u00e4" * 40] * 40}] * 40),
              replica_entry(5, models=[{"name": 7}]),
              replica_entry(6, at_hand={"on_disk": ["\U0001f600" * 30]}),
              replica_entry(7, sequence=2 ** 63 - 1, born=2 ** 53)]
    return {"b-%02d" % i: v for i, v in enumerate(values)}


def odd_keys():
    """Keys that fit in no buffer or mean something in a URL; the first ones
    fill whole pages of the list."""
    keys = ["0" * 150 + "%03d" % i for i in range(40)]
    keys += ["0 a&after=z#?%41+", "0\u00e9\U0001f600", "0\0zero", "0\n", "0/", "0%"]
    return {k: b"{}" for k in keys}


def many_entries():
    """More readable entries than one message holds."""
    models = [{"name": "model-%02d-%s" % (i, "x" * 50), "adapters": []}
              for i in range(16)]
    return {"n-%04d" % i: replica_entry(i, models=models)
            for i in range(1200)}


def many_unreadable_entries():
    return {"u-%05d" % i: b"?" for i in range(4000)}


def check_removal(entries, processes=5, page=500):
    """Others write entries; then a replica's entry is removed.  All processes
    learn of the removal in time and go on serving."""
    f = Fleet(processes)
    try:
        f.first.store.page_items = page
        f.start([answer_ok, answer_ok])
        for key, value in entries.items():
            f.first.run(f.first.store.put("servers/" + key, value))
        time.sleep(SETTLE_S)
        removed = time.monotonic()
        f.first.run(f.first.store.remove("servers/i-0"))
        time.sleep(DRAIN_S)
        late = [w.vm for w in f.worlds if not is_gone(w, "i-0")]
        check("%d of %d do not know of the removal after %.1f s" % (
            len(late), processes, time.monotonic() - removed), not late)
        for i, w in enumerate(f.worlds):
            status = w.call("/once/x", "id-%d" % i, "POST", b"o")[0]
            check("served: %d" % status, status == 200)
            check("memory", memory_mb(w) < 130)
    finally:
        f.stop()


def is_gone(w, replica):
    return any(e.get("backend") == replica for e in w.events("replica-gone"))


def memory_mb(w):
    """The largest that the process has been."""
    if "SPINDLE_ENTRY" in entry.os.environ:
        return 0  # sanitizers need more
    with open("/proc/%d/status" % w.process.pid) as f:
        return next(int(line.split()[1]) / 1024 for line in f
                    if line.startswith("VmHWM"))


def test_removal_beside_zero_bytes():
    """Guards against review/2: machines that are no hubs learned of no removal
    beside an entry of zero bytes."""
    check_removal(zero_bytes())


def test_removal_beside_zero_bytes_large_fleet():
    check_removal(zero_bytes(), LARGE_FLEET)


def test_removal_beside_large_value():
    """The same beside one of value_bytes."""
    check_removal(large_value())


def test_removal_beside_large_value_large_fleet():
    check_removal(large_value(), LARGE_FLEET)


def test_removal_beside_many_large_values():
    check_removal(many_large_values())


def test_removal_beside_large_readable_values():
    check_removal(large_readable_values())


def test_removal_beside_any_bytes():
    check_removal(any_bytes())


def test_removal_beside_odd_keys():
    check_removal(odd_keys(), page=3)


def test_removal_beside_many_entries():
    check_removal(many_entries())


def test_removal_beside_many_entries_large_fleet():
    check_removal(many_entries(), LARGE_FLEET)


def test_removal_beside_many_unreadable_entries():
    check_removal(many_unreadable_entries())


def test_replica_overwritten():
    """Another writer's bytes in place of a replica's entry end its use at all
    processes; the replica's next entry puts it back."""
    f = Fleet(5)
    try:
        f.start([answer_ok, answer_ok])
        f.first.run(f.first.store.put("servers/i-0", bytes(64)))
        time.sleep(DRAIN_S)
        for w in f.worlds:
            check("gone at %s" % w.vm, is_gone(w, "i-0"))
        f.first.register("i-0", zone="a", sequence=2)
        time.sleep(DRAIN_S)
        for w in f.worlds:
            check("back at %s" % w.vm, sum(
                e.get("backend") == "i-0"
                for e in w.events("replica-listed")) >= 2)
    finally:
        f.stop()


def test_late_process_gets_long_list():
    """A process that starts beside a list of more than one message gets all of
    it from its peers."""
    f = Fleet(4)
    try:
        f.first.store.page_items = 500
        late = f.worlds.pop()
        f.start([answer_ok, answer_ok])
        for key, value in many_entries().items():
            f.first.run(f.first.store.put("servers/" + key, value))
        time.sleep(SETTLE_S)
        late.store_port = f.first.store_port
        late.start()
        f.worlds.append(late)
        late.wait("ready", late.ready, 20)
        time.sleep(DRAIN_S)
        f.first.run(f.first.store.remove("servers/i-0"))
        time.sleep(DRAIN_S)
        check("knows of the removal", is_gone(late, "i-0"))
        check("the same list", len({
            metric(w, "spindle_entry_list_revision") for w in f.worlds}) == 1)
    finally:
        f.stop()


if __name__ == "__main__":
    sys.exit(entry.main(sys.argv[1:], globals()))
