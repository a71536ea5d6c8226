"""Mutation test of the fuzzers' oracles.

Applies one mutation at a time to a scratch copy of the code, runs the fuzzer
that must detect it, and prints the failed assertion and the length of the
shrunk case.
"""
import os
import re
import shutil
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))

# (checked property: mutation, fuzzer, file, code, mutated code)
MUTANTS = [
    ("one complete response: head sent again on resume",
     "serving", "core/gate_call.c",
     "if (call->response_started || a->response_head != NULL)",
     "if (a->response_head != NULL)"),
    ("complete response in order: resumed from the start",
     "serving", "core/gate_attempt.c",
     "act->resume_tokens = a->call->tokens_delivered;",
     "act->resume_tokens = 0;"),
    ("response of the same request: delivered to another request",
     "serving", "core/gate_call.c",
     "gate_add_action(out, GATE_FORWARD_DATA, call->req.rid)->payload =\n\t    f->payload;",
     "gate_add_action(out, GATE_FORWARD_DATA, call->req.rid ^ 1)->payload =\n\t    f->payload;"),
    ("written at most once: retried after the request was written",
     "serving", "core/gate_retry.c",
     "[PHASE_REQUEST_WRITTEN] = RETRY_FORBIDDEN,",
     "[PHASE_REQUEST_WRITTEN] = RETRY_OTHER_TARGET,"),
    ("reported as not run: request was written",
     "serving", "core/gate_call.c",
     "if (call->request_written && gate_outcome_not_run(outcome))",
     "if (0 && gate_outcome_not_run(outcome))"),
    ("grants end with their gate: never expired",
     "serving", "core/sched.c",
     "if (now > job->refreshed_at + limit ||", "if (0 &&"),
    ("all slots are returned: releases ignored",
     "serving", "core/sched_msg.c",
     "\tif (job->state == JOB_GRANTED)\n\t\tjob_update_model(",
     "\tif (job->state == JOB_GRANTED)\n\t\treturn;\n\tif (job->state == "
     "JOB_GRANTED)\n\t\tjob_update_model("),
    ("no new requests to a draining backend server: leaving flag ignored",
     "serving", [
         ("core/sched_notice.c", "if (r->leaving || notice_is_leaving",
          "if (notice_is_leaving"),
         ("core/gate_notice.c", "return t->removed || t->leaving ||",
          "return t->removed ||")]),
    ("no data after a cancel: detached call still written",
     "serving", "core/gate_call.c",
     "if (!call->caller_gone) {", "if (1) {"),
    ("memory within capacity: unloading memory counted as free",
     "state", "core/ledger.c",
     "if (l->entries[i].accelerator == accelerator)",
     "if (l->entries[i].accelerator == accelerator &&\n\t\t    "
     "l->entries[i].state != ENTRY_UNLOADING)"),
    ("memory within capacity: delegated memory counted as free",
     "state", "core/ledger.c",
     "used += l->delegation.memory_mb;", "used += 0;"),
    ("memory within capacity: freed while an order may be in flight",
     "state", "core/cell_order.c",
     "int quiet = en->order_id == 0 && now >= en->in_doubt_until;",
     "int quiet = en->order_id == 0;"),
    ("the last copy is never evicted: eviction allowed",
     "state", "core/place.c",
     "return others != 0 && others >= m->min_copies;", "return 1;"),
    ("accepted ticket becomes active in time: no gossip, no watch",
     "state", "core/node_conf.c",
     "if (revision <= n->conf->revision || revision <= n->fetch.revision)\n"
     "\t\treturn;\n\tm = msg_create(MSG_CONF_PULL",
     "if (revision != 0)\n\t\treturn;\n\tm = msg_create(MSG_CONF_PULL"),
    ("configuration never reverts: older fetch applied",
     "state", "core/node_conf.c",
     "if (n->fetch.revision <= n->conf->revision) {", "if (0) {"),
    ("configuration never reverts: compare-and-swap on an unread head",
     "state", "core/node_ticket.c",
     "op->expected_revision = n->ticket_expect;",
     "op->expected_revision = n->head_revision;"),
    ("configuration never reverts: lower ticket number accepted",
     "state", "core/conf.c",
     "if (have > number)", "if (0)"),
    ("refused ticket has no effect: applied in place",
     "state", "core/conf.c",
     "json_object_update(c->objects, base->objects);",
     "json_decref(c->objects);\n\tc->objects = "
     "json_incref(base->objects);"),
    ("only the lease holder sends orders: lease expiry ignored",
     "state", [
         ("core/ownership.c", "now + o->config.margin_ns < o->lease_deadline;",
          "1;"),
         ("core/ownership.c", "if (now >= o->lease_deadline) {", "if (0) {")]),
    ("every declared model becomes resident: no copies placed",
     "state", [
         ("core/place.c", "move = choose_missing_copy(&s, 1);",
          "move = no_move;"),
         ("core/place.c", "move = choose_missing_copy(&s, 0);",
          "move = no_move;")]),
    ("a single owner remains: higher fencing token ignored",
     "state", "core/ownership.c",
     "if (fence <= o->fence || !o->held)", "if (1)"),
    ("no requests to a replica that says that it leaves: the list believed",
     "notice", "core/notice.c",
     "return n->leaving_at != 0 && started_ms <= n->started_ms;", "return 0;"),
    ("no requests to a replica that takes none: time ignored",
     "notice", "core/notice.c",
     "return started_ms <= n->started_ms && now < n->closed_until",
     "return 0 && now < n->closed_until"),
    ("no requests to a replica that takes none: a shorter time ends a longer",
     "notice", "core/notice.c",
     "until <= n->closed_until)", "until == n->closed_until)"),
    ("no requests to a replica that takes none: said before it was listed",
     "notice", "core/notice.c",
     "return started_ms > n->started_ms ? now < n->closed_until : n->probe;",
     "return started_ms > n->started_ms ? 0 : n->probe;"),
    ("a replica's word holds while it is not listed: forgotten",
     "notice", "core/notice.c",
     "if (!is_kept(n, now))\n\t\treturn;", "if (now != 0)\n\t\treturn;"),
    ("a new incarnation takes requests: the former's word holds",
     "notice", "core/notice.c",
     "return n->leaving_at != 0 && started_ms <= n->started_ms;",
     "return n->leaving_at != 0;"),
    ("no requests to a replica that says that it leaves: not heard by a gate",
     "serving", "core/gate_notice.c",
     "if (f->leaving && notice_leaving", "if (0 && notice_leaving"),
    ("no requests to a replica that takes none: not heard by a gate",
     "serving", "core/gate_notice.c",
     "if (f->closed_ns != 0 &&", "if (0 &&"),
    ("no grant at a replica that takes none: not heard by the owner",
     "serving", "core/sched_msg.c",
     "sched_apply_notice(r, now, it);", ""),
    ("no grant at a replica that leaves: not heard by the owner",
     "serving", "core/sched_notice.c",
     "if (it->leaving)", "if (0)"),
    ("an answer is whole or known not to be: no scan for a second answer",
     "answers", "shell/http_framing.c",
     "if (after_cr && c == LF)\n\t\treturn FRAMING_INVALID;", ""),
    ("an answer is whole or known not to be: a second one's start at the end",
     "answers", "shell/http_framing.c",
     "return f->state == FRAMING_UNTIL_CLOSE && f->matched == 0;",
     "return f->state == FRAMING_UNTIL_CLOSE;"),
    ("a prefix of the answer: events before a repeated one dropped",
     "answers", "entry/event_filter.c",
     "if (used != start)\n\t\t\t\twrite(ctx, p + start, used - start);", ""),
    ("a prefix of the answer: repeated events written",
     "answers", "entry/event_filter.c",
     "if (id != 0 && id <= f->written_id) {", "if (0) {"),
    ("a prefix of the answer: resumed one event too far",
     "answers", "entry/attempt_send.c",
     "f->response_started ? f->passed.written_id : 0",
     "f->response_started ? f->passed.written_id + 1 : 0"),
    ("a prefix of the answer: the start of an event kept for the next attempt",
     "answers", "entry/attempt_send.c",
     "sse_free(&f->events);\n\tforward_add_work", "forward_add_work"),
    ("its own answer: another request's id",
     "answers", "entry/attempt_send.c",
     "if (t.has_id && !t.id_matches)", "if (0)"),
    ("its own answer: an answer without id",
     "answers", "entry/attempt_send.c",
     "if (!t.has_signature || !t.id_matches || t.encoded)", "if (0)"),
    ("whole only if it is all of it: a reset ends a body",
     "answers", "net/http_client.c",
     "if (x->ops != NULL && error == 0 && x->head_received)",
     "if (x->ops != NULL && x->head_received)"),
    ("whole only if it is all of it: a close ends any body",
     "answers", "net/http.c",
     "if (!r->in_message || !r->head_done ||\n\t    "
     "!http_framing_may_close(&r->framing))",
     "if (!r->in_message || !r->head_done)"),
    ("whole only if it is all of it: a part of an event at the end",
     "answers", "entry/attempt_send.c",
     "if (f->invalid || buf_len(&f->events.partial) != 0)",
     "if (f->invalid)"),
    ("a prefix of the answer: an error behind events",
     "answers", "core/attempt.c",
     "(!f->response_started || !f->another_response)", "1"),
]
CASES = {"serving": 6000, "state": 1500, "notice": 20000, "answers": 20000}
SOURCES = ("core", "shell", "net", "platform", "entry", "tests", "Makefile")


