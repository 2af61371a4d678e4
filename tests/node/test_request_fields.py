"""Numbers in the fields of requests and responses: one reader for all of them."""

from __future__ import annotations

import pytest

from headspar.node.backend_connection import read_report
from headspar.node.request_fields import read_budget, read_decimal, read_hint
from headspar.request_target import read_path
from tests.loopback import running

NO_NUMBERS = [b"", b"soon", b"1_000", b"nan", b"inf", b"-inf", b"infinity", b"1e999", b"0x10", b" 5", b"5 ", b"1.2.3",
              b"\xb2", b"."]


@pytest.mark.parametrize("value", NO_NUMBERS)
def test_what_is_no_decimal_number_is_none_in_any_field(value: bytes) -> None:
    """Guards against a deadline that other readers take for no number, and a load report that is not finite."""
    assert read_decimal(value) is None
    assert read_budget(value + b"m") is None
    assert read_hint(value) is None
    assert read_report(b"eps=" + value + b"_", ("eps", "inflight")) is None
    assert read_report(b"eps=1_0, inflight=3", ("eps", "inflight")) == {"inflight": 3.0}


@pytest.mark.parametrize(("value", "number"), [
    (b"5", 5.0), (b"480", 480.0), (b"1.5", 1.5), (b"2.", 2.0), (b".5", 0.5), (b"1e3", 1000.0), (b"+7", 7.0),
])
def test_decimal_numbers_are_read(value: bytes, number: float) -> None:
    assert read_decimal(value) == number
    assert read_budget(value + b"m") == int(1000 * number)
    assert read_hint(value) == int(number)
    assert read_report(b"eps=" + value, ("eps",)) == {"eps": number}


@pytest.mark.parametrize(("target", "path"), [
    (b"/healthz", b"/healthz"), (b"/healthz?from=front", b"/healthz"), (b"http://node:80/healthz", b"/healthz"),
    (b"HTTP://node/healthz?x=/stats", b"/healthz"), (b"http://node", b"/"), (b"*", b"*"),
    (b"/a/healthz", b"/a/healthz"),
    (b"/?u=http://node/healthz", b"/"), (b"ftp://node/healthz", b"ftp://node/healthz"), (b"", b""),
])
def test_the_path_of_a_target_is_the_same_in_all_its_forms(target: bytes, path: bytes) -> None:
    assert read_path(target) == path


@pytest.mark.parametrize("target", ["/healthz", "/healthz?from=front", "http://node/healthz"])
def test_clients_and_operators_may_use_any_form_of_a_target(target: str) -> None:
    """Guards against a target that is read by one rule for clients and by another one for operators."""
    with running(None, ops=True) as node:
        with node.client() as client:
            client.send(f"GET {target} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
            assert client.read().status == 200
        assert node.call(target.replace("healthz", "stats"))[0] == 200
