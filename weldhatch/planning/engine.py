"""What an apply does next: decided from its records, the world as it was last seen, and the time. No I/O.

One turn: the runner looks at the world, the engine decides, the decision's records go to the journal, and
only
then do its orders leave. A step that may have been ordered is only ever repeated under the same operation id
and generation, so a node that has heard it does nothing twice.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

import msgspec

from weldhatch.planning.actions import Action, ActionKind
from weldhatch.planning.change import counts_for_floor
from weldhatch.planning.check import Violation, find_violations
from weldhatch.planning.fleet import Fleet, Node, State
from weldhatch.planning.moved import Moved, describe_node, find_moved_nodes, remaining_change, untouched_nodes
from weldhatch.planning.plan import Kind, Step
from weldhatch.planning.records import (
    AnyRecord,
    Done,
    Ended,
    Intent,
    Progress,
    StepState,
    StepStatus,
    Stopped,
)


class StopReason(StrEnum):
    """Why an apply stops before its end."""

    MOVED = "moved"  # a node that is next is not as the plan found it
    FLOOR = "floor"  # going on would break what has to hold
    REFUSED = "refused"  # a node will not, or not after all tries
    RETURNED = "returned"  # a node came back under another generation
    REVERTED = "reverted"  # a node is no longer in the state that it was ordered into
    FELL = "fell"  # a node that was switched on went off
    LOST = "lost"  # a node does not answer
    LATE = "late"  # an effect does not come
    GATEWAY = "gateway"  # a gateway does not take a node's state
    OVERTAKEN = "overtaken"  # a later apply has the say
    TOLD = "told"  # asked to stop


class ApplyTimeouts(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """How long an apply waits for whom, in seconds."""

    answer_s: float = 2.0  # for one answer
    poll_s: float = 0.5  # between two looks at the world
    tries: int = 6  # of one order that is refused for now, or not answered
    backoff_s: float = 0.5  # before its second try; doubled at each, at most `backoff_most_s`
    backoff_most_s: float = 8.0
    silence_s: float = 20.0  # a node or a gateway that says nothing for so long stops the apply
    hold_s: float = 20.0  # a floor that would be broken may be mended by others for so long
    warm_most_s: float = 120.0  # for a node to be ready
    drain_most_s: float = 900.0  # for a node to be empty


@dataclass(slots=True, frozen=True)
class Order:
    """One message to send, after the decision's records are written."""

    step: Step
    op: str
    fence: int
    gateway: str = ""  # '' where it goes to the node


@dataclass(slots=True)
class Decision:
    """What to write, then what to send; whether that is all."""

    records: list[AnyRecord] = field(default_factory=list)
    orders: list[Order] = field(default_factory=list)
    stop: Stopped | None = None
    ended: bool = False

    @property
    def idle(self) -> bool:
        return not self.records and not self.orders and not self.stop and not self.ended


