"""Load test on loopback with 3 entry VMs, 4 engines and 1 plain service."""
import sys
import time

from cluster import Cluster


def main():
    start = time.monotonic()
    c = Cluster(vms=3, engines=4, services=1, models=8)
    try:
        c.up()
        print("up after %.1f s" % (time.monotonic() - start))
        print(c.ctl("apply", c.write_ticket(c.ticket())).stdout.strip())
        c.wait_resident(25)
        c.wait_ready()
        print("all models resident after %.1f s" %
              (time.monotonic() - start))
        report, last, status = c.load(
            "-d", 10, "-r", 40, "-L", 0.1, "-c", 0.6, "-o", 0.1, "-W", 0.1,
            "--long-tokens", 150, "--demo", timeout=60)
        for key in ("engine_s", "wasted_s", "cancel_p99_ms",
                    "short_first_p50_ms", "short_first_p99_ms"):
            print("%s: %.1f" % (key, report[key]))
        print("memory overcommitted on engines: %d times" %
              c.overcommits())
        print(c.ctl("status").stdout.strip())
        if status != 0 or c.overcommits() != 0:
            c.dump_logs()
            status = 1
        print(last)
        return status
    except AssertionError as e:
        c.dump_logs()
        print("demo: failed: %s" % e)
        return 1
    finally:
        c.down()


sys.exit(main())
