"""Data of earlier versions is read, fields added by later versions are ignored, and invalid data has no effect."""

from __future__ import annotations

import hashlib
import json
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from headspar.decide import OUT_MAX_BACKENDS, Balancer
from headspar.handover import beliefs as b
from headspar.handover import messages as h
from headspar.interface import PeerMessage, Recalled, RequestArrived, Send
from headspar.keeper import messages as m
from headspar.keeper import state
from tests.versions import forms
from tests.versions.readers import NOW, READ, module, read


@pytest.mark.parametrize("form", sorted(forms.FORMS))
def test_what_this_version_writes_is_among_the_frozen_samples(form: str, tmp_path: Path) -> None:
    """A format that has changed needs a sample of its own (``python -m tests.versions.forms``)."""
    text = forms.FORMS[form]()
    assert forms.name_of(form, text) in [path.name for path in forms.samples(form)]
    read(form, text, tmp_path)


@pytest.mark.parametrize("path", sorted(forms.SAMPLES.iterdir()), ids=lambda path: path.name)
def test_each_form_that_was_ever_written_is_read(path: Path, tmp_path: Path) -> None:
    read(path.name.rpartition("-")[0], path.read_text(), tmp_path)


def with_more(value: Any, choose: Callable[[], bool]) -> Any:
    """Adds an unknown field to some objects, as a later version may do."""
    if isinstance(value, list):
        return [with_more(v, choose) for v in value]
    if not isinstance(value, dict):
        return value
    extended = {k: with_more(v, choose) for k, v in value.items()}
    # Objects whose keys are names rather than fields stay as they are.
    return extended | {"from_later": {"a": [1]}} if choose() and not TABLES & extended.keys() else extended


# A key of each table whose keys are names of servers, classes, sites and the like.
TABLES = {"look", "t1", "k", "10.0.0.1:80", "a key", "key", "taken", "rss_mb", "some"}
JSON_FORMS = ("beliefs", "handover", "keeper_state", "keeper_words", "keeper_reply", "work", "identity")


@settings(max_examples=60, deadline=None, derandomize=True)
@given(form=st.sampled_from(JSON_FORMS), rolls=st.lists(st.booleans(), min_size=1, max_size=40))
def test_what_a_later_version_adds_is_passed_over(form: str, rolls: list[bool]) -> None:
    for path in forms.samples(form):
        choose = iter(rolls * 1000).__next__
        lines = path.read_text().splitlines()
        out = []
        for line in lines:
            try:
                raw = json.loads(line)
            except ValueError:
                continue  # the keeper's checksum of the following line
            out.append(json.dumps(with_more(raw, choose), separators=(",", ":")))
        text = "\n".join(out) + "\n"
        if form == "keeper_state":
            text = hashlib.sha256(out[0].encode()).hexdigest() + "\n" + text
        READ[form](text)


# ---------------------------------------------------------------- invalid data


def chosen_backends(balancer: Balancer) -> list[str]:
    """Returns the backends to which a fixed sequence of requests is sent."""
    sent = []
    for i in range(30):
        actions = balancer.handle(NOW + 10_000 * i, [RequestArrived(f"q{i}", "look", NOW + 3_000_000, 20_000)])
        sent += [action.backend for action in actions if isinstance(action, Send)]
    return sent


@settings(max_examples=300, deadline=None, derandomize=True)
@given(data=st.binary(min_size=1, max_size=256), again=st.booleans())
def test_any_datagram_leaves_the_module_working(data: bytes, again: bool) -> None:
    balancer = module()
    for peer in (0, 1, 0) if again else (0,):
        balancer.handle(NOW, [PeerMessage(peer, data)])
    backends = list(balancer.membership.backends.values())
    assert len(balancer.picker.pool) == len(backends) - len(balancer.peers.avoided_until)
    assert all(0 <= x.peers <= 2 * 255 * 4096 * 85 for x in backends)
    assert len(chosen_backends(balancer)) >= 30 or not balancer.picker.pool


@settings(max_examples=200, deadline=None, derandomize=True)
@given(triples=st.integers(0, 60), version=st.integers(0, 0xFFFF), tags=st.integers(0, 60), odd=st.booleans())
def test_a_datagram_of_an_unknown_form_moves_nothing(triples: int, version: int, tags: int, odd: bool) -> None:
    balancer = module()
    known = [x.tag.to_bytes(2, "big") for x in balancer.membership.backends.values()]
    data = b"".join(known[i % 4] + b"\x07" for i in range(triples)) + version.to_bytes(2, "big") + b"\0"
    data += b"".join(known[i % 4] for i in range(tags)) + b"\x01" * odd
    if 0 < tags <= OUT_MAX_BACKENDS and not odd:
        return  # this is the current format
    before = chosen_backends(module())
    for peer in (0, 1):
        balancer.handle(NOW, [PeerMessage(peer, data[:256])] if len(data) <= 256 else [])
    assert not balancer.peers.avoided_until and not balancer.peers.reports and chosen_backends(balancer) == before


@settings(max_examples=150, deadline=None, derandomize=True)
@given(data=st.data())
def test_beliefs_changed_at_any_place_leave_the_module_working(data: st.DataObject) -> None:
    raw = json.loads(forms.samples("beliefs")[0].read_text())
    value = data.draw(st.one_of(st.none(), st.booleans(), st.integers(-3, 3), st.floats(), st.text(max_size=3),
                                st.lists(st.integers(), max_size=3), st.sampled_from([1e16, 1e300, -1e16, 1e-300])))
    part: Any = raw
    while True:
        keys = sorted(part) if isinstance(part, dict) else range(len(part))
        if not keys:
            break
        key = data.draw(st.sampled_from(list(keys)))
        if isinstance(part[key], dict | list) and part[key] and data.draw(st.booleans()):
            part = part[key]
            continue
        part[key] = value
        break
    try:
        found = b.decode(json.dumps(raw).encode())
    except b.BeliefsError:
        return
    assert len(found.left) <= b.MAX_LEFT
    balancer = module()
    balancer.handle(NOW, [Recalled(found.experience)])
    assert len(chosen_backends(balancer)) >= 15


@settings(max_examples=150, deadline=None, derandomize=True)
@given(data=st.binary(max_size=300), sockets=st.integers(0, 4), at=st.integers(0, 5), cut=st.integers(0, 200))
def test_what_is_no_message_is_turned_down_as_such(data: bytes, sockets: int, at: int, cut: int) -> None:
    lines = forms.samples("handover")[0].read_text().splitlines()
    for packet in (data, lines[at].encode()[:cut] + data):
        try:
            h.decode(packet, sockets)
        except h.MessageError:
            pass
    for text, decode in ((data, m.decode), (data, state.decode)):
        with pytest.raises((msgspec.MsgspecError, state.StateError)):
            decode(text)