class Engine:
    """Decides for one apply. `gateways`: the names of all that have to hear of a drain."""

    def __init__(self, progress: Progress, gateways: tuple[str, ...], patience: ApplyTimeouts) -> None:
        self.progress, self._gateways, self._patience = progress, gateways, patience
        self._silent: dict[str, float] = {}  # since when a node has not answered
        self._held_since: float | None = None
        self._next_try: dict[str, float] = {}
        self._tries: dict[
            str, int
        ] = {}  # of this process: those of one that crashed are not held against a node
        self._decision = Decision()

    def decide(self, now: float, fleet: Fleet) -> Decision:
        """The next turn, by the fleet as it was just seen. `now` in Unix seconds."""
        decision = self._decision = Decision()
        progress, plan = self.progress, self.progress.plan
        for node in fleet.nodes.values():
            if node.state is State.LOST:
                self._silent.setdefault(node.id, now)
            else:
                self._silent.pop(node.id, None)
        wave = next(
            (state.step.wave for state in progress.steps.values() if state.status is not StepStatus.DONE),
            None,
        )
        if wave is None:
            decision.records.append(Ended(apply=plan.id, at=now))
            decision.ended = True
            return decision
        fresh: list[StepState] = []
        for state in progress.steps.values():
            if state.step.wave != wave or state.status is StepStatus.DONE or not self._due(state.step):
                continue
            node = fleet.nodes.get(state.step.node)
            if state.status is StepStatus.TODO and state.step.kind is not Kind.AWAIT:
                fresh.append(state)
            else:
                self._under_way(state, node, now)
            if decision.stop:
                return decision
        self._begin(fresh, fleet, now)
        return decision

    def _due(self, step: Step) -> bool:
        return all(self.progress.steps[name].status is StepStatus.DONE for name in step.after)

    # ---- steps that begin ----------------------------------------------------------------------------------

    def _begin(self, fresh: list[StepState], fleet: Fleet, now: float) -> None:
        """Orders leave only where their node is as planned, and drains only where all floors go on to
        hold."""
        progress, plan = self.progress, self.progress.plan
        begun = progress.begun_steps
        virgin = untouched_nodes(plan, begun)
        heads = [state for state in fresh if state.step.node in virgin]
        if gone := find_moved_nodes(plan, fleet, {state.step.node for state in heads}):
            self._wait_or_stop(StopReason.MOVED, gone, [state.step.node for state in heads], now)
            names = {one.what for one in gone}
            fresh = [state for state in fresh if state.step.node not in names]
            if self._decision.stop:
                return
        drains = [state for state in fresh if state.step.kind in (Kind.ANNOUNCE, Kind.DRAIN)]
        if drains:
            if broken := self._broken(fleet, virgin, drains, drains[0].step.wave):
                if self._held_since is None:
                    self._held_since = now
                if now - self._held_since >= self._patience.hold_s:
                    self._stop(StopReason.FLOOR, "; ".join(map(str, broken[:3])), now)
                    return
                fresh = [state for state in fresh if state not in drains]
            else:
                self._held_since = None
        for state in fresh:
            step, node = state.step, fleet.nodes.get(state.step.node)
            if state.step.node not in virgin and (why := self._unfit(step, node)):
                if why is StopReason.FELL:  # it is down, as the step wanted in the end
                    self._done(state, "fell", f"now {describe_node(node)}", now)
                elif (
                    why is not StopReason.LOST or self._silent_for(step.node, now) >= self._patience.silence_s
                ):
                    self._stop(
                        why,
                        f"{step.node}: before {step.kind} it was to be {' or '.join(step.wants)}, "
                        f"generation {step.generation}; it is {describe_node(node)}",
                        now,
                    )
                    return
                continue
            if step.kind is Kind.STOP and node.tasks:
                continue  # it drains on; `stop` is for empty nodes
            self._order(state, now)

    def _wait_or_stop(self, why: StopReason, gone: list[Moved], names: list[str], now: float) -> None:
        """A node that only fails to answer may do so in a moment; all else stops the apply at once."""
        silent = [one for one in gone if one.what in self._silent]
        if len(silent) < len(gone) or any(
            self._silent_for(one.what, now) >= self._patience.silence_s for one in silent
        ):
            self._stop(why, "; ".join(str(one) for one in gone[:5]), now)

    def _broken(self, fleet: Fleet, virgin: set[str], drains: list[StepState], wave: int) -> list[Violation]:
        """What going on would break: this wave's drains now, and all that is still to come."""
        plan, nodes = self.progress.plan, fleet.nodes
        change, waves = remaining_change(plan, fleet, virgin)
        goals = {name: goal for goal in plan.change.goals for name in goal.nodes}
        # What was announced has its drain ahead, and what was switched on is there for the waves to come.
        leaving = {state.step.node for state in drains if state.step.node not in virgin}
        joining = {
            state.step.node
            for state in self.progress.steps.values()
            if state.step.kind.adds_capacity
            and state.status is not StepStatus.DONE
            and state.step.node not in virgin
        }
        own = [
            Action(nodes[name], ActionKind.DRAIN, goals[name]) for name in sorted(leaving) if name in nodes
        ]
        own += [
            Action(nodes[name], ActionKind.AWAIT, goals[name])
            for name in sorted(joining)
            if name in nodes and nodes[name].state is not State.LOST
        ]
        waves = (*((),) * (wave - 1), (*own, *waves[wave - 1]), *waves[wave:])
        going = [action.node for wave in waves for action in wave if action.kind.drains]
        # A floor that others broke, and that this plan takes nothing from, holds nothing up.
        floors = [
            floor for floor in change.floors if any(counts_for_floor(floor, node, fleet) for node in going)
        ]
        return find_violations(change.restricted_to([*floors, *change.limits, *change.spreads]), fleet, waves)

    def _unfit(self, step: Step, node: Node | None) -> StopReason | None:
        """Why a later step of a node that is under way can't begin."""
        if node is None or node.state is State.LOST:
            return StopReason.LOST
        if node.generation != step.generation:
            return StopReason.RETURNED
        if node.state in step.wants:
            return None
        if node.state is State.OFF and step.kind in (Kind.DRAIN, Kind.STOP):
            return StopReason.FELL
        return StopReason.REVERTED

    def _order(self, state: StepState, now: float) -> None:
        step, plan = state.step, self.progress.plan
        op, fence = plan.operation(step), self.progress.fence
        receivers = (
            [name for name in self._gateways if name not in state.accepted_by]
            if step.kind.at_gateways
            else [""]
        )
        if not receivers:
            self._done(state, "done", "", now)
            return
        tries = self._tries[step.id] = self._tries.get(step.id, 0) + 1
        patience = self._patience
        self._next_try[step.id] = now + min(patience.backoff_s * 2 ** (tries - 1), patience.backoff_most_s)
        self._decision.records.append(Intent(apply=plan.id, at=now, step=step.id, op=op, fence=fence))
        self._decision.orders += [Order(step, op, fence, name) for name in receivers]

    # ---- steps under way -----------------------------------------------------------------------------------

    def _under_way(self, state: StepState, node: Node | None, now: float) -> None:
        step = state.step
        if step.kind.at_gateways:
            if all(name in state.accepted_by for name in self._gateways):
                self._done(state, "done", "", now)
            else:
                self._again(
                    state,
                    StopReason.GATEWAY,
                    f"{step.node}: "
                    + ", ".join(name for name in self._gateways if name not in state.accepted_by)
                    + f" did not take {step.kind}",
                    now,
                )
            return
        if node is None or node.state is State.LOST:
            if self._silent_for(step.node, now) >= self._patience.silence_s:
                self._stop(
                    StopReason.LOST,
                    f"{step.node} has not answered for {self._silent_for(step.node, now):.0f} s "
                    f"while {step.kind} was {state.status}",
                    now,
                )
            return
        if step.kind is Kind.AWAIT and state.status is StepStatus.TODO:
            self._awaited(state, node, now)
        elif state.status is StepStatus.TAKEN:
            self._taken(state, node, now)
        elif node.generation != step.generation and not (
            step.kind is Kind.SWITCH_ON and node.generation == step.generation + 1
        ):
            self._stop(
                StopReason.RETURNED,
                f"{step.node} came back as generation {node.generation}, "
                f"planned was {step.generation}: {step.kind} is not repeated",
                now,
            )
        elif state.status is StepStatus.REFUSED and not state.transient:
            if node.state in step.wants:
                self._stop(StopReason.REFUSED, f"{step.node} refuses {step.kind}: {state.note}", now)
            elif node.state is step.leads_to:
                self._taken(state, node, now)  # it is so already, and forgot by whom
            else:
                self._stop(
                    StopReason.REVERTED,
                    f"{step.node} refuses {step.kind}: {state.note}; it is {describe_node(node)}",
                    now,
                )
        else:
            why = StopReason.REFUSED if state.status is StepStatus.REFUSED else StopReason.LOST
            self._again(
                state,
                why,
                f"{step.node}: no {step.kind} after "
                f"{self._tries.get(step.id, 0)} tries: {state.note or 'no answer'}",
                now,
            )

    def _again(self, state: StepState, why: StopReason, text: str, now: float) -> None:
        """The same order once more, after a wait that doubles."""
        if now < self._next_try.get(state.step.id, 0.0):
            return
        if self._tries.get(state.step.id, 0) >= self._patience.tries:
            self._stop(why, text, now)
        else:
            self._order(state, now)

    def _taken(self, state: StepState, node: Node, now: float) -> None:
        """The node has said yes: is the effect there?"""
        step = state.step
        expected = step.generation + (step.kind is Kind.SWITCH_ON)
        patience = self._patience
        if node.generation != expected and not (
            node.state is State.OFF and step.kind is not Kind.SWITCH_ON and node.generation == step.generation
        ):
            if step.kind is Kind.SWITCH_ON and node.generation == step.generation:
                self._late(state, node, patience.warm_most_s, now)
                return
            self._stop(
                StopReason.RETURNED,
                f"{step.node} came back as generation {node.generation} while {step.kind} was "
                f"under way ({describe_node(node)}): it is not ordered again",
                now,
            )
        elif step.kind is Kind.DRAIN:
            if node.state is State.OFF:
                self._done(state, "fell", "it went off while it drained", now)
            elif node.state is not State.DRAINING:
                self._stop(
                    StopReason.REVERTED,
                    f"{step.node} was draining and is {describe_node(node)}: it is not drained again",
                    now,
                )
            elif node.drained:
                self._done(state, "done", "", now)
            else:
                self._late(state, node, patience.drain_most_s, now)
        elif step.kind is Kind.SWITCH_ON and node.state is State.OFF:
            self._stop(StopReason.FELL, f"{step.node} was switched on and went off again", now)
        elif node.state is step.leads_to:
            self._done(state, "done", "", now)
        else:
            self._late(state, node, patience.warm_most_s, now)

    def _awaited(self, state: StepState, node: Node, now: float) -> None:
        if node.state is State.READY and node.generation == state.step.generation:
            self._done(state, "done", "", now)
        elif node.state is not State.WARMING or node.generation != state.step.generation:
            self._stop(StopReason.MOVED, f"{state.step.node} was awaited and is {describe_node(node)}", now)
        else:
            state.at = state.at or now
            self._late(state, node, self._patience.warm_most_s, now)

    def _late(self, state: StepState, node: Node, most: float, now: float) -> None:
        if now - state.at > most:
            self._stop(
                StopReason.LATE,
                f"{state.step.node}: {state.step.kind} was taken {now - state.at:.0f} s ago and the "
                f"node is {describe_node(node)}",
                now,
            )

    # ---- ends ----------------------------------------------------------------------------------------------

    def _silent_for(self, name: str, now: float) -> float:
        return now - self._silent.get(name, now)

    def _done(self, state: StepState, outcome: str, note: str, now: float) -> None:
        self._decision.records.append(
            Done(apply=self.progress.plan.id, at=now, step=state.step.id, outcome=outcome, note=note)
        )

    def _stop(self, why: StopReason, text: str, now: float) -> None:
        if self._decision.stop is None:
            self._decision.stop = Stopped(apply=self.progress.plan.id, at=now, reason=why, text=text)
            self._decision.records.append(self._decision.stop)
            self._decision.orders.clear()
            # What would have been ordered in this turn has not left: no intent of it is kept.
            self._decision.records = [one for one in self._decision.records if not isinstance(one, Intent)]
