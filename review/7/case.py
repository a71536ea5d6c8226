"""CONFIG: one long name in a version keeps it, and all later ones, from being
put in force on any machine."""
import asyncio
import copy
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import world2  # noqa: E402

LONG = "replica-plate-orders-of-the-guild-halls-and-parishes-in-central-" \
    "switzerland"      # 75 characters
SHORT = "guild-halls"


def route(name, prefix, service):
    return {"name": name, "host": "shop.example", "path_prefix": prefix,
            "kind": "non_idempotent", "timeout_ms": 1000,
            "target_latency_ms": 150, "priority": 2, "service": service,
            "max_attempts": 1}


CONFIG = {
    "version": 3,
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
               "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
    "routes": [route("orders", "/order/", "werkstatt")],
    "services": [{"name": n, "health_path": "/health", "max_conns": 110}
                 for n in ("werkstatt", "giesserei")]}


async def case(record, trouble):
    w = world2.World(record, 3, CONFIG)
    await w.start()
    try:
        return await play(w, trouble)
    finally:
        await w.close()


async def order(w, node, path):
    a = await w.send(node, "POST", path, {}, b"plate", 1000)
    await w.until(lambda: a.ended, 5, "no answer")
    return a


async def play(w, trouble):
    old = world2.Plain(w, "i-5b20c1aa", "werkstatt")
    new = world2.Plain(w, "i-8d03f7e1", "giesserei")
    await old.start()
    await new.start()
    await w.start_nodes()
    await asyncio.sleep(1)
    first = await order(w, w.nodes[0], "/order/a")
    if first.status != 200 or len(old.ran) != 1:
        raise world2.NotPlayed("the first order was not served")
    # The operator adds a route, and moves the orders to another service.
    later = copy.deepcopy(CONFIG)
    later["version"] = 5
    later["routes"][0]["service"] = "giesserei"
    later["routes"].append(route(LONG if trouble else SHORT, "/guild/",
                                 "giesserei"))
    w.store.put("op/config", later)
    w.record("the store acknowledges version 5: /order/ goes to giesserei, "
             "and the route %s is added" % later["routes"][1]["name"])
    # config_apply_ms is 2,000, and nothing disturbs the machines.
    await asyncio.sleep(5)
    before = len(old.ran)
    answers = []
    for n in range(12):
        answers.append(await order(w, w.nodes[n % 3], "/order/b%d" % n))
    added = [await order(w, n, "/guild/c") for n in w.nodes]
    # A version without any change of names does not help either.
    last = copy.deepcopy(later)
    last["version"] = 8
    last["routes"][0]["timeout_ms"] = 900
    w.store.put("op/config", last)
    w.record("the store acknowledges version 8")
    await asyncio.sleep(5)
    for n in range(6):
        answers.append(await order(w, w.nodes[n % 3], "/order/d%d" % n))
    wrong = len(old.ran) - before
    missing = sum(a.status == 404 for a in added)
    w.record("%d of %d orders were run by the old service; %d of %d requests "
             "on the added route got 404" % (
                 wrong, len(answers), missing, len(added)))
    # What follows where the day ends with a final fault: all processes are
    # killed, and are back 0.8 s later.  recovery_s is 12.
    for n in w.nodes:
        n.signal(signal.SIGKILL)
        n.process.wait()
    await asyncio.sleep(0.8)
    for n in w.nodes:
        n.start()
    await asyncio.sleep(13)
    after = []
    for n in range(12):
        after.append(await order(w, w.nodes[n % 3], "/order/e%d" % n))
    served = sum(a.status == 200 for a in after)
    w.record("after the final fault %d of %d orders are served" % (
        served, len(after)))
    if wrong or missing or served < len(after) / 4:
        return world2.BROKEN, "CONFIG is broken: from 5 s after the " \
            "acknowledgement on, %d of %d orders were run by the service " \
            "that the route had left, and %d of %d requests on the added " \
            "route got 404; RECOVER: 13 s after a final fault %d of %d " \
            "orders were served" % (wrong, len(answers), missing, len(added),
                                    served, len(after))
    return world2.HELD, "CONFIG held: all requests were handled as the new " \
        "version says, also after the final fault"


if __name__ == "__main__":
    sys.exit(world2.play(os.path.join(HERE, "record.txt"), case))
