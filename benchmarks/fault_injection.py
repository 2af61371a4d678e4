"""Faults planted in keepers and changes: checks that the test of each hard case over processes catches them.

    python -m benchmarks.fault_injection --json          # about ten minutes
    python -m benchmarks.fault_injection --only fence

Each fault is a change of text in a copy of the tree, in which the test that should fail is run.  First each of these
tests is run in an unchanged copy, and must pass.
"""

from __future__ import annotations

import argparse
import contextlib
import json
import os
import shutil
import signal
import subprocess
import sys
import tempfile
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
MAX_CONCURRENT_TESTS = 3  # each test starts about thirty processes
TEST_TIMEOUT_S = 400
OVER, HARD = "tests/rollout/test_over_processes.py", "tests/rollout/test_hard_cases.py"
JUDGED = "tests/rollout/test_judged.py"


@dataclass(frozen=True)
class Planted:
    """A fault (``before`` replaced by ``after`` in a file of ``headspar/``) and the test that should fail with it."""

    name: str
    file: str
    before: str
    after: str
    test: str


FAULTS = [
    Planted("fence: superseded epochs are accepted", "keeper/fence.py", "if epoch < self.epoch:", "if False:",
            f"{OVER}::test_a_controller_that_slept_through_its_lease_has_every_word_refused"),
    Planted("fence: a late step counts as new", "keeper/fence.py",
            "return Verdict.NEW if step > self.step else Verdict.OLD", "return Verdict.NEW",
            f"{HARD}::test_a_word_that_comes_thirty_seconds_late_after_the_change_was_taken_back_is_refused"),
    Planted("steps: an unanswered command gets a new number", "rollout/controller.py",
            "same = next((s for s in reversed(open_steps) if s.command == command), None)", "same = None\n"
            "        open_steps = []",
            f"{OVER}::test_a_controller_killed_at_each_failpoint_and_at_drawn_moments_is_followed_by_one_that_goes_on"),
    Planted("limits: the limit per site is ignored", "rollout/limits.py", "if out >= limits.most_of_site:",
            "if False:",
            f"{OVER}::test_a_change_of_twelve_nodes_loses_nothing_and_keeps_the_limits"),
    Planted("trial: its deaths are not counted", "keeper/core.py", "self.durable.deaths += 1",
            "self.durable.deaths += 0",
            f"{OVER}::test_generations_that_do_not_start_die_hang_or_accept_nothing_are_taken_back"),
    Planted("trial: one that does not answer counts as proven", "keeper/host.py",
            "            self.core.health_check_failed(key, now)\n", "            pass\n",
            f"{OVER}::test_generations_that_do_not_start_die_hang_or_accept_nothing_are_taken_back"),
    Planted("end: no SIGKILL after SIGTERM", "keeper/core.py", "if 0 <= p.terminated_at <= now - t.end:", "if False:",
            f"{OVER}::test_one_that_is_deaf_to_sigterm_is_ended_by_force_and_settings_go_by_signal"),
    Planted("settings: a reload that the node rejected counts as applied", "keeper/host.py",
            "self._execute(self.core.reloaded(process.key, taken, why, time.monotonic()))",
            "self._execute(self.core.reloaded(process.key, True, why, time.monotonic()))",
            f"{OVER}::test_one_that_is_deaf_to_sigterm_is_ended_by_force_and_settings_go_by_signal"),
    Planted("hand-over: its absence is not detected", "keeper/host.py", "status == NO_HANDOVER, now",
            "False, now",
            f"{OVER}::test_where_the_hand_over_can_not_be_had_nodes_are_drained_and_started"),
    Planted("keeper: running nodes are not looked for", "keeper/host.py",
            "            with contextlib.suppress(OSError, ConfigError):\n                found = await",
            "            break\n            with contextlib.suppress(OSError):\n                found = await",
            f"{OVER}::test_state_torn_old_empty_or_gone_a_pid_that_is_anothers_and_keeper_and_node_killed_together"),
    Planted("keeper: a process is identified by its pid alone", "keeper/processes.py",
            "if start_ticks(pid) != started or", "if",
            f"{OVER}::test_state_torn_old_empty_or_gone_a_pid_that_is_anothers_and_keeper_and_node_killed_together"),
    Planted("keeper: its node dies with it", "keeper/processes.py", "start_new_session=True,",
            "start_new_session=True, preexec_fn=lambda: __import__('ctypes').CDLL(None).prctl(1, 9),",
            f"{OVER}::test_keepers_killed_at_each_of_their_steps_find_their_nodes_again"),
    Planted("disk: a command is accepted although it could not be stored", "keeper/commands.py", "if keep(after):",
            "if keep(after) or True:",
            f"{OVER}::test_a_disk_that_is_full_stops_the_change_and_no_node"),
    Planted("site: its loss is blamed on the change", "rollout/state.py",
            "if others and 2 * len(gone) >= len(others):", "if False:",
            f"{OVER}::test_a_site_that_dies_in_a_stage_pauses_the_change_and_it_goes_on_when_told"),
    Planted("start: unreachable nodes do not prevent a change", "rollout/cli.py",
            "if len(unreachable) >= table.max_out:", "if False:",
            f"{OVER}::test_a_fleet_of_which_a_third_does_not_answer_is_not_begun_upon"),
    Planted("silence: no keeper rolls back", "keeper/core.py", "self._check_contact(now)\n", "pass\n",
            f"{OVER}::test_a_controller_that_never_comes_back_and_keepers_told_to_go_back"),
    Planted("back: nodes that recover are not rolled back", "rollout/state.py",
            "return self.has_goal(status) or leaving or name in self.unacknowledged", "return False",
            f"{HARD}::test_a_third_of_the_keepers_cut_off_one_way_and_both_until_the_middle_of_going_back[in]"),
    Planted("back: nodes that run the goal are not rolled back", "rollout/state.py", "if state is S.BACK:",
            "if state is S.BACK and clock < 0:",
            f"{OVER}::test_machines_of_a_site_that_die_and_keepers_killed_while_going_back"),
    Planted("record: epochs do not rise above the keepers'", "rollout/lease.py", "if foreign else self",
            "if seen < 0 else self",
            f"{HARD}::test_a_change_whose_record_is_lost_is_taken_over_by_the_next[record]"),
    Planted("record: steps do not rise above the keepers'", "rollout/record.py", "if step_seen > self.last_step:",
            "if False:",
            f"{HARD}::test_a_change_whose_record_is_lost_is_taken_over_by_the_next[record]"),
    Planted("one: the last node of a site is restarted", "rollout/state.py",
            "ways.restart and not is_last", "ways.restart",
            f"{HARD}::test_a_fleet_of_one_is_changed_by_a_hand_over_and_never_taken_out_for_it"),
    Planted("keeper: losing its state loses its fence", "keeper/host.py",
            "if (epoch, step) > (self.fence.epoch, self.fence.step):", "if False:",
            f"{OVER}::test_state_torn_old_empty_or_gone_a_pid_that_is_anothers_and_keeper_and_node_killed_together"),
    Planted("commands: a lost one counts as executed", "rollout/controller.py",
            "            return  # the step stays open: the keeper may or may not have taken it\n",
            "            self.record.outcome(self.epoch, number, 'ok', '', time.time())\n            return\n",
            f"{OVER}::test_words_lost_late_and_twice_and_a_third_of_the_keepers_cut_off"),
    Planted("commands: a step's effect is not stored with it", "keeper/commands.py", "if assessment.ok:\n",
            "if False:\n", f"{OVER}::test_a_change_of_twelve_nodes_loses_nothing_and_keeps_the_limits"),
    Planted("back: nodes that reappear after the end are left as they are", "rollout/state.py",
            "if unwanted not in (status.trial, status.present, status.running) and name not in self.unacknowledged:",
            "if True:",
            f"{HARD}::test_a_node_that_is_heard_of_again_after_the_end_is_brought_to_what_holds"),
    Planted("controller: a standby ends with its lease", "rollout/cli.py",
            "standby=True)", "standby=False)",
            f"{OVER}::test_one_that_stands_by_and_has_lost_its_lease_leads_again_when_the_next_one_dies"),
    Planted("judge: its verdicts are ignored", "rollout/state.py",
            "if not self.is_judged or verdict is None or verdict.kind not in (VerdictKind.BACK, VerdictKind.PAUSE):",
            "if True:",
            f"{JUDGED}::test_a_version_that_refuses_more_is_taken_back_from_its_first_stage"),
    Planted("judge: the baseline is lost with its controller", "rollout/controller.py",
            "time.monotonic(), self.record.baseline(change.id))", "time.monotonic(), None)",
            f"{JUDGED}::test_a_harmless_version_goes_on_though_the_controller_is_killed_while_it_looks"),
    Planted("keeper and node: a node that died is not restarted", "keeper/core.py",
            "if now >= self.start_not_before and self.wanted and not self._has_leftover():",
            "if now >= self.start_not_before + 1e9:",
            f"{HARD}::test_keeper_and_node_killed_together_in_the_middle_of_a_hand_over"),
]


