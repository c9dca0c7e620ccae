"""Tests the codec against the byte examples of the protocol page, and its errors on malformed frames."""

import io
import struct

import pytest

from weldhatch.config import settings_from_text
from weldhatch.scheduling.actions import (
    Cancel,
    Fail,
    FetchList,
    Log,
    Migrate,
    Offer,
    Probe,
    Reject,
    SetTimer,
    Subscribe,
)
from weldhatch.scheduling.events import AttemptEnded, Note, RequestAbandoned, RequestArrived, TimerFired
from weldhatch.scheduling.types import Effect, ListForm, MachineKind, Outcome, Scope
from weldhatch.simulator_link import adapter, codec

SETTINGS = b"""classes.count=1
classes.0.aimUs=600000
classes.0.hardLimitUs=8000000
classes.0.effect=idempotency_key
classes.0.group=cell
classes.0.dedupWindowUs=8000000
extra.sizeCores=39,61
extra.memOfKind=140.0,179.0
extra.listsFree=true
extra.spreadOver=cell
extra.spreadMost=3
extra.measuredBy=used
kinds=node-std,node-big
limits.mostTries=3
limits.probes=true
registryMode=automatic
stats.fields=x0,x1,cpu
stats.how=pull
some.new.key=ignored
"""


def record(text, size):
    data = bytes.fromhex(text.replace(" ", ""))
    return data + bytes(size - len(data))


def event(text):
    return record(text, 56)


SWITCH_TO = event("50 0003")
TO_PLACE = event(
    "32 5d3a91c4 0000 0000 91f03b7c55d20a64 00000000008405da 00002ee0 2b8e6401d9f37c10"
    "40000000 3fc00000 0001"
)
SPAWN = struct.pack(">BQII", 100, 5, 0, len(SETTINGS)).ljust(56, b"\0")


def decode(*records, tail=b""):
    return list(codec.Decoder().events(b"".join(records) + tail, len(records)))


def test_a_to_place_record_decodes_to_a_request():
    assert decode(SWITCH_TO, TO_PLACE) == [
        (
            3,
            RequestArrived(
                0x5D3A91C4, 0, 0x8405DA, 0x2B8E6401D9F37C10, 2.0, 1.5, 0x91F03B7C55D20A64, 0, 12000, False
            ),
        )
    ]


def test_a_resident_record_decodes_to_a_task_with_its_machine():
    resident = event(
        "28 0e6f2b19 0000 0000 91f03b7c55d20a64 00000000008405da 00002ee0 2b8e6401d9f37c10"
        "40000000 3fc00000 0001 0a9011f2 1fbc"
    )
    [(_, task)] = decode(SWITCH_TO, resident)
    assert (task.request, task.machine, task.memory) == (0x0E6F2B19, 0x0A9011F21FBC, 1.5)


def test_timer_abandoned_and_change_records_decode_to_events():
    events = decode(
        SWITCH_TO,
        event("82 0000004d"),
        event("50 0005"),
        event("3c 0e6f2b19"),
        event("1e 5d3a91c4 0a124a07 1f93 01 0000 3f000000"),
    )
    assert events == [
        (3, TimerFired(0x4D)),
        (5, RequestAbandoned(0x0E6F2B19)),
        (5, Note(0x5D3A91C4, 0, 0x0A124A071F93, 1, 0.5)),
    ]


def test_a_report_back_record_decodes_to_the_end_of_an_attempt():
    [(_, ended)] = decode(SWITCH_TO, event("8c 5d3a91c4 00004844 00000000 0000 00 0a124a07 1f93 01 00"))
    assert ended == AttemptEnded(0x5D3A91C4, 0, 0x0A124A071F93, Outcome.OK, 0x4844, 0, True, ())


def test_a_registered_list_of_hosts_decodes_to_machines():
    entries = record(
        "0a124a07 1f93 00 40600000 0000 0000 41400000 01 3f800000 0000000000000000", 32
    ) + record("0a9011f2 1fbc 00 40900000 0000 0000 41400000 01 3fc00000 00000000005d1420", 32)
    records = (
        SWITCH_TO,
        SPAWN,
        event(f"78 0000 {len(SETTINGS):08x} 00000002"),
        event(f"46 02 0000 {41:016x}"),
    )
    [_, (instance, changed)] = decode(*records, tail=SETTINGS + entries)
    assert (instance, changed.form, changed.version) == (3, ListForm.CACHED, 41)
    assert [m.id for m in changed.machines] == [0x0A124A071F93, 0x0A9011F21FBC]
    assert (changed.machines[0].free_cores, changed.machines[0].free_memory) == (3.5, 12.0)
    assert changed.machines[1].born_us == 0x5D1420


def test_a_reply_frame_holds_the_actions_of_each_instance_and_a_tail():
    frame = codec.encode_reply(
        [
            (3, [Offer(0x5D3A91C4, 0x0A124A071F93, 80000), SetTimer(500000, 0x4D)]),
            (4, []),
            (5, [Log("x")]),
        ]
    )
    count, length = struct.unpack(">II", frame[:8])
    assert (count, length) == (5, 5 * 16 + 1)
    assert frame[8:24] == record("46 0003", 16)
    assert frame[24:40] == record("3c 5d3a91c4 0a124a07 1f93 00013880", 16)
    assert frame[40:56] == record("64 0007a120 0000004d", 16)
    assert frame[72:88] == record("6e 00000000 00000001", 16)
    assert frame[88:] == b"x"


