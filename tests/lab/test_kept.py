"""Runs with keepers must not make the lab itself late."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

import pytest

from headspar.lab import keeper_run
from headspar.lab.keeper_run import KeeperRun
from tests.rollout.runs import run_checked


def test_a_slow_disk_does_not_make_discovery_late(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    write = keeper_run.write_host_file
    written: list[str] = []

    def slow_write(folder: Path, part: str) -> None:
        if written or (folder / "host.json").exists():  # not the first write, which precedes the run
            time.sleep(0.6)
            written.append(folder.name)
        write(folder, part)

    monkeypatch.setattr(keeper_run, "write_host_file", slow_write)

    async def script(run: KeeperRun) -> None:
        while len(set(written)) < len(run.nodes):
            await asyncio.sleep(0.02)

    result, _ = run_checked(script, tmp_path, nodes=3, seconds=4.0)
    discovery = next(x for x in result.recording.lateness if x.part == "discovery")
    assert discovery.most < 600_000
