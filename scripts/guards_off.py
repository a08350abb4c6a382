#!/usr/bin/env python3
"""Mutation test of the soak: for each guard, builds the node in a scratch copy
with that guard disabled and checks that the soak reports a violated guarantee.

usage: scripts/guards_off.py BUILD_DIR [NAME...]
Prints one line per guard: the guarantees reported as violated, or NOT CAUGHT.
"""

import os
import pathlib
import re
import shutil
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parents[1]
SEEDS = range(1, 13)
JOBS = 6

GATEWAY = "libs/gateway/src/"
# name -> edits as (file, text, replacement); each text occurs exactly once.
GUARDS = {
    "at_most_once": [
        (GATEWAY + "online/online_answers.cc",
         "return retryable && call.runs", "return call.runs"),
        (GATEWAY + "online/online_answers.cc",
         "call.runs + 1 < call.route.max_attempts &&\n         MonotonicNow()",
         "call.runs < 2 &&\n         MonotonicNow()"),
    ],
    "not_run_is_true": [
        (GATEWAY + "online/online_answers.cc",
         "Fail(call, timeout ? kGatewayTimeout : kBadGateway, reason);",
         "Reject(call, kRetryAfterFailedAttempts, reason);"),
    ],
    "foreign_answers": [
        (GATEWAY + "online/online_answers.cc",
         "if (response.request_id != call.request_id ||"
         " !response.signed_answer) {\n    connections_.Cancel",
         "if (call.request_id.empty()) {\n    connections_.Cancel"),
        (GATEWAY + "online/online_answers.cc",
         "if (response.request_id != call.request_id ||"
         " !response.signed_answer) {\n    return",
         "if (call.request_id.empty()) {\n    return"),
    ],
    "resume_after_last_event": [
        (GATEWAY + "online/online_calls.cc",
         "if (call.response_started) fields.after_event = call.last_event;", ""),
        (GATEWAY + "online/online_answers.cc",
         "*event->id != *call.last_event + 1", "*event->id == 0"),
    ],
    "partial_event": [
        (GATEWAY + "online/online_answers.cc",
         'if (call.reader.HasIncompleteEvent())\n'
         '      return OnAttemptBroken(call, "partial_event");', ""),
        (GATEWAY + "online/online_answers.cc",
         "return OnAttemptBroken(call, NameOf(event.outcome));",
         "return call.response_started\n"
         "               ? OnComplete(call)\n"
         "               : OnAttemptBroken(call, NameOf(event.outcome));"),
    ],
    "configuration_watch": [
        (GATEWAY + "gateway.cc",
         "if (table.version <= routes_.version) return {};",
         "if (routes_.version != 0) return {};"),
    ],
    "draining_servers": [
        ("libs/serving/src/slot_scheduler.cc",
         "!server.removed && !server.record.draining &&", ""),
    ],
    "graceful_stop": [
        (GATEWAY + "gateway.cc", "caller_server_.BeginDraining();", "io_.stop();"),
    ],
    "written_before_accepted": [
        (GATEWAY + "batch/job_writer.cc", "  Write(id);\n}\n\nvoid JobWriter::Write(",
         "  Accept(id, EncodeJob(submissions_.at(id).request.record));\n}\n\n"
         "void JobWriter::Write("),
    ],
    "first_commit_wins": [
        (GATEWAY + "batch/result_committer.cc",
         "    case StoreOutcome::kConflict:\n    case StoreOutcome::kUnknown:\n"
         "      return ReadBack(job, pending.number);",
         "    case StoreOutcome::kConflict:\n    case StoreOutcome::kUnknown:\n"
         "      return ApplySegment(job, pending.number,"
         " std::move(pending.results));"),
    ],
    "caller_gone": [
        (GATEWAY + "online/online_calls.cc",
         "connections_.Cancel(call.upstream);\n  // Callers leave",
         "// Callers leave"),
    ],
    "ended_job": [
        (GATEWAY + "batch/batch_runner.cc", "!job || job->ended || committed",
         "!job || committed"),
        ("libs/serving/include/serving/batch_job.h",
         "return !ended && !complete();", "return !complete();"),
    ],
    "quota": [
        ("libs/serving/src/quota_limiter.cc",
         "return static_cast<double>(unacknowledged + tokens) <= share",
         "return share >= 0"),
    ],
    "quota_at_all": [
        (GATEWAY + "batch/job_writer.cc",
         "if (request.max_waiting_tokens == 0) return",
         "if (request.tokens != 0) return"),
    ],
    "deadline": [
        (GATEWAY + "online/online_calls.cc", "request.deadline = call.deadline;",
         "request.deadline = kNever;"),
    ],
    "item_attempts": [
        (GATEWAY + "batch/batch_answers.cc", "if (progress.failures >= attempts)",
         "if (attempts > 0)"),
    ],
    "no_key_is_passed_on": [
        ("platform/src/request_headers.cc",
         "if (IsIdentityField(name)) return true;", ""),
    ],
    "keys_are_asked_for": [
        (GATEWAY + "callers/request_admission.cc",
         "identity.access == CallerAccess::kGranted", "!is_public"),
    ],
    "taken_keys_are_gone": [
        ("libs/workspaces/src/workspace_directory.cc", "  names_by_key_.clear();\n", ""),
    ],
    "rate": [
        (GATEWAY + "callers/request_admission.cc",
         "if (decision.verdict == RateVerdict::kAdmitted) return true;",
         "return true;"),
    ],
    "unknown_job_is_asked_for": [
        (GATEWAY + "batch/batch_api.cc",
         "if (!known) return RespondUnknownJob(call->request.exchange, job);",
         "if (!known) return Respond(call->request.exchange, 404);"),
        (GATEWAY + "gateway_records.cc",
         "const auto addresses = peers_.LiveAddresses();\n  const RecordName",
         "const std::map<std::string, std::string> addresses;\n"
         "  const RecordName"),
    ],
}


