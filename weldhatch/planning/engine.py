"""Decides the next actions of an apply from its records, the fleet as last observed, and the time. No I/O.

In one turn, the runner observes the fleet, the engine decides, the decision's records are written to the
journal, and only then are its orders sent. An order that may have been sent is retried only under the same
operation id and generation, so that a node that has received it does not execute it twice.
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
    """The reason why an apply stops before its end."""

    MOVED = "moved"  # a node is not in the state that the plan assumes
    FLOOR = "floor"  # the next drains would violate a constraint
    REFUSED = "refused"  # a node refuses an order finally, or after all tries
    RETURNED = "returned"  # a node was restarted and has another generation
    REVERTED = "reverted"  # a node is no longer in the state that an order brought it into
    FELL = "fell"  # a node went off after it was switched on
    LOST = "lost"  # a node does not answer
    LATE = "late"  # the effect of an order did not appear in time
    GATEWAY = "gateway"  # a gateway does not accept a node's state
    OVERTAKEN = "overtaken"  # a later apply has a higher fencing number
    TOLD = "told"  # the operator requested the stop


class Patience(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Time-outs in seconds and the retry limit of an apply: the table `patience` of the fleet file."""

    answer_s: float = 2.0  # the time-out of one call
    poll_s: float = 0.5  # between two observations of the fleet
    tries: int = 6  # attempts of one order that is refused temporarily or not answered
    backoff_s: float = 0.5  # before the second attempt; doubled at each, up to `backoff_most_s`
    backoff_most_s: float = 8.0
    silence_s: float = 20.0  # a node that does not answer for so long stops the apply
    hold_s: float = 20.0  # how long drains wait for a floor that they would violate, before the apply stops
    warm_most_s: float = 120.0  # for a node to become ready
    drain_most_s: float = 900.0  # for a draining node to end its tasks


@dataclass(slots=True, frozen=True)
class Order:
    """A message that is sent after the decision's records are written."""

    step: Step
    op: str
    fence: int
    gateway: str = ""  # '' if the order goes to the node


@dataclass(slots=True)
class Decision:
    """The records to write, then the orders to send; and whether the apply stops or has ended."""

    records: list[AnyRecord] = field(default_factory=list)
    orders: list[Order] = field(default_factory=list)
    stop: Stopped | None = None
    ended: bool = False

    @property
    def idle(self) -> bool:
        """Whether there is nothing to do but to wait."""
        return not self.records and not self.orders and not self.stop and not self.ended


