"""An HTML report of a change: its stages over time, the judge's looks, and the transitions with their reasons.

``collect`` gathers the data from the record; ``chart`` and ``page`` render PNG and HTML without I/O.  The page is
self-contained and has no scripts.
"""

from __future__ import annotations

import base64
import io
import time

import msgspec
from jinja2 import Environment
from matplotlib.backends.backend_agg import FigureCanvasAgg
from matplotlib.figure import Figure

from headspar.rollout.judge.types import Power
from headspar.rollout.record import Look, Record, Step, Transition
from headspar.rollout.state import Change, State

MAX_FIGURES = 6  # in the chart: the figures that came closest to their margins
COLOURS = {State.STAGE: "#7aa6c2", State.PROVING: "#a9c9a4", State.CONFIRMING: "#cfe3c8", State.PAUSED: "#e8c96b",
           State.BACK: "#d99a7c", State.PERSON: "#c96f6f"}


class ChangeHistory(msgspec.Struct, frozen=True):
    """All data of a change in the record.  Times are wall clock seconds."""

    change: Change
    began: float
    moves: list[Transition]
    steps: list[Step]
    looks: list[Look]
    powers: list[Power]

    @property
    def ended(self) -> float:
        """The time of the last entry."""
        rows = [self.began, *(m.at for m in self.moves), *(k.at for k in self.looks),
                *(s.answered or s.at for s in self.steps)]
        return max(rows)


def collect(record: Record, name: str) -> ChangeHistory | None:
    """Return the data of the change with that name; None if there is none."""
    for change, began in record.changes():
        if change.id == name:
            return ChangeHistory(change, began, record.moves(name), record.steps(name), record.looks(name),
                                 record.powers(name))
    return None


def state_periods(history: ChangeHistory) -> list[tuple[float, float, State, int]]:
    """Return (start, end, state, stage) of each period of the change, in seconds since its start."""
    out = []
    moves = sorted(history.moves, key=lambda m: m.at)
    ends = [*(m.at for m in moves[1:]), history.ended]
    for m, end in zip(moves, ends, strict=False):
        if State(m.after) in COLOURS and end > m.at:
            out.append((m.at - history.began, end - history.began, State(m.after), m.stage))
    return out


def closest_figures(history: ChangeHistory) -> list[str]:
    """Return the names of the figures that came closest to their margins or exceeded them most, worst first."""
    ratios: dict[str, float] = {}
    for look in history.looks:
        for s in look.seen:
            share = s.harm / s.margin if s.margin > 0 else 0.0
            ratios[s.figure] = max(ratios.get(s.figure, share), share)
    return sorted(ratios, key=lambda name: -ratios[name])[:MAX_FIGURES]


def chart(history: ChangeHistory) -> bytes:
    """Return a PNG: the stages over time, and below them the figures closest to their margins with intervals."""
    figures = closest_figures(history)
    canvas = Figure(figsize=(10.0, 2.2 + 1.5 * len(figures)))
    FigureCanvasAgg(canvas)
    axes = canvas.subplots(1 + len(figures), 1, sharex=True, squeeze=False)[:, 0]
    seen_states = []
    for since, until, state, stage in state_periods(history):
        label = state.value if state not in seen_states else None
        seen_states.append(state)
        axes[0].barh(stage + 1, until - since, left=since, height=0.7, color=COLOURS[state], label=label)
    axes[0].set_ylabel("stage")
    axes[0].set_yticks(range(1, len(history.change.stages) + 1))
    axes[0].invert_yaxis()
    if seen_states:
        axes[0].legend(loc="upper left", bbox_to_anchor=(1.0, 1.0), fontsize=8)
    for ax, name in zip(axes[1:], figures, strict=True):
        rows = [(k.at - history.began, s) for k in history.looks for s in k.seen if s.figure == name]
        at = [t for t, _ in rows]
        harm = [s.harm for _, s in rows]
        finite = max([abs(s.harm) + s.margin for _, s in rows], default=1.0) * 5
        low = [min(finite, s.harm - s.low) for _, s in rows]
        high = [min(finite, s.high - s.harm) for _, s in rows]
        ax.errorbar(at, harm, yerr=[low, high], fmt="o", markersize=4, color="#33566b", ecolor="#9db4c2", capsize=3)
        ax.axhline(rows[0][1].margin, color="#b33a3a", linewidth=1)
        ax.axhline(0.0, color="#999999", linewidth=0.6)
        ax.set_ylabel(name, fontsize=8, rotation=0, ha="right", va="center")
    axes[-1].set_xlabel("seconds since the start; points above 0 are worse, the red line is the margin")
    out = io.BytesIO()
    canvas.savefig(out, format="png", dpi=110, bbox_inches="tight")
    return out.getvalue()


