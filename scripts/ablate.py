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

BOARD = "libs/serving/include/serving/slot_board_settings.h"
GATEWAY = "libs/gateway/src/"

MECHANISMS = {
    # Free slots are used before slots of this gateway's own batch items, however
    # few are free.
    "scarce_slots": [(BOARD, "scarce_factor = 2.0;", "scarce_factor = 0;")],
    "batch_reserve": [(BOARD, "batch_reserve = 1;", "batch_reserve = 0;")],
    "own_zone": [(BOARD, "own_zone_factor = 1.5;", "own_zone_factor = 1.0;")],
    # A request is sent to a server only when no other request is queued there.
    "short_queue": [(BOARD, "queue_share_of_objective = 0.5;",
                     "queue_share_of_objective = 0.0;")],
    # Retry-After of rejected callers is the queue time alone.
    "return_time": [(GATEWAY + "online/online_calls.cc", "const Duration after = saturated",
                     "const Duration after = saturated && now == kNever")],
    "jobs_in_time_first": [("libs/serving/src/job_book.cc",
                            "return late_a != late_b ? late_b : a.due_at < b.due_at;",
                            "return a.due_at < b.due_at;")],
    "withdraw_queued_items": [(GATEWAY + "batch/batch_runner.cc",
                               "  WithdrawQueued(now);\n", "")],
    # Gateways do not share the progress of their batch items.
    "progress_notes": [(GATEWAY + "gateway_peers.cc",
                        "if (now - shared_progress_at_ < kProgressPause) return;",
                        "if (now > shared_progress_at_) return;")],
    "notes_to_restarted": [(GATEWAY + "gateway_records.cc",
                            "  book_.Retell(entry);\n", "")],
    "latest_due_gives_way": [(GATEWAY + "batch/batch_runner.cc",
                              "if (chosen && due <= latest) continue;",
                              "if (chosen) continue;")],
    "long_idle": [(GATEWAY + "servers/upstream_settings.h", "milliseconds(8000);",
                   "milliseconds(2000);")],
    "servers_in_groups": [(GATEWAY + "gateway_wiring.cc",
                           "kServerMirrorPause{300};", "kServerMirrorPause{0};")],
    "step_by_step_starts": [("libs/serving/src/slot_board_batch.cc",
                             "constexpr double kMostOfRoom = 0.5;",
                             "const double kMostOfRoom = 2.0 * static_cast<double>(all);")],
    # Every gateway reports each change of its slots to all others.
    "cells": [("libs/serving/src/cell_map.cc", "kMostInOneFleet = 32;",
               "kMostInOneFleet = 1000000;")],
    # No preemption of batch items: requests wait where two took the last slot.
    "give_way": [(GATEWAY + "gateway.cc", "  runner_.GiveWay(now);\n", "")],
    # Each gateway watches the store by itself.
    "store_readers": [(GATEWAY + "gateway_peers.cc",
                       "const bool fed = !readers_.empty() && !IsReader()",
                       "const bool fed = now == kNever && !IsReader()")],
    # Nothing is placed in another cell while the own cell has items to preempt.
    "beyond_the_cell": [(BOARD, "far_reserve = 1;", "far_reserve = 1000;")],
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