class Engine:
    """Decides the actions of one apply."""

    def __init__(self, progress: Progress, gateways: tuple[str, ...], timeouts: Patience) -> None:
        """Continue from the recorded progress. `gateways`: the names of all that are notified of drains."""
        self.progress, self._gateways, self._timeouts = progress, gateways, timeouts
        self._silent_since: dict[str, float] = {}  # when each silent node was first found silent
        self._floors_violated_since: float | None = None
        self._next_try: dict[str, float] = {}
        # Only the attempts of this process: those of a process that crashed don't use up a node's tries.
        self._tries: dict[str, int] = {}
        self._decision = Decision()

    def decide(self, now: float, fleet: Fleet) -> Decision:
        """Return the decision of the next turn for the fleet as just observed. `now` is in Unix seconds."""
        decision = self._decision = Decision()
        progress, plan = self.progress, self.progress.plan
        for node in fleet.nodes.values():
            if node.state is State.LOST:
                self._silent_since.setdefault(node.id, now)
            else:
                self._silent_since.pop(node.id, None)
        wave = next(
            (state.step.wave for state in progress.steps.values() if state.status is not StepStatus.DONE),
            None,
        )
        if wave is None:
            decision.records.append(Ended(apply=plan.id, at=now))
            decision.ended = True
            return decision
        startable: list[StepState] = []
        for state in progress.steps.values():
            if (
                state.step.wave != wave
                or state.status is StepStatus.DONE
                or not self._predecessors_done(state.step)
            ):
                continue
            node = fleet.nodes.get(state.step.node)
            if state.status is StepStatus.TODO and state.step.kind is not Kind.AWAIT:
                startable.append(state)
            else:
                self._continue_step(state, node, now)
            if decision.stop:
                return decision
        self._start_steps(startable, fleet, now)
        return decision

    def _predecessors_done(self, step: Step) -> bool:
        return all(self.progress.steps[name].status is StepStatus.DONE for name in step.after)

    # ---- starting steps ------------------------------------------------------------------------------------

    def _start_steps(self, startable: list[StepState], fleet: Fleet, now: float) -> None:
        """Order the steps whose nodes are in the expected state; drains also require that all floors hold."""
        progress, plan = self.progress, self.progress.plan
        begun = progress.begun_steps
        untouched = untouched_nodes(plan, begun)
        first_steps = [state for state in startable if state.step.node in untouched]
        if moved_nodes := find_moved_nodes(plan, fleet, {state.step.node for state in first_steps}):
            self._wait_or_stop(StopReason.MOVED, moved_nodes, [state.step.node for state in first_steps], now)
            moved_ids = {moved.what for moved in moved_nodes}
            startable = [state for state in startable if state.step.node not in moved_ids]
            if self._decision.stop:
                return
        drains = [state for state in startable if state.step.kind in (Kind.ANNOUNCE, Kind.DRAIN)]
        if drains:
            if violations := self._violations(fleet, untouched, drains, drains[0].step.wave):
                if self._floors_violated_since is None:
                    self._floors_violated_since = now
                if now - self._floors_violated_since >= self._timeouts.hold_s:
                    self._record_stop(StopReason.FLOOR, "; ".join(map(str, violations[:3])), now)
                    return
                startable = [state for state in startable if state not in drains]
            else:
                self._floors_violated_since = None
        for state in startable:
            step, node = state.step, fleet.nodes.get(state.step.node)
            if state.step.node not in untouched and (reason := self._obstacle(step, node)):
                if reason is StopReason.FELL:  # the node is off, which is the final result of the step too
                    self._record_done(state, "fell", f"now {describe_node(node)}", now)
                elif (
                    reason is not StopReason.LOST
                    or self._silence_s(step.node, now) >= self._timeouts.silence_s
                ):
                    self._record_stop(
                        reason,
                        f"{step.node}: before {step.kind} it was to be {' or '.join(step.wants)}, "
                        f"generation {step.generation}; it is {describe_node(node)}",
                        now,
                    )
                    return
                continue
            if step.kind is Kind.STOP and node.tasks:
                continue  # the node is still draining; `stop` is for nodes without tasks
            self._order(state, now)

    def _wait_or_stop(
        self, reason: StopReason, moved_nodes: list[Moved], names: list[str], now: float
    ) -> None:
        """Stop the apply, unless all changed nodes are silent and have been for less than `silence_s`."""
        silent = [moved for moved in moved_nodes if moved.what in self._silent_since]
        if len(silent) < len(moved_nodes) or any(
            self._silence_s(moved.what, now) >= self._timeouts.silence_s for moved in silent
        ):
            self._record_stop(reason, "; ".join(str(moved) for moved in moved_nodes[:5]), now)

    def _violations(
        self, fleet: Fleet, untouched: set[str], drains: list[StepState], wave: int
    ) -> list[Violation]:
        """Return the violations by this wave's drains and the remaining waves."""
        plan, nodes = self.progress.plan, fleet.nodes
        change, waves = remaining_change(plan, fleet, untouched)
        goals = {name: goal for goal in plan.change.goals for name in goal.nodes}
        # A node whose drain has been announced still has to drain; a node that is being switched on counts in
        # the later waves.
        leaving = {state.step.node for state in drains if state.step.node not in untouched}
        joining = {
            state.step.node
            for state in self.progress.steps.values()
            if state.step.kind.adds_capacity
            and state.status is not StepStatus.DONE
            and state.step.node not in untouched
        }
        own_actions = [
            Action(nodes[name], ActionKind.DRAIN, goals[name]) for name in sorted(leaving) if name in nodes
        ]
        own_actions += [
            Action(nodes[name], ActionKind.AWAIT, goals[name])
            for name in sorted(joining)
            if name in nodes and nodes[name].state is not State.LOST
        ]
        waves = (*((),) * (wave - 1), (*own_actions, *waves[wave - 1]), *waves[wave:])
        drained = [action.node for wave in waves for action in wave if action.kind.drains]
        # A floor that is violated for other reasons does not block a plan that drains no node counted for it.
        floors = [
            floor for floor in change.floors if any(counts_for_floor(floor, node, fleet) for node in drained)
        ]
        return find_violations(change.restricted_to([*floors, *change.limits, *change.spreads]), fleet, waves)

    def _obstacle(self, step: Step, node: Node | None) -> StopReason | None:
        """Return why a later step of a node can't begin; None if it can."""
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
            self._record_done(state, "done", "", now)
            return
        tries = self._tries[step.id] = self._tries.get(step.id, 0) + 1
        timeouts = self._timeouts
        self._next_try[step.id] = now + min(timeouts.backoff_s * 2 ** (tries - 1), timeouts.backoff_most_s)
        self._decision.records.append(Intent(apply=plan.id, at=now, step=step.id, op=op, fence=fence))
        self._decision.orders += [Order(step, op, fence, name) for name in receivers]

    # ---- steps in progress ---------------------------------------------------------------------------------

    def _continue_step(self, state: StepState, node: Node | None, now: float) -> None:
        step = state.step
        if step.kind.at_gateways:
            if all(name in state.accepted_by for name in self._gateways):
                self._record_done(state, "done", "", now)
            else:
                self._retry(
                    state,
                    StopReason.GATEWAY,
                    f"{step.node}: "
                    + ", ".join(name for name in self._gateways if name not in state.accepted_by)
                    + f" did not take {step.kind}",
                    now,
                )
            return
        if node is None or node.state is State.LOST:
            if self._silence_s(step.node, now) >= self._timeouts.silence_s:
                self._record_stop(
                    StopReason.LOST,
                    f"{step.node} has not answered for {self._silence_s(step.node, now):.0f} s "
                    f"while {step.kind} was {state.status}",
                    now,
                )
            return
        if step.kind is Kind.AWAIT and state.status is StepStatus.TODO:
            self._check_awaited(state, node, now)
        elif state.status is StepStatus.TAKEN:
            self._check_effect(state, node, now)
        elif node.generation != step.generation and not (
            step.kind is Kind.SWITCH_ON and node.generation == step.generation + 1
        ):
            self._record_stop(
                StopReason.RETURNED,
                f"{step.node} came back as generation {node.generation}, "
                f"planned was {step.generation}: {step.kind} is not repeated",
                now,
            )
        elif state.status is StepStatus.REFUSED and not state.transient:
            if node.state in step.wants:
                self._record_stop(StopReason.REFUSED, f"{step.node} refuses {step.kind}: {state.note}", now)
            elif node.state is step.leads_to:
                # The order has had its effect, but the node no longer knows the operation.
                self._check_effect(state, node, now)
            else:
                self._record_stop(
                    StopReason.REVERTED,
                    f"{step.node} refuses {step.kind}: {state.note}; it is {describe_node(node)}",
                    now,
                )
        else:
            reason = StopReason.REFUSED if state.status is StepStatus.REFUSED else StopReason.LOST
            self._retry(
                state,
                reason,
                f"{step.node}: no {step.kind} after "
                f"{self._tries.get(step.id, 0)} tries: {state.note or 'no answer'}",
                now,
            )

    def _retry(self, state: StepState, reason: StopReason, text: str, now: float) -> None:
        """Retry the order with exponential backoff; stop the apply after all tries."""
        if now < self._next_try.get(state.step.id, 0.0):
            return
        if self._tries.get(state.step.id, 0) >= self._timeouts.tries:
            self._record_stop(reason, text, now)
        else:
            self._order(state, now)

    def _check_effect(self, state: StepState, node: Node, now: float) -> None:
        """Check whether the effect of an accepted order has appeared."""
        step = state.step
        expected = step.generation + (step.kind is Kind.SWITCH_ON)
        timeouts = self._timeouts
        if node.generation != expected and not (
            node.state is State.OFF and step.kind is not Kind.SWITCH_ON and node.generation == step.generation
        ):
            if step.kind is Kind.SWITCH_ON and node.generation == step.generation:
                self._check_time_limit(state, node, timeouts.warm_most_s, now)
                return
            self._record_stop(
                StopReason.RETURNED,
                f"{step.node} came back as generation {node.generation} while {step.kind} was "
                f"under way ({describe_node(node)}): it is not ordered again",
                now,
            )
        elif step.kind is Kind.DRAIN:
            if node.state is State.OFF:
                self._record_done(state, "fell", "it went off while it drained", now)
            elif node.state is not State.DRAINING:
                self._record_stop(
                    StopReason.REVERTED,
                    f"{step.node} was draining and is {describe_node(node)}: it is not drained again",
                    now,
                )
            elif node.drained:
                self._record_done(state, "done", "", now)
            else:
                self._check_time_limit(state, node, timeouts.drain_most_s, now)
        elif step.kind is Kind.SWITCH_ON and node.state is State.OFF:
            self._record_stop(StopReason.FELL, f"{step.node} was switched on and went off again", now)
        elif node.state is step.leads_to:
            self._record_done(state, "done", "", now)
        else:
            self._check_time_limit(state, node, timeouts.warm_most_s, now)

    def _check_awaited(self, state: StepState, node: Node, now: float) -> None:
        if node.state is State.READY and node.generation == state.step.generation:
            self._record_done(state, "done", "", now)
        elif node.state is not State.WARMING or node.generation != state.step.generation:
            self._record_stop(
                StopReason.MOVED, f"{state.step.node} was awaited and is {describe_node(node)}", now
            )
        else:
            state.last_event_at = state.last_event_at or now
            self._check_time_limit(state, node, self._timeouts.warm_most_s, now)

    def _check_time_limit(self, state: StepState, node: Node, limit_s: float, now: float) -> None:
        if now - state.last_event_at > limit_s:
            self._record_stop(
                StopReason.LATE,
                f"{state.step.node}: {state.step.kind} was taken {now - state.last_event_at:.0f} s ago "
                f"and the node is {describe_node(node)}",
                now,
            )

    # ---- results -------------------------------------------------------------------------------------------

    def _silence_s(self, name: str, now: float) -> float:
        return now - self._silent_since.get(name, now)

    def _record_done(self, state: StepState, outcome: str, note: str, now: float) -> None:
        self._decision.records.append(
            Done(apply=self.progress.plan.id, at=now, step=state.step.id, outcome=outcome, note=note)
        )

    def _record_stop(self, reason: StopReason, text: str, now: float) -> None:
        if self._decision.stop is None:
            self._decision.stop = Stopped(apply=self.progress.plan.id, at=now, reason=reason, text=text)
            self._decision.records.append(self._decision.stop)
            self._decision.orders.clear()
            # The orders of this turn have not been sent, so their intents are not recorded.
            self._decision.records = [
                record for record in self._decision.records if not isinstance(record, Intent)
            ]
