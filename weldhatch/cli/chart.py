"""Draws a plan as a timeline: the action on each node, and the ready capacity above each floor."""

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
MAX_NODE_BARS = 48  # in a larger fleet, nodes of one zone with the same action share a bar


def draw(plan: Plan, path: str) -> None:
    """Write the chart to `path`, in the format of its file extension (PNG, SVG or PDF).

    Raises OSError if the file can't be written or the extension is unknown.
    """
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
    except ValueError as error:  # a file extension that matplotlib does not know
        raise OSError(f"{path}: {error}") from None
    finally:
        pyplot.close(figure)


def _wave_starts(plan: Plan) -> list[float]:
    """Return the start of each wave and the end of the last, in seconds from the beginning of the plan."""
    starts = [0.0]
    for wave in plan.waves:
        starts.append(starts[-1] + wave.seconds)
    return starts


def _node_actions(plan: Plan) -> dict[str, str]:
    """Return the action on each node, by node id, as the chart names it."""
    kinds: dict[str, list[Kind]] = {}
    for step in plan.steps:
        kinds.setdefault(step.node, []).append(step.kind)
    return {
        node: " and ".join(kind for kind in node_kinds if kind.orders_node or kind is Kind.AWAIT) or "welcome"
        for node, node_kinds in kinds.items()
    }


def _bars(plan: Plan) -> Iterable[tuple[str, int, str]]:
    """Yield the label, wave and action of each bar, from top to bottom."""
    actions, nodes = _node_actions(plan), {node.id: node for node in plan.world}
    if len(nodes) <= MAX_NODE_BARS:
        for wave in plan.waves:
            for name in wave.nodes:
                yield f"{name} ({nodes[name].rack})", wave.number, actions[name]
        return
    for wave in plan.waves:
        groups: dict[tuple[str, str], int] = {}
        for name in wave.nodes:
            key = (nodes[name].hall, actions[name])
            groups[key] = groups.get(key, 0) + 1
        for (zone, action), count in sorted(groups.items()):
            yield f"{count} of {zone}", wave.number, action


def _timeline(axis: pyplot.Axes, plan: Plan, bars: list[tuple[str, int, str]]) -> None:
    """Draw the bars on `axis`, with a line at the start of each wave."""
    starts = _wave_starts(plan)
    for row, (_, wave, action) in enumerate(bars):
        duration_s = (
            plan.pace.warm_s
            if action in ("switch-on", "await")
            else (plan.pace.drain_s if "drain" in action.split(" ")[0] or action == "stop" else 0.0)
        )
        axis.barh(
            row,
            max(duration_s + plan.pace.order_s, 0.5),
            left=starts[wave - 1],
            color=COLOURS.get(action, "#888888"),
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
    used = dict.fromkeys(action for _, _, action in bars)
    axis.legend(
        handles=[Patch(color=COLOURS.get(action, "#888888"), label=action) for action in used],
        fontsize=7,
        loc="upper left",
        bbox_to_anchor=(1.0, 1.0),
    )


def _floor(axis: pyplot.Axes, plan: Plan, line: object) -> None:
    """Draw the ready cores or memory in each wave, and the floor `line` of the change as a dashed line."""
    floor = next(floor for floor in plan.change.floors if floor.line == line)
    resource = "cores" if floor.cores else "memory"
    starts = _wave_starts(plan)
    rests = sorted((rest for rest in plan.rests if rest.line == line), key=lambda rest: rest.wave)
    levels = [getattr(rest, resource) for rest in rests]
    times = [-0.05 * starts[-1], *starts[:-1], starts[-1]]
    axis.step([*times, 1.05 * starts[-1]], [*levels, levels[-1]], where="post", color="#2a7fb8")
    axis.axhline(getattr(floor, resource), color="#cb181d", linestyle="--", linewidth=1)
    axis.set_ylim(0, max(max(levels), getattr(floor, resource)) * 1.15)
    axis.set_ylabel(
        f"{resource}, worst\nrack fallen" if plan.change.survive_rack and not floor.rack else resource,
        fontsize=7,
    )
    axis.set_title(floor.line.text, fontsize=8, loc="left")
    axis.tick_params(labelsize=7)