PAGE = """<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Change {{ history.change.id }}</title><style>
body{font:15px/1.5 system-ui,sans-serif;max-width:72rem;margin:2rem auto;padding:0 1rem;color:#1c2b33}
table{border-collapse:collapse;margin:.5rem 0 1.5rem}td,th{padding:.2rem .8rem .2rem 0;text-align:left;
vertical-align:top;border-bottom:1px solid #dde5e9}img{max-width:100%}.worse{color:#b33a3a;font-weight:600}
td.n{text-align:right;font-variant-numeric:tabular-nums}</style></head><body>
<h1>Change {{ history.change.id }}: {{ history.change.state.value }}</h1>
<p>{{ history.change.before[:12] }} &rarr; {{ history.change.goal[:12] }}, {{ nodes }} nodes in
{{ history.change.stages | length }} stages, started {{ clock(history.began) }}, lasted
{{ "%.0f" | format(history.ended - history.began) }} s, {{ history.steps | length }} steps.
{% if history.change.why %} {{ history.change.why }}.{% endif %}
{% if history.change.left %} Unreachable at its end: {{ history.change.left | join(", ") }}.{% endif %}</p>
<img alt="stages over time and the figures of the judge" src="data:image/png;base64,{{ png }}">
<h2>Transitions</h2>
<table><tr><th>at, s</th><th>from</th><th>to</th><th>stage</th><th>why</th></tr>
{% for m in history.moves %}<tr><td class="n">{{ "%.1f" | format(m.at - history.began) }}</td><td>{{ m.before }}</td>
<td>{{ m.after }}</td><td class="n">{{ m.stage + 1 }}</td>
<td>{{ m.cause }}{% if m.why %}: {{ m.why }}{% endif %}</td></tr>
{% endfor %}</table>
<h2>Looks of the judge</h2>
{% if not history.looks %}<p>Nothing was judged.</p>{% endif %}
{% for k in history.looks %}<h3>Stage {{ k.stage + 1 }}, look {{ k.look }},
{{ "%.0f" | format(k.at - history.began) }} s: {{ k.kind }}</h3><p>{{ k.reason }}</p>
{% if k.seen %}<table><tr><th>figure</th><th>worse by</th><th>from</th><th>to</th><th>margin</th><th>nodes</th></tr>
{% for s in k.seen %}<tr{% if s.low > 0 and s.harm >= s.margin %} class="worse"{% endif %}><td>{{ s.figure }}</td>
<td class="n">{{ "%.3f" | format(s.harm) }}</td><td class="n">{{ "%.3f" | format(s.low) }}</td>
<td class="n">{{ "%.3f" | format(s.high) }}</td><td class="n">{{ "%.3f" | format(s.margin) }}</td>
<td>{{ s.new }} against {{ s.old }}</td></tr>
{% endfor %}</table>{% endif %}{% endfor %}
<h2>Power of the stages</h2>
{% if history.powers %}<table><tr><th>stage</th><th>figure</th><th>nodes</th><th>detectable harm</th><th>margin</th>
<th>needs, s</th></tr>
{% for p in history.powers %}<tr><td class="n">{{ p.stage + 1 }}</td><td>{{ p.figure }}</td>
<td>{{ p.new }} against {{ p.old }}</td>
<td class="n">{{ "none" if p.least is none else "%.3f" | format(p.least) }}</td>
<td class="n">{{ "%.3f" | format(p.margin) }}</td>
<td class="n">{{ "over a day" if p.needs_s is none else "%.0f" | format(p.needs_s) }}</td></tr>
{% endfor %}</table>{% else %}<p>No baseline was taken.</p>{% endif %}
</body></html>
"""


def page(history: ChangeHistory) -> str:
    """Return the self-contained HTML page; text from the record is escaped."""
    template = Environment(autoescape=True).from_string(PAGE)
    return template.render(
        history=history, png=base64.b64encode(chart(history)).decode(), nodes=sum(map(len, history.change.stages)),
        clock=lambda at: time.strftime("%Y-%m-%d %H:%M:%S", time.localtime(at)),
    )
