"""Checks documents against the code: events, options, settings, examples."""
import glob
import os
import re
import subprocess
import sys

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
BUILD = os.path.join(ROOT, "build")
PAGES = {"spindle-entry": 8, "spindle-gate": 8, "spindle-control": 8, "spindlectl": 1,
         "spindle-timeline": 1, "fake-platform": 1, "fake-engine": 1,
         "spindle-load": 1}
counts = {"passed": 0, "failed": 0}


def check(what, ok):
    counts["passed" if ok else "failed"] += 1
    if not ok:
        print("FAILED: " + what)


def read(path):
    with open(os.path.join(ROOT, path)) as f:
        return f.read()


def check_events():
    """docs/EVENTS.md lists every numbered event with its level and text."""
    table = {}
    for number, level, name, text in re.findall(
            r"\{\s*(\d+),\s*LOGLEVEL_(\w+),\s*\"([\w-]+)\",\s*"
            r"((?:\"[^\"]*\"\s*)+)\}", read("shell/log.c")):
        table[number] = (level.lower(), name, "".join(
            re.findall(r'"([^"]*)"', text)))
    listed = {n: (lv, nm, tx) for n, nm, lv, tx in re.findall(
        r"^\| (\d+) \| ([\w-]+) \| (\w+) \| ([^|]*?) \|", read(
            "docs/EVENTS.md"), re.M)}
    check("events: 30 or more in the table", len(table) >= 30)
    for number, entry in table.items():
        check("event %s %s in docs/EVENTS.md" % (number, entry),
              listed.get(number) == entry)
    for number in listed:
        check("event %s in the code" % number, number in table)


def check_options():
    """Each option in --help is documented in the program's manual page."""
    for program, section in PAGES.items():
        text = subprocess.run(
            [os.path.join(BUILD, program), "--help"], capture_output=True,
            text=True, check=False).stdout
        page = read("man/%s.%d" % (program, section))
        longs = set(re.findall(r"--([a-z][a-z-]*)", text))
        check("%s --help lists options" % program, "help" in longs)
        for name in longs:
            check("%s: --%s in its page" % (program, name),
                  re.search(r"Fl (\w , )?-%s\b" % name, page))
        for name in set(re.findall(r"^  -(\w)[,= ]", text, re.M)):
            check("%s: -%s in its page" % (program, name),
                  re.search(r"Fl %s\b" % name, page))


def check_settings():
    """Each settings key is documented in spindle-settings(5)."""
    page = read("man/spindle-settings.5")
    for path in ("gate/main.c", "control/control.c"):
        for name in re.findall(r"FIELD\(\s*(\w+), CHECK", read(path)):
            check("settings: %s in the page" % name, re.search(
                r"(Va|,) %s\b" % name, page))


def check_examples():
    for path, program in (("gate", "spindle-gate"),
                          ("control", "spindle-control")):
        check("example %s.json" % path, subprocess.run(
            [os.path.join(BUILD, program), "-n", "-c",
             os.path.join(ROOT, "man/examples/%s.json" % path)],
            check=False).returncode == 0)
    tickets = sorted(glob.glob(os.path.join(ROOT, "man/examples/ticket*")))
    proc = subprocess.run([os.path.join(BUILD, "spindlectl"), "check"] +
                          tickets, capture_output=True, text=True,
                          check=False)
    check("example tickets: " + proc.stderr, proc.returncode == 0 and
          proc.stdout.count("is good") == len(tickets) > 1)


def check_manual():
    pages = sorted(glob.glob(os.path.join(ROOT, "man/*.[158]")))
    proc = subprocess.run(["mandoc", "-T", "lint", "-W", "warning"] + pages,
                          capture_output=True, text=True, check=False)
    check("mandoc: " + proc.stdout, proc.returncode == 0)
    check("a page for every program", len(pages) == len(PAGES) + 2)


def check_paths():
    """No file names a path outside the repository.  journal/ is exempt, since
    its records of benchmark runs are kept as they were written."""
    proc = subprocess.run(
        ["git", "grep", "-nE", r"/(wor[k]|far[m])/|\.\./(given|shared)",
         "--", ":!tests/documents.py", ":!journal"], cwd=ROOT, capture_output=True,
        text=True, check=False)
    check("paths: " + proc.stdout, proc.stdout == "")


for check_part in (check_events, check_options, check_settings, check_examples,
                   check_manual, check_paths):
    check_part()
print("result: %(passed)d passed, %(failed)d failed" % counts)
sys.exit(counts["failed"] != 0)
