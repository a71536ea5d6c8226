"""Tests of scripts/check.py: how it reports the entries of KNOWN-RED.txt.

Prints one line per failed check, and "result: N passed, N failed" at the end.
"""
import contextlib
import io
import os
import sys
import tempfile
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(ROOT, "scripts"))
import check  # noqa: E402
import known_red  # noqa: E402

RED_FILE = """# A comment.
test_long | python3 tests/long.py, no seed | failed once | issue 1
test_mended | python3 tests/long.py, no seed | failed once | issue 1
hunt:crest:12 | fleetbench run a-site, crest.toml --seed 12 (a day) | LOST | 1
review/9 | sh review/9/run.sh, no seed (a script) | LIMIT | issue 2
fuzz_x.seeds:seed=3 | RC_PARAMS=seed=3 build/fuzz_x | an assertion | issue 3
"""
# The known reds come first, and more lines than check.py keeps come after.
PROGRAM = """
import sys
sys.path.insert(0, %r)
import known_red
print(known_red.line("test_long", AssertionError("only\\n  8 of 10 answered")))
print(known_red.line("test_mended", None))
for i in range(200):
    print("test_%%d ok" %% i)
print("result: 200 passed, 0 failed")
""" % os.path.join(ROOT, "scripts")

counts = {"passed": 0, "failed": 0}


def expect(what, ok):
    counts["passed" if ok else "failed"] += 1
    if not ok:
        print("FAILED: " + what)


def run_ci(programs, cases=()):
    """The output of check.py for these programs, and its exit status."""
    out = io.StringIO()
    check.counts.update(passed=0, failed=0)
    with tempfile.TemporaryDirectory() as folder, \
            contextlib.redirect_stdout(out):
        known_red.PATH = os.path.join(folder, "KNOWN-RED.txt")
        with open(known_red.PATH, "w") as f:
            f.write(RED_FILE)
        check.outcomes.clear()
        for name, text in programs:
            path = os.path.join(folder, "program.py")
            with open(path, "w") as f:
                f.write(text)
            check.run_check(name, [sys.executable, path])
        for status in cases:
            check.run_regression("fuzz_x.seeds", "seed=3",
                                 "/bin/true" if status == 0 else "/bin/false")
        status = check.report_result()
    return status, out.getvalue().splitlines()


def last_block(lines):
    """The lines from the heading of the known reds to the last but one."""
    at = [i for i, line in enumerate(lines) if line == "known reds:"]
    return lines[at[-1] + 1:-1] if at else []


def row(block, name, run=""):
    found = [line for line in block if line.split()[:1] == [name] and
             run in line]
    return found[0] if len(found) == 1 else "%d rows" % len(found)


def test_long_output():
    """Guards against a known red that is not named as the output of its
    program is longer than the part that is printed."""
    status, lines = run_ci([("entry", PROGRAM)])
    block = last_block(lines)
    expect("failed, with its reason: " + row(block, "test_long"),
           "entry: failed: AssertionError: only 8 of 10 answered" in
           row(block, "test_long"))
    expect("passes though listed: " + row(block, "test_mended"),
           "entry: passes now" in row(block, "test_mended"))
    expect("it fails no run", status == 0)
    expect("the last line: " + lines[-1], lines[-1] == "200 passed, 0 failed")


def test_runs_and_number():
    """Each run of a listed test has a row, and the number is of entries."""
    _, lines = run_ci([("entry", PROGRAM), ("asan entry", PROGRAM)])
    block = last_block(lines)
    for run in ("entry:", "asan entry:"):
        rows = [line for line in block[:-1] if line.split(
            None, 1)[1].startswith(run)]
        expect("two rows of %s %s" % (run, rows), len(rows) == 2)
    expect("number: " + block[-1], block[-1] ==
           "5 known reds: 1 failed, 1 passes now, 3 not run by CI")


def test_not_covered():
    """An entry that no run covers is printed with its command."""
    _, lines = run_ci([("entry", PROGRAM)])
    block = last_block(lines)
    for name, command in (
            ("hunt:crest:12",
             "fleetbench run a-site, crest.toml --seed 12 (a day)"),
            ("review/9", "sh review/9/run.sh, no seed (a script)"),
            ("fuzz_x.seeds:seed=3", "RC_PARAMS=seed=3 build/fuzz_x")):
        expect("%s: %s" % (name, row(block, name)), row(
            block, name).endswith("not run by CI: " + command))
    _, lines = run_ci([])
    expect("a listed test that did not run", "not run by CI: python3 "
           "tests/long.py, no seed" in row(last_block(lines), "test_long"))


def test_fuzz_case():
    """A listed case of a fuzzer; one that passes fails the run, as before."""
    status, lines = run_ci([], cases=[1])
    expect("fails: " + row(last_block(lines), "fuzz_x.seeds:seed=3"),
           "failed: exit 1" in row(last_block(lines), "fuzz_x.seeds:seed=3"))
    expect("it fails no run", (status, lines[-1]) == (0, "0 passed, 0 failed"))
    status, lines = run_ci([], cases=[0])
    expect("passes: " + row(last_block(lines), "fuzz_x.seeds:seed=3"),
           "passes now" in row(last_block(lines), "fuzz_x.seeds:seed=3"))
    expect("it fails the run", (status, lines[-1]) == (1, "0 passed, 1 failed"))


def test_not_listed():
    """A name that is not listed is no known red, whatever a program prints."""
    _, lines = run_ci([("entry", PROGRAM.replace("test_long", "test_other"))])
    block = last_block(lines)
    expect("not listed: " + row(block, "test_other"),
           row(block, "test_other") == "0 rows")
    expect("listed: " + row(block, "test_long"),
           "not run by CI" in row(block, "test_long"))


for test in (test_long_output, test_runs_and_number, test_not_covered,
             test_fuzz_case, test_not_listed):
    try:
        test()
    except Exception:  # reported with its traceback
        expect(test.__name__ + "\n" + traceback.format_exc(), False)
print("result: %(passed)d passed, %(failed)d failed" % counts)
sys.exit(counts["failed"] != 0)
