"""Prints plans, applies and fleets as text and tables, with rich."""

from __future__ import annotations

from collections import Counter

from rich.console import Console
from rich.markup import escape
from rich.table import Table

from weldhatch.applying.journal import format_time
from weldhatch.cli.output import DriftShown, FleetShown, HistoryShown, StatusShown
from weldhatch.planning.plan import Plan

MAX_LISTED_NODES = 60  # a larger fleet is summed up by zone and rack
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
    """Return the name of a state with the markup of its colour, or any other word escaped."""
    return f"[{COLOURS[word]}]{word}[/]" if word in COLOURS else escape(word)


def format_duration(seconds: float) -> str:
    """Return a duration in seconds, or in minutes from two minutes on."""
    return f"{seconds:.0f} s" if seconds < 120 else f"{seconds / 60:.1f} min"


def fleet(console: Console, shown: FleetShown) -> None:
    """Print the nodes of a fleet, or a summary by zone and rack for a large one."""
    states = Counter(node.state.value for node in shown.nodes)
    console.print(
        f"{escape(shown.fleet)}: {len(shown.nodes)} nodes, "
        + ", ".join(f"{count} {coloured(state)}" for state, count in sorted(states.items()))
    )
    for gateway, answers in shown.gateways.items():
        console.print(f"gateway {gateway}: {'answers' if answers else '[red]does not answer[/]'}")
    if len(shown.nodes) > MAX_LISTED_NODES:
        table = Table("hall", "rack", "nodes", "ready", "draining", "off", "other", "ready cores", "ready GB")
        for zone, rack in sorted({(node.hall, node.rack) for node in shown.nodes}):
            rack_nodes = [node for node in shown.nodes if node.rack == rack]
            by_state = Counter(node.state.value for node in rack_nodes)
            other = len(rack_nodes) - by_state["ready"] - by_state["draining"] - by_state["off"]
            table.add_row(
                zone,
                rack,
                *map(str, (len(rack_nodes), by_state["ready"], by_state["draining"], by_state["off"], other)),
                f"{sum(node.cores for node in rack_nodes if node.ready):g}",
                f"{sum(node.memory for node in rack_nodes if node.ready):g}",
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


def plan(console: Console, plan: Plan, path: str) -> None:
    """Print the waves of a plan, and the capacity that stays ready for each floor during a wave."""
    name = escape(plan.change.name)
    if not plan.steps:
        console.print(f"{name}: nothing to do, the fleet is as the file says.")
        return
    seconds = sum(wave.seconds for wave in plan.waves)
    method = (
        plan.way
        if plan.way == "greedy"
        else f"{plan.way}; greedy needs {plan.greedy_waves or 'more than it finds'}"
    )
    console.print(f"{name}: {len(plan.waves)} waves, about {format_duration(seconds)}, by {method}")
    kinds: dict[str, list[str]] = {}
    for step in plan.steps:
        if step.kind.orders_node or step.kind == "await" or step.id.endswith("welcome"):
            kinds.setdefault(step.node, []).append(step.kind.value)
    for wave in plan.waves:
        console.print(f"[bold]wave {wave.number}[/], about {format_duration(wave.seconds)}")
        table = Table("node", "what", "from", "hall, rack", "asked for at", box=None, pad_edge=True)
        origins = {step.node: step.because for step in plan.steps}
        nodes = {node.id: node for node in plan.world}
        for node in wave.nodes:
            actions = [kind for kind in kinds[node] if kind != "welcome" or len(kinds[node]) == 1]
            held = ", held" if nodes[node].held else ""
            table.add_row(
                node,
                " then ".join(actions),
                f"{nodes[node].state}{held}, {nodes[node].tasks} tasks",
                f"{nodes[node].hall}, {nodes[node].rack}",
                escape(origins[node].rpartition("/")[2]),
            )
        console.print(table)
        for rest in plan.rests:
            if rest.wave == wave.number:
                console.print(
                    f"  ready meanwhile: {rest.cores:g} cores, {rest.memory:g} GB for "
                    f"{escape(rest.line.text)}"
                )
    if path:
        console.print(f"The plan {plan.id} is in {escape(path)}. Every drain is told to all gateways first.")


def status(console: Console, shown: StatusShown) -> None:
    """Print the state of an apply and of each of its steps."""
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
    """Print a table of applies."""
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
    """Print the nodes that are not as the last apply left them."""
    if shown.unfinished:
        console.print(
            f"apply {shown.apply} is not finished: weldhatch fleet status tells how far it has come"
        )
    for difference in shown.drift:
        console.print(f"{difference.node}: to be {difference.wanted}, and is {escape(difference.now)}")
    if not shown.drift:
        console.print("nothing has drifted")
