#!/usr/bin/env python3
"""Copies the sources with one mechanism of the policy switched off, to be built
and measured beside the whole.

usage: scripts/ablate.py NAME FOLDER     the copy with NAME off
       scripts/ablate.py                 the names
The switches stand here and in no shipped setting. What each is worth:
docs/decisions-under-load.md.
"""

import pathlib
import shutil
import sys

from guards_off import ROOT, switch_off

BOARD = "libs/serving/include/serving/slot_board_settings.h"
GATEWAY = "libs/gateway/src/"

MECHANISMS = {
    # Free slots are taken before those of own items, however few there are.
    "scarce_slots": [(BOARD, "scarce_factor = 2.0;", "scarce_factor = 0;")],
    "batch_reserve": [(BOARD, "batch_reserve = 1;", "batch_reserve = 0;")],
    "own_zone": [(BOARD, "own_zone_factor = 1.5;", "own_zone_factor = 1.0;")],
    # Requests queue at servers only behind nobody.
    "short_queue": [(BOARD, "queue_share_of_objective = 0.5;",
                     "queue_share_of_objective = 0.0;")],
    # Turned away callers come back after the queue's time.
    "return_time": [(GATEWAY + "online/online_calls.cc", "const Duration after = saturated",
                     "const Duration after = saturated && now == kNever")],
    "jobs_in_time_first": [("libs/serving/src/job_book.cc",
                            "return late_a != late_b ? late_b : a.due_at < b.due_at;",
                            "return a.due_at < b.due_at;")],
    "withdraw_queued_items": [(GATEWAY + "batch/batch_runner.cc",
                               "  WithdrawQueued(now);\n", "")],
    # No entry knows how far another one's items have come.
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
    # Every entry tells all others each change of its slots.
    "cells": [("libs/serving/src/cell_map.cc", "kMostInOneFleet = 32;",
               "kMostInOneFleet = 1000000;")],
    # Requests wait where two have taken the last slot.
    "give_way": [(GATEWAY + "gateway.cc", "  runner_.GiveWay(now);\n", "")],
    # Each entry follows the store by itself.
    "store_readers": [(GATEWAY + "gateway_peers.cc",
                       "const bool fed = !readers_.empty() && !IsReader()",
                       "const bool fed = now == kNever && !IsReader()")],
    # Nothing is placed beyond the own cell while that has items to displace.
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