def switch_off(copy, edits):
    for file, text, replacement in edits:
        path = copy / file
        source = path.read_text()
        if source.count(text) != 1:
            sys.exit(f"{file}: expected 1 occurrence, found {source.count(text)}: {text}")
        path.write_text(source.replace(text, replacement))


def build(copy):
    # Copies differ only in their folder, so unchanged files come from the cache.
    environment = dict(os.environ, CCACHE_BASEDIR=str(copy), CCACHE_NOHASHDIR="1")
    for command in (["cmake", "-S", str(copy), "-B", str(copy / "out"), "-G",
                     "Ninja", "-DBUILD_TESTING=OFF"],
                    ["ninja", "-C", str(copy / "out"), "-j", str(JOBS),
                     "knapweedstile"]):
        subprocess.run(command, check=True, env=environment,
                       stdout=subprocess.DEVNULL)
    return copy / "out/apps/knapweedstile/knapweedstile"


def violated_guarantees(soak, program):
    environment = dict(os.environ, KNAP_NODE_PROGRAM=str(program))
    runs = [subprocess.Popen([soak, "--seed", str(seed)], env=environment,
                             stdout=subprocess.PIPE, stderr=subprocess.DEVNULL,
                             text=True) for seed in SEEDS]
    found = {}
    for seed, run in zip(SEEDS, runs):
        for guarantee in set(re.findall(r"^BROKEN ([^:]*):",
                                        run.communicate()[0], re.MULTILINE)):
            found.setdefault(guarantee, []).append(seed)
    return found


def main():
    build_dir = pathlib.Path(sys.argv[1]).resolve()
    missed = 0
    for name in sys.argv[2:] or GUARDS:
        with tempfile.TemporaryDirectory(prefix="knap-guard-") as folder:
            copy = pathlib.Path(folder) / "copy"
            shutil.copytree(ROOT, copy, ignore=shutil.ignore_patterns(
                "build*", "target", ".git", "journal"))
            switch_off(copy, GUARDS[name])
            found = violated_guarantees(build_dir / "tests/soak/knap_soak",
                                        build(copy))
        missed += not found
        seen = "; ".join(f"{guarantee} (seeds {', '.join(map(str, seeds))})"
                         for guarantee, seeds in sorted(found.items()))
        print(f"{name}: {seen or 'NOT CAUGHT'}", flush=True)
    sys.exit(1 if missed else 0)


if __name__ == "__main__":
    main()