def run_mutant(job):
    number, (what, fuzzer, *edits) = job
    edits = edits[0] if len(edits) == 1 else [edits]
    with tempfile.TemporaryDirectory(prefix="mutate.") as scratch:
        for name in SOURCES:
            src = os.path.join(ROOT, name)
            dst = os.path.join(scratch, name)
            if os.path.isdir(src):
                shutil.copytree(src, dst)
            else:
                shutil.copy(src, dst)
        for path, line, broken in edits:
            full = os.path.join(scratch, path)
            with open(full) as f:
                text = f.read()
            if line not in text:
                return number, what, fuzzer, "not found: " + line, False
            with open(full, "w") as f:
                f.write(text.replace(line, broken, 1))
        target = "build/fuzz_" + fuzzer
        build = subprocess.run(
            ["make", "-s", "-j2", target, "CFLAGS=-std=gnu11 -D_GNU_SOURCE "
             "-O1 -w", "CXXFLAGS=-std=gnu++17 -D_GNU_SOURCE -O1 -w"],
            cwd=scratch, capture_output=True, text=True, check=False)
        if build.returncode != 0:
            return number, what, fuzzer, build.stderr[-300:], False
        try:
            proc = subprocess.run(
                [os.path.join(scratch, target)], capture_output=True,
                text=True, errors="replace", timeout=400, check=False,
                env=dict(os.environ, RC_PARAMS="seed=%d max_success=%d" % (
                    number + 1, CASES[fuzzer])))
        except subprocess.TimeoutExpired:
            return number, what, fuzzer, "no verdict in 400 s", False
        text = proc.stdout + proc.stderr
    caught = re.search(r"after (\d+) tests and (\d+) shrinks", text)
    caught = caught or re.search(r"after (\d+) tests?()", text)
    if not caught:
        crashed = proc.returncode not in (0, 1)
        return (number, what, fuzzer, "crashed" if crashed else
                "NOT CAUGHT in %d cases" % CASES[fuzzer], crashed)
    commands = len(re.findall(r"^[a-z-]+\(\d+,\d+\)$", text, re.M))
    line = re.search(r"RC_ASSERT\(.*\)", text)
    return (number, what, fuzzer, "case %s, shrunk to %d commands: %s" % (
        caught.group(1), commands, line.group(0) if line else "exception"),
        True)


def main():
    ok = 0
    jobs = [j for j in enumerate(MUTANTS)
            if len(sys.argv) < 2 or str(j[0]) in sys.argv[1:]]
    with ThreadPoolExecutor(int(os.environ.get("MUTATE_JOBS", "4"))) as pool:
        for number, what, fuzzer, result, caught in pool.map(run_mutant, jobs):
            ok += caught
            print("| %d | %s | %s | %s |" % (number, what, fuzzer, result),
                  flush=True)
    print("%d passed, %d failed" % (ok, len(jobs) - ok))
    return ok != len(jobs)


sys.exit(main())