def _copy(to: Path) -> None:
    for name in ("headspar", "tests", "deploy", "docs", "pyproject.toml"):
        source = ROOT / name
        if source.is_dir():
            shutil.copytree(source, to / name, ignore=shutil.ignore_patterns("__pycache__"))
        else:
            shutil.copyfile(source, to / name)


def _passes(folder: Path, test: str) -> bool:
    """Whether a test passes in a tree; one that exceeds ``TEST_TIMEOUT_S`` does not."""
    env = {**os.environ, "PYTHONPATH": str(folder), "PYTHONDONTWRITEBYTECODE": "1"}
    try:
        completed = subprocess.run(
            [sys.executable, "-m", "pytest", "-q", "-x", "-p", "no:cacheprovider",
             "--basetemp", str(folder / "tmp"), test],
            cwd=folder, env=env, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL, timeout=TEST_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        _kill_leftovers(folder)
        return False
    return completed.returncode == 0


def _kill_leftovers(folder: Path) -> None:
    """Kills processes left by a test that timed out: keepers and nodes run in their own sessions and outlive it.
    Kills only processes with an argument or working directory in this copy, which nothing else uses."""
    for entry in Path("/proc").iterdir():
        if not entry.name.isdigit():
            continue
        try:
            arguments = (entry / "cmdline").read_bytes().split(b"\0")
            working_dir = str((entry / "cwd").resolve())
        except OSError:
            continue
        if any(x.startswith(f"{folder}/".encode()) for x in arguments) or working_dir.startswith(f"{folder}/"):
            with contextlib.suppress(ProcessLookupError, PermissionError):
                os.kill(int(entry.name), signal.SIGKILL)


def caught(fault: Planted) -> bool:
    """Whether the fault's test fails with the fault planted."""
    with tempfile.TemporaryDirectory(prefix="headspar-planted-") as name:
        folder = Path(name)
        _copy(folder)
        path = folder / "headspar" / fault.file
        text = path.read_text()
        path.write_text(text.replace(fault.before, fault.after, 1))
        return not _passes(folder, fault.test)


def passes_unchanged(test: str) -> bool:
    """Whether a test passes in an unchanged copy."""
    with tempfile.TemporaryDirectory(prefix="headspar-planted-") as name:
        _copy(Path(name))
        return _passes(Path(name), test)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--json", action="store_true", help="end with one line of JSON (it always does)")
    parser.add_argument("--only", default="", help="texts separated by commas: only faults whose name contains one")
    parser.add_argument("--trust", action="store_true", help="skip the runs in an unchanged copy, because the "
                                                             "tests have just passed there")
    args = parser.parse_args()
    since = time.monotonic()
    faults = [fault for fault in FAULTS if any(part in fault.name for part in args.only.split(","))]
    for fault in faults:  # checked first, because the runs can take an hour
        if fault.before not in (ROOT / "headspar" / fault.file).read_text():
            raise SystemExit(f"{fault.name}: {fault.file} does not contain {fault.before!r}")
    tests = [] if args.trust else sorted({fault.test for fault in faults})
    with ThreadPoolExecutor(MAX_CONCURRENT_TESTS) as pool:
        failing = [test for test, passed in zip(tests, pool.map(passes_unchanged, tests), strict=True) if not passed]
        for test in failing:
            print(f"fails without a planted fault: {test}", file=sys.stderr)
        found = dict(zip((fault.name for fault in faults), pool.map(caught, faults), strict=True))
    for name, is_caught in found.items():
        print(f"{'caught' if is_caught else 'MISSED'}  {name}", file=sys.stderr)
    print(json.dumps({
        "planted": len(found), "caught": sum(found.values()), "unsound_tests": len(failing),
        "missed": [name for name, is_caught in found.items() if not is_caught],
        "seconds": round(time.monotonic() - since),
    }))


if __name__ == "__main__":
    main()
