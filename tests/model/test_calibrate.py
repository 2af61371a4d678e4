"""Calibration recovers known costs from records; residuals, predictions and their commands."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path

import msgspec
import numpy as np
import pytest

from headspar.model.calibrate import CalibrationError, fit, path_times, predict, residuals
from headspar.model.costs import Costs
from headspar.model.simulate import simulate
from headspar.world.records import encode
from headspar.world.scenario import parse

CALM = """
name = "calm"
length_s = 8
[nodes]
count = 2
[[servers]]
count = 6
[load]
utilisation = 0.4
"""


@pytest.mark.parametrize("true", [Costs(client_us=300, server_us=300, client_spread=0.3, server_spread=0.3),
                                  Costs(client_us=40, server_us=40, client_spread=0.6, server_spread=0.6)])
def test_what_was_put_in_is_found_again(true: Costs) -> None:
    s = parse(CALM)
    found = fit([simulate(s, 1, costs=true).recording, simulate(s, 2, costs=true).recording])
    assert found.client_us == pytest.approx(true.client_us, rel=0.25)
    assert found.client_spread == pytest.approx(true.client_spread, abs=0.15)
    assert found.arrival == true.arrival  # is given, not fitted
    # The model with the fitted costs reproduces the path times.
    expected, actual = (path_times(simulate(s, 3, costs=c).recording) for c in (true, found))
    assert np.median(actual.there) == pytest.approx(np.median(expected.there), rel=0.15)
    assert np.median(actual.back) == pytest.approx(np.median(expected.back), rel=0.15)


def test_too_few_tries_tell_nothing() -> None:
    few = simulate(parse(CALM.replace("length_s = 8", "length_s = 1")), 1).recording
    with pytest.raises(CalibrationError, match="at least 200"):
        fit([few])


def test_residuals_say_what_is_off_and_by_how_much() -> None:
    s = parse(CALM)
    one = simulate(s, 1).recording
    assert all(row.off == 0.0 for row in residuals(one, one))
    far = {row.what: row.off for row in residuals(one, simulate(s, 1, costs=Costs(client_us=20_000)).recording)}
    assert 30 < far["lookup p50 ms"] < 60 and far["attempts per call"] == pytest.approx(0.0, abs=0.05)


def test_a_prediction_holds_one_more_run_as_often_as_it_says() -> None:
    draws = np.random.Generator(np.random.Philox(5)).normal(0.8, 0.02, (400, 9))
    contained = sum(predict("whole", list(row[:8]), own_error=0.0).contains(row[8]) for row in draws) / 400
    assert contained == pytest.approx(0.9, abs=0.04)
    with pytest.raises(CalibrationError, match="three runs"):
        predict("whole", [0.8, 0.9])


def test_the_commands(tmp_path: Path) -> None:
    def call(*args: str) -> subprocess.CompletedProcess[str]:
        return subprocess.run([sys.executable, "-m", "headspar.cli", "model", *args], capture_output=True, text=True)

    file, truth, costs = tmp_path / "s.toml", tmp_path / "truth.bin", tmp_path / "costs.json"
    file.write_text(CALM)
    truth.write_bytes(encode(simulate(parse(CALM), 1).recording))
    done = call("calibrate", str(file), str(truth), "--seed", "1", "--out", str(costs))
    assert done.returncode == 0, done.stderr
    assert msgspec.json.decode(costs.read_bytes(), type=Costs).client_us > 0 and "batch p95 ms" in done.stdout
    predicted = call("predict", str(file), "--costs", str(costs), "--runs", "4", "--json", "-")
    row = json.loads(predicted.stdout)["whole"]
    assert predicted.returncode == 0 and row["low"] <= row["mean"] <= row["high"] <= 1.0
    truth.write_bytes(b"what")
    for args in (("calibrate", str(file), str(truth)), ("calibrate", str(file), "/nowhere"),
                 ("predict", str(file), "--costs", str(truth))):
        failed = call(*args)
        assert failed.returncode == 2 and len(failed.stderr.splitlines()) == 1, failed.stderr
