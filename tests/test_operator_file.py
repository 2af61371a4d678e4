"""Tests of the operator's file: each error is one line that names the field."""

from __future__ import annotations

import dataclasses
import subprocess
import sys
from pathlib import Path

import pytest

from headspar.operator_file import Connections, Operator, OperatorError, RecorderTable, load, parse
from tests.loopback import ROOT, Node


def test_the_file_that_comes_along_names_every_key_at_its_default() -> None:
    path = ROOT / "deploy" / "operator.toml"
    assert load(path) == Operator()
    text = path.read_text()
    for table in (Connections, RecorderTable):
        for field in dataclasses.fields(table):
            assert f"\n{field.name} = " in text


def test_an_empty_file_is_all_defaults_and_values_are_taken() -> None:
    assert parse("") == Operator()
    got = parse("[connections]\nproof_ms = 250\ntrim = false\nmaking = 3").connections
    assert (got.proof_ms, got.trim, got.making, got.waiting) == (250.0, False, 3, 16)


@pytest.mark.parametrize(("text", "field"), [
    ("[connections]\nproof = 1", "connections.proof: "),
    ("[conections]\n", "conections: "),
    ("connections = 3", "connections: "),
    ("[connections]\nproof_ms = 0", "connections.proof_ms: "),
    ("[connections]\nproof_ms = 'x'", "connections.proof_ms: "),
    ("[connections]\nproof_ms = inf", "connections.proof_ms: "),
    ("[connections]\nproof_ms = true", "connections.proof_ms: "),
    ("[connections]\nmaking = 1.5", "connections.making: "),
    ("[connections]\nmaking = true", "connections.making: "),
    ("[connections]\ntrim = 1", "connections.trim: "),
    ("[connections]\nahead = -1", "connections.ahead: "),
    ("[connections]\nage_jitter = 1", "connections.age_jitter: "),
    ("[connections]\nroom = 0", "connections.room: "),
    ("[connections\n", "no TOML: "),
    ("[recorder]\nfile = 3", "recorder.file: "),
    ("[recorder]\nfile = '/tmp/{node}'", "recorder.file: "),
    ("[recorder]\nsize_mb = 0", "recorder.size_mb: "),
])
def test_faults_are_named(text: str, field: str, tmp_path: Path) -> None:
    with pytest.raises(OperatorError, match=field.replace(".", r"\.")) as caught:
        parse(text)
    assert str(caught.value).startswith(field)
    file = tmp_path / "o.toml"
    file.write_text(text)
    with pytest.raises(OperatorError) as caught:
        load(file)
    assert str(caught.value).startswith(f"{file}: {field}") and "\n" not in str(caught.value)


def test_a_file_that_cannot_be_read_is_named(tmp_path: Path) -> None:
    with pytest.raises(OperatorError, match="gone.toml: No such file"):
        load(tmp_path / "gone.toml")
    (tmp_path / "bytes.toml").write_bytes(b"\xff\xfe")
    with pytest.raises(OperatorError, match="bytes.toml: not UTF-8"):
        load(tmp_path / "bytes.toml")


def check(path: Path) -> subprocess.CompletedProcess[str]:
    return subprocess.run([sys.executable, "-m", "headspar.cli", "check", str(path)], cwd=ROOT,
                          capture_output=True, text=True, timeout=60)


def test_check_says_what_is_set_or_what_is_wrong(tmp_path: Path) -> None:
    file = tmp_path / "o.toml"
    file.write_text("[connections]\nahead = 2\n")
    good = check(file)
    assert good.returncode == 0 and "connections.ahead = 2" in good.stdout
    file.write_text("[connections]\nahed = 2\n")
    bad = check(file)
    assert bad.returncode == 2
    assert bad.stderr == f"headspar: {file}: connections.ahed: unknown key\n"


def test_a_node_reads_the_file_that_its_environment_names(tmp_path: Path) -> None:
    file = tmp_path / "o.toml"
    file.write_text("[connections]\nmaking = 0\n")
    node = Node([], healthy=True)
    try:
        assert node.stop() == 0
        node.env["HEADSPAR_OPERATOR"] = str(file)
        node.start(healthy=False)
        assert node.process.wait(15) == 2
        assert node.log.read_text().endswith(f"headspar: {file}: connections.making: must be above 0, not 0\n")
        file.write_text("[connections]\nmaking = 1\n")
        node.start()
        assert node.stop() == 0
    finally:
        node.close()
