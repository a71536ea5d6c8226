"""Tests of spindle-entry: versions of the configuration, as long and as many
as the key-value service takes them.

Prints one line per test, and "result: N passed, N failed" at the end.
"""
import copy
import sys
import time

import entry
from entry import check
from platform_world import World, default_config, route

LONG = "n" * 200
# From the acknowledgement of a version until it is in force (config_apply_ms).
APPLY_S = 2.0


def version(w):
    """The version in force, 0 for none."""
    found = [e["detail"].split()[0] for e in w.events("conf-in-force")]
    return int(found[-1].split("=")[1]) if found else 0


def put(w, config):
    """Writes a version; returns whether it is in force in time."""
    w.run(w.store.put("op/config", config))
    end = time.monotonic() + APPLY_S
    while time.monotonic() < end and version(w) != config["version"]:
        time.sleep(0.02)
    return version(w) == config["version"]


def restart(w):
    w.process.kill()
    w.process.wait()
    w.log.close()
    w.start()
    w.wait_ready()


def long_config():
    """Moves /read/ to another service and adds a route; of all that the
    operator names, one name is long."""
    config = default_config(version=5)
    config["services"].append(
        {"name": LONG, "health_path": "/" + LONG, "max_conns": 100})
    config["routes"][0].update(service=LONG)
    config["routes"].append(route(LONG, "/%s/" % LONG, "idempotent"))
    config["routes"].append(route("host", "/", "idempotent", host=LONG))
    config["routes"].append(route(
        "split", "/split/", "idempotent", traffic_split=[
            {"service": "none-%d" % i, "weight": 0} for i in range(40)] + [
            {"service": "plain", "weight": 1}]))
    return config


def check_applied(w, old, new, n):
    """Requests go where the long configuration says."""
    before = len(old.requests), len(new.requests)
    check("moved route", w.call("/read/x", "m-%d" % n)[0] == 200)
    check("by the new service", (len(old.requests), len(new.requests)) == (
        before[0], before[1] + 1))
    for i, path in enumerate(("/%s/x" % LONG, "/split/x")):
        check(path, w.call(path, "a-%d-%d" % (n, i))[0] == 200)
    s = w.connect()
    s.sendall(("GET /x HTTP/1.1\r\nHost: %s\r\n"
               "Arbutusspindle-Attempt-Id: h-%d\r\n\r\n" % (LONG, n)).encode())
    check("long host", entry.read_answer(s)[0] == 200)
    s.close()


def test_version_with_long_names():
    """A version with long names, texts and splits is put in force in time, as
    are later ones, also after all processes were killed."""
    w = World()
    try:
        old = w.replica("i-old")
        w.wait_ready()
        config = long_config()
        new = w.replica("i-new", LONG)
        check("in force", put(w, config))
        w.wait("listed", lambda: len(w.events("replica-listed")) == 2)
        check_applied(w, old, new, 1)
        later = copy.deepcopy(config)
        later["version"] = 8
        check("later version in force", put(w, later))
        restart(w)
        w.wait("listed", lambda: len(w.events("replica-listed")) == 2)
        check_applied(w, old, new, 2)
    finally:
        w.stop()


def test_version_with_large_limits():
    """A limit of 2^32 bytes on headers bounds neither callers nor the answers
    of the service, as a small one does not bound the latter: requests are
    served and later versions put in force."""
    w = World()
    try:
        w.replica("i-1")
        w.wait_ready()
        w.wait("listed", lambda: w.events("replica-listed"))
        number = 5
        for size in (1 << 32, 1 << 53, 200):
            config = default_config(
                version=number, max_header_bytes=size, max_body_bytes=size,
                idle_timeout_ms=max(size, 1500))
            config["routes"][0].update(priority=1.0, timeout_ms=1 << 53)
            check("in force: %d" % size, put(w, config))
            check("served: %d" % size,
                  w.call("/read/x", "n-%d" % number)[0] == 200)
            number += 1
        status = w.call("/read/x", "n-0", fields={"X-Long": "x" * 300})[0]
        check("a large header is refused: %d" % status, status == 431)
    finally:
        w.stop()


if __name__ == "__main__":
    sys.exit(entry.main(sys.argv[1:], globals()))
