"""A plan as a timeline: what is done when, and the ready cores over its floors."""

from __future__ import annotations

from collections.abc import Iterable

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot
from matplotlib.patches import Patch

from weldhatch.planning.plan import Kind, Plan

COLOURS = {
    "switch-on": "#2a7fb8",
    "await": "#9ecae1",
    "undrain": "#41ab5d",
    "welcome": "#a1d99b",
    "drain": "#fd8d3c",
    "drain and stop": "#d94801",
    "stop": "#969696",
}
BARS_MOST = 48  # beyond, nodes of one rack and deed share a bar


def draw(plan: Plan, path: str) -> None:
    """Write the picture; the format goes by the file's ending (PNG, SVG, PDF). OSError where it can't."""
    bars = list(_bars(plan))
    floors = list(dict.fromkeys(rest.line for rest in plan.rests))
    height = 1.4 + 0.24 * max(len(bars), 1) + 1.5 * len(floors)
    figure, axes = pyplot.subplots(
        1 + len(floors),
        1,
        sharex=True,
        figsize=(10, min(height, 60)),
        squeeze=False,
        gridspec_kw={"height_ratios": [max(0.24 * len(bars), 0.8), *([1.2] * len(floors))]},
    )
    try:
        _timeline(axes[0][0], plan, bars)
        for axis, line in zip(axes[1:, 0], floors, strict=True):
            _floor(axis, plan, line)
        axes[-1][0].set_xlabel("seconds from the beginning, by the fleet's pace")
        figure.suptitle(f"{plan.change.name}: {len(plan.waves)} waves", fontsize=11)
        figure.tight_layout()
        figure.savefig(path, dpi=110)
    except ValueError as fault:  # an ending that matplotlib does not know
        raise OSError(f"{path}: {fault}") from None
    finally:
        pyplot.close(figure)


def _starts(plan: Plan) -> list[float]:
    out = [0.0]
    for wave in plan.waves:
        out.append(out[-1] + wave.seconds)
    return out


def _deeds(plan: Plan) -> dict[str, str]:
    kinds: dict[str, list[Kind]] = {}
    for step in plan.steps:
        kinds.setdefault(step.node, []).append(step.kind)
    return {
        node: " and ".join(kind for kind in own if kind.orders_node or kind is Kind.AWAIT) or "welcome"
        for node, own in kinds.items()
    }


def _bars(plan: Plan) -> Iterable[tuple[str, int, str]]:
    """Label, wave and deed of each bar, top first."""
    deeds, nodes = _deeds(plan), {node.id: node for node in plan.world}
    if len(nodes) <= BARS_MOST:
        for wave in plan.waves:
            for name in wave.nodes:
                yield f"{name} ({nodes[name].rack})", wave.number, deeds[name]
        return
    for wave in plan.waves:
        groups: dict[tuple[str, str], int] = {}
        for name in wave.nodes:
            key = (nodes[name].hall, deeds[name])
            groups[key] = groups.get(key, 0) + 1
        for (hall, deed), count in sorted(groups.items()):
            yield f"{count} of {hall}", wave.number, deed


def _timeline(axis: pyplot.Axes, plan: Plan, bars: list[tuple[str, int, str]]) -> None:
    starts = _starts(plan)
    for row, (_, wave, deed) in enumerate(bars):
        pace = (
            plan.pace.warm_s
            if deed in ("switch-on", "await")
            else (plan.pace.drain_s if "drain" in deed.split(" ")[0] or deed == "stop" else 0.0)
        )
        axis.barh(
            row,
            max(pace + plan.pace.order_s, 0.5),
            left=starts[wave - 1],
            color=COLOURS.get(deed, "#888888"),
            height=0.7,
        )
    axis.set_yticks(range(len(bars)), [label for label, _, _ in bars], fontsize=7)
    axis.invert_yaxis()
    for number, start in enumerate(starts[:-1], 1):
        axis.axvline(start, color="#bbbbbb", linewidth=0.8)
        axis.annotate(
            f"wave {number}",
            (start, 1.0),
            xycoords=("data", "axes fraction"),
            fontsize=7,
            xytext=(2, 2),
            textcoords="offset points",
        )
    used = dict.fromkeys(deed for _, _, deed in bars)
    axis.legend(
        handles=[Patch(color=COLOURS.get(deed, "#888888"), label=deed) for deed in used],
        fontsize=7,
        loc="upper left",
        bbox_to_anchor=(1.0, 1.0),
    )


def _floor(axis: pyplot.Axes, plan: Plan, line: object) -> None:
    """Ready cores (or memory) by wave, and the floor under them."""
    floor = next(one for one in plan.change.floors if one.line == line)
    what = "cores" if floor.cores else "memory"
    starts = _starts(plan)
    rests = sorted((rest for rest in plan.rests if rest.line == line), key=lambda rest: rest.wave)
    levels = [getattr(rest, what) for rest in rests]
    times = [-0.05 * starts[-1], *starts[:-1], starts[-1]]
    axis.step([*times, 1.05 * starts[-1]], [*levels, levels[-1]], where="post", color="#2a7fb8")
    axis.axhline(getattr(floor, what), color="#cb181d", linestyle="--", linewidth=1)
    axis.set_ylim(0, max(max(levels), getattr(floor, what)) * 1.15)
    axis.set_ylabel(
        f"{what}, worst\nrack fallen" if plan.change.survive_rack and not floor.rack else what, fontsize=7
    )
    axis.set_title(floor.line.text, fontsize=8, loc="left")
    axis.tick_params(labelsize=7)
