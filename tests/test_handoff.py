"""The hand-off between sites: all orders of events for few requests, with all guards and without each one."""

from unittest import mock

import pytest

from weldhatch.sites import handoff_source, handoff_target, messages
from weldhatch.sites.handoff_source import HandoffSource, OutgoingPhase, TaskBusyError
from weldhatch.sites.handoff_target import HandoffTarget, IncomingPhase
from weldhatch.sites.messages import Work
from weldhatch.testbed.handoff_model import Faults
from weldhatch.testbed.handoff_model_checker import InvariantError, explore


def work(effect="UNSAFE", key=7, **changes):
    return Work("c", effect, key, 1, 1.0, 1.0, **changes)


UNSAFE, SAFE = work(), work("SAFE")


@pytest.mark.parametrize(
    "requests, faults, min_states",
    [
        ((UNSAFE,), Faults(1, 1, 0, 0), 1000),
        ((UNSAFE,), Faults(1, 0, 1, 1), 3000),
        ((work("KEYED"),), Faults(0, 1, 1, 1), 3000),
        ((SAFE,), Faults(1, 1, 0, 1), 3000),
        ((UNSAFE, UNSAFE), Faults(0, 0, 0, 0), 10_000),
    ],
)
def test_every_order_of_events_keeps_the_invariants(requests, faults, min_states):
    """One answer, one end, never two owners of a key, and every transfer is closed.

    The lower bound on the number of states fails the test if the model stops generating some events.
    """
    assert explore(requests, faults) > min_states


def patch_target(name, replacement):
    return mock.patch.object(HandoffTarget, name, replacement)


def start_on_every_offer(self, message, draining=False, receive=HandoffTarget.receive):
    if isinstance(message, messages.Offer) and self.transfers.get(message.id):
        self.transfers[message.id] = handoff_target.IncomingTransfer(message.id, message.work)
        return [handoff_target.StartTask(self.site, message.id, message.work, message.left_us)]
    return receive(self, message, draining)


def close_without_tombstone(self, id):
    del self.transfers[id]


def forget_early_recall(self, transfer, wait_us, return_task=HandoffTarget._return_task):
    effects = return_task(self, transfer, wait_us)
    if transfer.work is None:
        del self.transfers[transfer.id]
    return effects


def return_after_restart(self, ids=None):
    effects = []
    for transfer in [
        transfer for transfer in self.transfers.values() if transfer.phase is IncomingPhase.PLACING
    ]:
        effects += self._return_task(transfer, 0)
    return effects


def send_before_write(self, site, work, left_us, offer=HandoffSource.offer):
    id, (write, send) = offer(self, site, work, left_us)
    return id, [send, write]


def drop_at_deadline(self, id, deadline_passed=HandoffSource.deadline_passed):
    effects = deadline_passed(self, id)
    if id in self.transfers:
        self._remove(self.transfers[id])
        effects.insert(0, handoff_source.WriteRecord(("over", id)))
    return effects


@pytest.mark.parametrize(
    "guard, requests, faults",
    [
        ("an offer is placed once", (UNSAFE,), Faults(0, 1, 0, 0)),
        ("a closed id leaves a tombstone", (UNSAFE,), Faults(0, 1, 0, 0)),
        ("a recall that arrives before its offer is kept", (UNSAFE, UNSAFE), Faults(0, 0, 0, 0)),
        ("a task being placed before a crash is not returned", (UNSAFE,), Faults(0, 0, 0, 1)),
        ("a hand-off is recorded before the offer is sent", (UNSAFE, UNSAFE), Faults(0, 0, 1, 0)),
        ("a deadline does not close a transfer", (UNSAFE, UNSAFE), Faults(0, 0, 0, 0)),
        ("a key held by another site is not free", (UNSAFE, UNSAFE), Faults(0, 0, 0, 0)),
    ],
    ids=lambda value: value.replace(" ", "-") if isinstance(value, str) else "",
)
def test_without_its_guard_an_invariant_is_violated(guard, requests, faults):
    removed_guard = {
        "an offer is placed once": patch_target("receive", start_on_every_offer),
        "a closed id leaves a tombstone": patch_target("_close", close_without_tombstone),
        "a recall that arrives before its offer is kept": patch_target("_return_task", forget_early_recall),
        "a task being placed before a crash is not returned": patch_target("recover", return_after_restart),
        "a hand-off is recorded before the offer is sent": mock.patch.object(
            HandoffSource, "offer", send_before_write
        ),
        "a deadline does not close a transfer": mock.patch.object(
            HandoffSource, "deadline_passed", drop_at_deadline
        ),
        "a key held by another site is not free": mock.patch.object(
            HandoffSource, "_check_key_free", lambda self, key: None
        ),
    }[guard]
    with removed_guard, pytest.raises(InvariantError):
        explore(requests, faults, 60_000)


