#!/usr/bin/env python3
"""Copies the sources with one policy mechanism disabled, for an ablation study
against the unmodified build.

usage: scripts/ablate.py NAME FOLDER     copy to FOLDER with NAME disabled
       scripts/ablate.py                 list the names
The switches exist only here, not as shipped settings. The effect of each
mechanism is reported in docs/decisions-under-load.md.
"""

import pathlib
import shutil
import sys

from guards_off import ROOT, switch_off

SCHEDULER = "libs/serving/include/serving/slot_scheduler_settings.h"
GATEWAY = "libs/gateway/src/"

MECHANISMS = {
    # Free slots are taken before those of own items, however few there are.
    "scarce_slots": [(SCHEDULER, "scarce_factor = 2.0;", "scarce_factor = 0;")],
    "batch_reserve": [(SCHEDULER, "batch_reserve = 1;", "batch_reserve = 0;")],
    "own_zone": [(SCHEDULER, "own_zone_factor = 1.5;", "own_zone_factor = 1.0;")],
    # Requests queue at servers only behind nobody.
    "short_queue": [(SCHEDULER, "queue_share_of_objective = 0.5;",
                     "queue_share_of_objective = 0.0;")],
    # Rejected callers retry after the queue's time.
    "return_time": [(GATEWAY + "online/online_waiting.cc",
                     "Reject(call, promised, ", "Reject(call, call.backlog, ")],
    # Requests without a slot are rejected at once.
    "wait_queue": [("libs/admission/src/wait_queue.cc",
                    "if (rate < kMinRate) return WaitVerdict::kNoRate;",
                    "if (now < kNever) return WaitVerdict::kNoRate;")],
    # Callers return at random, late in the time they have left.
    "rhythm": [("libs/admission/src/return_schedule.cc",
                "if (rate > 0 && HasRhythm(now)) {",
                "if (rate > 0 && now == kNever) {")],
    "jobs_in_time_first": [("libs/serving/src/job_table.cc",
                            "return overdue_a != overdue_b ? overdue_b : a.due_at < b.due_at;",
                            "return a.due_at < b.due_at;")],
    "withdraw_queued_items": [(GATEWAY + "batch/batch_runner.cc",
                               "  WithdrawQueuedRuns(now);\n", "")],
    # No gateway receives the progress of a peer's items.
    "progress_notes": [(GATEWAY + "gateway_peers.cc",
                        "if (now - progress_sent_at_ < kProgressPause) return;",
                        "if (now > progress_sent_at_) return;")],
    "notes_to_restarted": [(GATEWAY + "gateway_records.cc",
                            "  jobs_.RepublishProgress(gateway);\n", "")],
    "latest_due_gives_way": [(GATEWAY + "batch/batch_runner.cc",
                              "if (candidate && due <= latest_due) continue;",
                              "if (candidate) continue;")],
    "long_idle": [(GATEWAY + "servers/upstream_settings.h", "milliseconds(8000);",
                   "milliseconds(2000);")],
    "servers_in_groups": [(GATEWAY + "gateway_wiring.cc",
                           "kServerMirrorPause{300};", "kServerMirrorPause{0};")],
    "step_by_step_starts": [("libs/serving/src/slot_scheduler_batch.cc",
                             "constexpr double kMaxHeadroomShare = 0.5;",
                             "const double kMaxHeadroomShare ="
                             " 2.0 * static_cast<double>(in_fleet);")],
    # Every gateway reports each change of its slots to all others.
    "cells": [("libs/serving/src/cell_map.cc", "kMostInOneFleet = 32;",
               "kMostInOneFleet = 1000000;")],
    # Requests wait where two gateways have taken the last slot.
    "give_way": [(GATEWAY + "gateway.cc",
                  "  runner_.PreemptBlockingItems(now);\n", "")],
    # Each gateway reads the store by itself.
    "store_readers": [(GATEWAY + "gateway_peers.cc",
                       "const bool fed = !readers_.empty() && !IsReader()",
                       "const bool fed = now == kNever && !IsReader()")],
    # A gateway behind fetches the configuration with short deadlines only.
    "patient_fetch": [(GATEWAY + "peers/configuration_link.cc",
                       "attempt_failed_ && pending_patient_.empty();",
                       "attempt_failed_ && now == kNever;")],
    # No cell takes over the shards of another one.
    "cell_takeover": [(GATEWAY + "gateway_cells.cc",
                       "  cell_watch_.SetProbing(ProbesForCell(now));\n", "")],
    # Nothing is placed in another cell while the own one has items to preempt.
    "beyond_the_cell": [(SCHEDULER, "remote_reserve = 1;", "remote_reserve = 1000;")],
}


def main():
    if len(sys.argv) != 3:
        print("\n".join(MECHANISMS))
        return
    folder = pathlib.Path(sys.argv[2])
    shutil.copytree(ROOT, folder, dirs_exist_ok=True,
                    ignore=shutil.ignore_patterns("build*", "target", ".git",
                                                  "journal"))
    switch_off(folder, MECHANISMS[sys.argv[1]])


if __name__ == "__main__":
    main()
