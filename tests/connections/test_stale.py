"""Real nodes with servers that drop idle connections silently, long before the announced idle timeout."""

from __future__ import annotations

from collections import Counter
from pathlib import Path

from headspar.world.records import AttemptResult
from headspar.world.scenario import parse
from tests.lab.test_nodes_under_faults import audited_run

SILENT = '''
name = "silent closes"
length_s = 14
[nodes]
count = 1
peers = false
[[servers]]
count = 9
idle_s = 2.5
idle_told_s = 15
idle_close = "silent"
[load]
rps = 6
keys = 400
zipf = 0.0
[callers]
retries = 0
'''


def test_no_payment_goes_over_a_connection_that_has_gone_stale(tmp_path: Path) -> None:
    result = audited_run(parse(SILENT), tmp_path)
    assert result.verdict.clean, result.verdict.kinds
    stale = Counter(m.text for m in result.recording.marks if m.what == "stale")
    assert not stale.keys() - {"lookup"}, stale
    classes = result.recording.rules.classes
    keyed = {i for i, call in enumerate(result.recording.rules.calls) if classes[call.cls].effect == "dedup"}
    assert len(keyed) > 30 and stale["lookup"] > 0  # lookups did use dead connections
    sent = Counter(s.call for s in result.recording.sent if s.call in keyed)
    assert set(sent.values()) == {1}  # none had to be retried
    assert all(a.status == 200 for a in result.recording.asks if a.call in keyed)
    assert all(s.fate is AttemptResult.DONE for s in result.recording.sent if s.call in keyed)