# ---- single cases that the model checker does not reach ---------------------------------------------------


def hand_off(to="b"):
    source, target = HandoffSource(3), HandoffTarget("a")
    id, (_, send) = source.offer(to, UNSAFE, 500_000)
    return source, target, id, send.message


def sent_messages(effects):
    return [
        effect.message
        for effect in effects
        if isinstance(effect, handoff_source.SendMessage | handoff_target.SendMessage)
    ]


def test_a_task_at_its_limit_of_hand_offs_is_returned():
    target = HandoffTarget("a")
    effects = target.receive(messages.Offer((1, 1), work(hops=handoff_target.MAX_HOPS), 500_000))
    assert sent_messages(effects) == [messages.Returned((1, 1))]


def test_a_draining_site_accepts_no_offer_and_still_confirms_what_it_accepted():
    _, target, id, offer = hand_off()
    target.receive(offer)
    assert sent_messages(target.receive(messages.Offer((3, 9), UNSAFE, 500_000), draining=True)) == [
        messages.Returned((3, 9))
    ]
    assert sent_messages(target.receive(offer, draining=True)) == [messages.Accepted(id)]


def test_an_offer_without_time_left_is_returned():
    assert sent_messages(HandoffTarget("a").receive(messages.Offer((1, 1), UNSAFE, 0))) == [
        messages.Returned((1, 1))
    ]


def test_a_message_of_a_site_that_was_not_offered_the_task_is_ignored():
    source, _, id, _ = hand_off(to="b")
    assert source.receive("c", messages.Returned(id)) == []
    assert source.transfers[id].phase is OutgoingPhase.OFFERED


def test_a_return_of_a_task_that_was_placed_is_ignored():
    source, _, id, _ = hand_off()
    source.receive("b", messages.Placed(id, "d"))
    assert source.receive("b", messages.Returned(id)) == []
    assert source.transfers[id].phase is OutgoingPhase.PLACED


def test_the_low_watermark_forgets_closed_transfers_and_withdraws_open_ones():
    _, target, id, offer = hand_off()
    target.receive(offer)
    target.placed(id, "d")
    effects = target.receive(messages.LowWatermark((3, 2)))
    assert handoff_target.ReleaseTask("a", id, handoff_target.CALLED_OFF) in effects
    target.ended(id, 31)
    target.receive(messages.Close(id))
    assert not target.transfers and not target.tombstones
    assert target.receive(offer) == []  # a late copy of the offer


def test_forgetting_a_site_ends_its_transfers_and_frees_their_keys():
    source, _, id, _ = hand_off()
    with pytest.raises(TaskBusyError):
        source.reserve_key(UNSAFE)
    assert handoff_source.AnswerOwner(id, "failed") in source.forget_site("b")
    source.reserve_key(UNSAFE)
    with pytest.raises(TaskBusyError, match="in progress here"):
        source.offer("b", UNSAFE, 1)


def test_snapshot_records_rebuild_the_same_state_and_a_record_of_unknown_kind_is_an_error():
    source, target, id, offer = hand_off()
    source.receive("b", messages.Placed(id, "d"))
    source.released(id, 16)
    other, _ = source.offer("b", work(key=8), 1)
    rebuilt_source = HandoffSource(0)
    for record in source.snapshot_records():
        rebuilt_source.apply(record)
    assert (
        rebuilt_source.transfers == source.transfers
        and rebuilt_source.remote_keys == source.remote_keys
        and rebuilt_source.low_watermark == source.low_watermark
    )
    target.receive(offer)
    target.placed(id, "d")
    target.receive(messages.Withdraw(other))
    target.receive(messages.Withdraw((3, 7)))
    target.receive(messages.Close((3, 7)))
    rebuilt_target = HandoffTarget("a")
    for record in target.snapshot_records():
        rebuilt_target.apply(record)
    assert (rebuilt_target.transfers, rebuilt_target.tombstones, rebuilt_target.low_watermark) == (
        target.transfers,
        target.tombstones,
        target.low_watermark,
    )
    for side in (source, target):
        with pytest.raises(ValueError, match="can't be read"):
            side.apply(("nonsense", id))


def test_too_many_transfers_after_an_open_one_are_an_error():
    source, _, _, _ = hand_off()
    with mock.patch.object(handoff_source, "MAX_ID_SPAN", 5):
        for n in range(100, 104):
            source.offer("b", work(key=n), 1)
        with pytest.raises(TaskBusyError, match="still open"):
            source.offer("b", work(key=200), 1)