@pytest.mark.parametrize(
    "action, text",
    [
        (Cancel(7, 1), "1e 00000007 0001"),
        (Reject(7, 9), "50 00000007 00000009"),
        (Fail(7), "78 00000007"),
        (Migrate(7), "0a 00000007"),
        (Probe(0x0A124A071F93), "5a 0a124a07 1f93"),
        (Subscribe(True), "28 01"),
        (Subscribe(False), "28 00"),
        (FetchList(), "32"),
    ],
)
def test_each_action_encodes_to_its_record(action, text):
    assert codec.encode_reply([(1, [action])])[24:] == record(text, 16)


@pytest.mark.parametrize(
    "records, count, fault",
    [
        ((SWITCH_TO,), 2, "do not fit"),
        ((SWITCH_TO, event("ff")), 2, "record 1: unknown event code 255"),
        ((TO_PLACE,), 1, "record 0: event code 50 before any switch_to"),
        ((event("78 0000 00000000 00000002"),), 1, "record 0: offset 0 with 64 bytes is outside the tail"),
        ((SWITCH_TO, event("46 00 0007 0000000000000001")), 2, "record 1: list number 7 was never defined"),
        (
            (SWITCH_TO, event("8c 5d3a91c4 00004844 00000000 0000 09 0a124a07 1f93")),
            2,
            "record 1: unknown outcome 9",
        ),
    ],
)
def test_a_malformed_batch_is_answered_with_its_record_and_fault(records, count, fault, capfd):
    body = b"".join(records)
    source = io.BytesIO(codec.BATCH_HEADER.pack(1, len(body), count) + body)
    sink = io.BytesIO()
    assert adapter.serve(source, sink) == 1
    frame = sink.getvalue()
    assert frame[8] == 20 and fault in frame[24:].decode()
    err = capfd.readouterr().err
    assert fault in err and err.count("\n") == 1


def test_the_settings_of_an_instance_are_parsed():
    settings = settings_from_text(SETTINGS)
    assert settings.classes[0].effect is Effect.KEYED and settings.classes[0].group is Scope.CELL
    assert settings.kinds[1] == MachineKind("node-big", 61.0, 179.0)
    assert settings.classes[0].spread_most == 3 and not settings.reports_asked
    assert settings.may_cancel is False and settings.tenants == ()


@pytest.mark.parametrize(
    "line, key",
    [
        (b"limits.mostTries=3\n", "limits.mostTries"),
        (b"classes.count=1\n", "classes.count"),
        (b"classes.0.effect=idempotency_key\n", "classes.0.effect"),
        (b"registryMode=automatic\n", "registryMode"),
    ],
)
def test_an_error_names_the_missing_required_key(line, key):
    with pytest.raises(ValueError, match=key):
        settings_from_text(SETTINGS.replace(line, b""))


@pytest.mark.parametrize(
    "old, new, key",
    [
        (b"limits.mostTries=3", b"limits.mostTries=many", "limits.mostTries"),
        (b"effect=idempotency_key", b"effect=odd", "classes.0.effect"),
        (b"sizeCores=39,61", b"sizeCores=39", "extra.sizeCores"),
        (b"sizeCores=39,61", b"sizeCores=39,nan", "extra.sizeCores"),
    ],
)
def test_an_error_names_the_key_of_an_invalid_value(old, new, key):
    with pytest.raises(ValueError, match=key):
        settings_from_text(SETTINGS.replace(old, new))


def test_input_that_ends_between_frames_ends_the_session_normally():
    sink = io.BytesIO()
    assert adapter.serve(io.BytesIO(codec.BATCH_HEADER.pack(1, 0, 0)), sink) == 0
    assert sink.getvalue() == bytes(8)


@pytest.mark.parametrize("data", [b"\0" * 7, codec.BATCH_HEADER.pack(1, 56, 1) + b"\0" * 20])
def test_input_that_ends_inside_a_frame_ends_the_session_with_an_error(data, capfd):
    assert adapter.serve(io.BytesIO(data), io.BytesIO()) == 1
    assert capfd.readouterr().err.count("\n") == 1


def test_an_exception_of_the_policy_is_reported_and_ends_the_session(monkeypatch, capfd):
    def failing_handle(self, now, events):
        raise RuntimeError("boom")

    monkeypatch.setattr(adapter.Policy, "handle", failing_handle)
    body = SWITCH_TO + SPAWN + SETTINGS
    sink = io.BytesIO()
    assert adapter.serve(io.BytesIO(codec.BATCH_HEADER.pack(1, len(body), 2) + body), sink) == 1
    assert sink.getvalue()[8] == 20 and b"RuntimeError: boom" in sink.getvalue()
    assert "Traceback" in capfd.readouterr().err
