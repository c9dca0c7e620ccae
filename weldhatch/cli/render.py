"""Plans, applies and fleets as a person reads them, on rich."""

from __future__ import annotations

from collections import Counter

from rich.console import Console
from rich.markup import escape
from rich.table import Table

from weldhatch.applying.journal import format_time
from weldhatch.cli.output import DriftShown, FleetShown, HistoryShown, StatusShown
from weldhatch.planning.plan import Plan

NODES_SHOWN = 60  # a longer list is summed up by hall and rack
COLOURS = {
    "ready": "green",
    "draining": "yellow",
    "warming": "cyan",
    "off": "bright_black",
    "lost": "red",
    "done": "green",
    "taken": "cyan",
    "unknown": "yellow",
    "refused": "red",
    "todo": "bright_black",
}


def coloured(word: str) -> str:
    return f"[{COLOURS[word]}]{word}[/]" if word in COLOURS else escape(word)


def span(seconds: float) -> str:
    return f"{seconds:.0f} s" if seconds < 120 else f"{seconds / 60:.1f} min"


def fleet(console: Console, shown: FleetShown) -> None:
    states = Counter(node.state.value for node in shown.nodes)
    console.print(
        f"{escape(shown.fleet)}: {len(shown.nodes)} nodes, "
        + ", ".join(f"{count} {coloured(state)}" for state, count in sorted(states.items()))
    )
    for gateway, answers in shown.gateways.items():
        console.print(f"gateway {gateway}: {'answers' if answers else '[red]does not answer[/]'}")
    if len(shown.nodes) > NODES_SHOWN:
        table = Table("hall", "rack", "nodes", "ready", "draining", "off", "other", "ready cores", "ready GB")
        for hall, rack in sorted({(node.hall, node.rack) for node in shown.nodes}):
            own = [node for node in shown.nodes if node.rack == rack]
            by = Counter(node.state.value for node in own)
            other = len(own) - by["ready"] - by["draining"] - by["off"]
            table.add_row(
                hall,
                rack,
                *map(str, (len(own), by["ready"], by["draining"], by["off"], other)),
                f"{sum(node.cores for node in own if node.ready):g}",
                f"{sum(node.memory for node in own if node.ready):g}",
            )
    else:
        table = Table("node", "hall", "rack", "kind", "cores", "GB", "state", "generation", "tasks", "held")
        for node in shown.nodes:
            table.add_row(
                node.id,
                node.hall,
                node.rack,
                node.kind,
                f"{node.cores:g}",
                f"{node.memory:g}",
                coloured(node.state),
                str(node.generation),
                str(node.tasks),
                "yes" if node.held else "",
            )
    console.print(table)


def plan(console: Console, made: Plan, path: str) -> None:
    """What will happen, in which order, and what is left of each floor meanwhile."""
    name = escape(made.change.name)
    if not made.steps:
        console.print(f"{name}: nothing to do, the fleet is as the file says.")
        return
    seconds = sum(wave.seconds for wave in made.waves)
    by = (
        made.way
        if made.way == "greedy"
        else f"{made.way}; greedy needs {made.greedy_waves or 'more than it finds'}"
    )
    console.print(f"{name}: {len(made.waves)} waves, about {span(seconds)}, by {by}")
    kinds: dict[str, list[str]] = {}
    for step in made.steps:
        if step.kind.orders_node or step.kind == "await" or step.id.endswith("welcome"):
            kinds.setdefault(step.node, []).append(step.kind.value)
    for wave in made.waves:
        console.print(f"[bold]wave {wave.number}[/], about {span(wave.seconds)}")
        table = Table("node", "what", "from", "hall, rack", "asked for at", box=None, pad_edge=True)
        places = {step.node: step.because for step in made.steps}
        then = {node.id: node for node in made.world}
        for node in wave.nodes:
            what = [kind for kind in kinds[node] if kind != "welcome" or len(kinds[node]) == 1]
            held = ", held" if then[node].held else ""
            table.add_row(
                node,
                " then ".join(what),
                f"{then[node].state}{held}, {then[node].tasks} tasks",
                f"{then[node].hall}, {then[node].rack}",
                escape(places[node].rpartition("/")[2]),
            )
        console.print(table)
        for rest in made.rests:
            if rest.wave == wave.number:
                console.print(
                    f"  ready meanwhile: {rest.cores:g} cores, {rest.memory:g} GB for "
                    f"{escape(rest.line.text)}"
                )
    if path:
        console.print(f"The plan {made.id} is in {escape(path)}. Every drain is told to all gateways first.")


def status(console: Console, shown: StatusShown) -> None:
    if shown.state == "none":
        console.print("no apply has been begun here")
        return
    console.print(
        f"apply {shown.apply} ({escape(shown.name)}): [bold]{shown.state}[/], "
        f"begun {format_time(shown.begun)} by {escape(shown.by)}, "
        f"last word {format_time(shown.last)}, fence {shown.fence}"
    )
    if shown.holder:
        console.print(f"held by {escape(shown.holder)}")
    if shown.reason:
        console.print(f"stopped: {shown.reason}: {escape(shown.text)}")
    table = Table("step", "how far", "outcome", "told", "note")
    for step in shown.steps:
        table.add_row(step.step, coloured(step.stand), step.outcome, " ".join(step.told), escape(step.note))
    console.print(table)
    if shown.half_done:
        console.print(f"half done: {', '.join(shown.half_done)}")
    elif shown.state in ("stopped", "interrupted"):
        console.print("no node stands half done")


def history(console: Console, shown: HistoryShown) -> None:
    table = Table("apply", "change", "state", "begun", "last word", "by", "steps done", "takes back")
    for entry in shown.applies:
        table.add_row(
            entry.apply,
            escape(entry.name),
            entry.state,
            format_time(entry.begun),
            format_time(entry.last),
            escape(entry.by),
            f"{entry.done} of {entry.steps}",
            entry.undoes,
        )
    console.print(table)


def drift(console: Console, shown: DriftShown) -> None:
    if shown.unfinished:
        console.print(
            f"apply {shown.apply} is not finished: weldhatch fleet status tells how far it has come"
        )
    for one in shown.drift:
        console.print(f"{one.node}: to be {one.wanted}, and is {escape(one.now)}")
    if not shown.drift:
        console.print("nothing has drifted")
