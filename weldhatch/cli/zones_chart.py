"""Draws a chart of the states and the load of zones over time, from the leader's timeline."""

from __future__ import annotations

from itertools import pairwise

import matplotlib

matplotlib.use("Agg")
import matplotlib.pyplot as plt
from matplotlib.patches import Patch

COLOURS = {
    "serving": "#b7dfb9",
    "suspected": "#f6e08e",
    "leaving": "#f2a65a",
    "left": "#d9534f",
    "returning": "#7fb3d5",
}


def draw(timeline: list[dict], path: str) -> None:
    """Draw the samples that `zones.failover_leader` recorded, and write the chart to `path` as a PNG file."""
    times = [sample["s"] - timeline[0]["s"] for sample in timeline]
    places = sorted({name for sample in timeline for name in sample["phases"]})
    figure, (states, starts, shares) = plt.subplots(
        3, 1, sharex=True, figsize=(10, 7), gridspec_kw={"height_ratios": [max(1, len(places)), 3, 3]}
    )
    ends = [*times[1:], times[-1] + 0.5]
    for row, place in enumerate(places):
        for sample, begin, end in zip(timeline, times, ends, strict=True):
            phase, step = sample["phases"].get(place, ["serving", 0])
            states.barh(
                row,
                min(end - begin, 1.0),
                left=begin,
                height=0.7,
                color=COLOURS[phase],
                alpha=0.4 + 0.15 * step if phase == "returning" else 1.0,
            )
    states.set_yticks(range(len(places)), places)
    states.set_title("state of each place; a return darkens by its four steps")
    states.legend(
        handles=[Patch(color=colour, label=name) for name, colour in COLOURS.items()],
        ncols=5,
        fontsize="small",
        loc="upper center",
        bbox_to_anchor=(0.5, -0.15),
    )
    for place in places:
        counts = [sample["starts"].get(place, [0, 0, 0]) for sample in timeline]
        rates = [
            [
                max(0, after[kind] - before[kind]) / max(0.1, end - begin)
                for before, after, begin, end in zip(counts, counts[1:], times, times[1:], strict=False)
            ]
            for kind in range(3)
        ]
        if any(map(any, rates)):
            starts.plot(times[1:], rates[0], label=f"{place}: sent", drawstyle="steps-pre")
            starts.plot(
                times[1:], rates[2], label=f"{place}: went wrong", drawstyle="steps-pre", linestyle=":"
            )
        granted = [sample["shares"].get(place, 0) for sample in timeline]
        if any(granted):
            shares.plot(times, granted, label=f"{place}: shares out", drawstyle="steps-post")
    starts.set_ylabel("starts a second")
    refused = [
        max(0, after["refused"] - before["refused"]) / max(0.1, after["s"] - before["s"])
        for before, after in pairwise(timeline)
    ]
    shares.plot(times[1:], refused, label="turned away a second", color="#555", linewidth=1)
    shares.set_ylabel("shares; refusals")
    shares.set_xlabel("seconds since the first change")
    for axis in (starts, shares):
        if axis.get_legend_handles_labels()[0]:
            axis.legend(fontsize="small", loc="upper right")
        axis.grid(alpha=0.3)
    figure.tight_layout()
    figure.savefig(path, dpi=110)
    plt.close(figure)
