"""Compares the simulator's wire protocol with recorded results: records in both directions, and sessions.

Records of every kind are included, malformed ones too.
"""

from __future__ import annotations

import contextlib
import io
import struct
from random import Random

import pins

from weldhatch import (
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
from weldhatch.config import settings_from_text
from weldhatch.simulator_link import adapter, codec

RECORD = "pins_wire.json"
EVENT_SIZE, ENTRY_SIZE = 56, 32
HEALTH, CHANGE, RESIDENT, TO_PLACE, GONE, LISTED, SWITCH = 20, 30, 40, 50, 60, 70, 80
ADMITTED, SPAWN, RETIRE, REGISTER, TIMER, ENDED, PEER = 90, 100, 110, 120, 130, 140, 10
CODES = (
    PEER,
    HEALTH,
    CHANGE,
    RESIDENT,
    TO_PLACE,
    GONE,
    LISTED,
    ADMITTED,
    SPAWN,
    RETIRE,
    REGISTER,
    TIMER,
    ENDED,
)

SETTINGS = b"""classes.count=2
classes.0.name=look
classes.0.aimUs=600000
classes.0.hardLimitUs=8000000
classes.0.effect=idempotency_key
classes.0.group=cell
classes.0.dedupWindowUs=8000000
classes.1.aimUs=300000
classes.1.hardLimitUs=2000000
classes.1.effect=non_idempotent
extra.sizeCores=39,61
extra.memOfKind=140.0,179.0
extra.listsFree=true
kinds=node-std,node-big
limits.mostTries=3
limits.probes=true
limits.mayCancel=true
registryMode=subscribe
stats.fields=x0,x1,cpu
stats.how=pull
"""

ACTIONS = {
    "offer": Offer(0x5D3A91C4, 0x0A124A071F93, 80_000, 99),
    "offer without limits": Offer(1, 2),
    "cancel": Cancel(0xFFFFFFFF, 0xFFFF),
    "refuse": Reject(7, 123_456),
    "fail": Fail(0x01020304),
    "move": Migrate(0xA0B0C0D0),
    "probe": Probe(0xFFEEDDCCBBAA),
    "set timer": SetTimer(4_200_000_000, 0x4D),
    "subscribe": Subscribe(True),
    "unsubscribe": Subscribe(False),
    "fetch list": FetchList(),
    "log": Log("machine 7 is silent: \u00e6\u00f8\u00e5"),
    "empty log": Log(""),
}


def make_record(code, body=b""):
    return (bytes([code]) + body).ljust(EVENT_SIZE, b"\0")


def make_switch(instance):
    return make_record(SWITCH, struct.pack(">xH", instance)[1:])


def make_entry(random, state=1):
    """Return one entry of a list, with random values."""
    return struct.pack(
        ">IHBfHHfBfQ",
        random.getrandbits(32),
        random.getrandbits(16),
        random.randrange(3),
        random.randrange(64) / 4,
        random.randrange(3),
        random.randrange(40),
        random.randrange(200) / 2,
        state,
        random.randrange(8) / 4,
        random.choice((0, random.getrandbits(40))),
    )


def batches():
    """Return batches by name, as pairs of body and number of records."""
    random = Random(11)
    start_records = make_switch(3) + make_record(SPAWN, struct.pack(">QII", 77, 0, len(SETTINGS)))
    cases = {}
    for code in CODES:
        for number in range(8):
            random_body = random.randbytes(EVENT_SIZE - 1)
            if (
                code in (HEALTH, ENDED) and number < 5
            ):  # for most of these, write a valid outcome into the random bytes
                offset = 0 if code == HEALTH else 14
                random_body = random_body[:offset] + bytes([number]) + random_body[offset + 1 :]
                size = 11 if code == HEALTH else 22
                random_body = random_body[:size] + bytes([number % 5]) + random_body[size + 1 :]
            cases[f"event {code} noise {number}"] = (
                start_records + make_record(code, random_body) + SETTINGS,
                3,
            )
    for form in range(5):
        for named in (0, 1):
            list_record = make_record(REGISTER, struct.pack(">HII", 0, len(SETTINGS), 3))
            changed = make_record(LISTED, struct.pack(">BHQ", form, named, 41 + form))
            entries = b"".join(make_entry(random, state) for state in range(3))
            body = start_records + list_record + changed + SETTINGS + entries
            cases[f"list form {form} name {named}"] = (body, 4)
    entries = make_entry(random, state=3)
    body = start_records + make_record(REGISTER, struct.pack(">HII", 2, len(SETTINGS), 1))
    body += make_record(LISTED, struct.pack(">BHQ", 1, 2, 1)) + SETTINGS + entries
    cases["state of a host unknown"] = (body, 4)
    cases["list number over 15"] = (
        make_switch(1) + make_record(REGISTER, struct.pack(">HII", 16, 0, 0)),
        2,
    )
    cases["list outside the tail"] = (
        make_switch(1) + make_record(REGISTER, struct.pack(">HII", 1, 5, 2)),
        2,
    )
    cases["settings outside the tail"] = (
        make_switch(1) + make_record(SPAWN, struct.pack(">QII", 1, 0, 9)),
        2,
    )
    cases["no switch"] = (make_record(TIMER, bytes(4)), 1)
    cases["unknown code"] = (make_switch(1) + make_record(255), 2)
    cases["more records than bytes"] = (make_switch(1), 2)
    cases["nothing"] = (b"", 0)
    for name, text in (
        ("no sign", b"abc"),
        ("not utf-8", b"\xff=1"),
        ("empty", b""),
        ("missing key", SETTINGS.replace(b"limits.mostTries=3\n", b"")),
        ("odd value", SETTINGS.replace(b"=3", b"=three")),
    ):
        body = make_switch(1) + make_record(SPAWN, struct.pack(">QII", 1, 0, len(text))) + text
        cases[f"settings {name}"] = (body, 2)
    return cases


def decode_batch(body, count):
    """Return the events that a decoder yields for a batch, as text, and the error that ends it, if any.

    The settings in a spawn record are left out: `record_all` has them once, under `settings`.
    """
    lines = []
    try:
        for instance, event in codec.Decoder().events(body, count):
            if isinstance(event, codec.Spawn):
                lines.append(f"{instance} {pins.recorded_class(event)} {event.seed}")
                continue
            lines += [f"{instance} {line}" for line in pins.lines(event)]
    except codec.WireError as error:
        lines.append(f"fault at {error.record}: {error}")
    return lines


def run_session(*frames):
    """Run a session on frames; return the bytes answered, the exit code and the text printed."""
    sink, printed = io.BytesIO(), io.StringIO()
    with contextlib.redirect_stderr(printed):
        code = adapter.serve(io.BytesIO(b"".join(frames)), sink)
    return {"answered": sink.getvalue().hex(), "code": code, "printed": printed.getvalue()}


def make_frame(now, body, count):
    return struct.pack(">QII", now, len(body), count) + body


def new_offers(frames):
    """Return the offers in the answer to the last frame: by instance, pairs of request and machine."""
    last = run_session(*frames)["answered"]
    before = run_session(*frames[:-1])["answered"]
    answer = bytes.fromhex(last[len(before) :])
    offers, instance = {}, None
    for number in range(struct.unpack_from(">I", answer)[0]):
        offset = 8 + 16 * number
        if answer[offset] == 70:
            (instance,) = struct.unpack_from(">H", answer, offset + 1)
        elif answer[offset] == 60:
            request, address, port = struct.unpack_from(">IIH", answer, offset + 1)
            offers.setdefault(instance, []).append((request, (address, port)))
    return offers


def sessions():
    """Return sessions by name, as frames: two instances that place tasks, and several endings."""
    random = Random(5)
    hosts = b"".join(make_entry(random) for _ in range(6))
    start_records = b"".join(
        make_switch(n) + make_record(SPAWN, struct.pack(">QII", n, 0, len(SETTINGS))) for n in (1, 2)
    )
    list_records = make_record(REGISTER, struct.pack(">HII", 4, len(SETTINGS), 6))
    list_records += b"".join(
        make_switch(n) + make_record(LISTED, struct.pack(">BHQ", 1, 4, 9)) for n in (1, 2)
    )
    opening = make_frame(1_000_000, start_records + list_records + SETTINGS + hosts, 9)
    work = [opening]
    for step in range(40):
        offers = new_offers(work)
        body, count = b"", 0
        for instance in (1, 2):
            task = (step, step % 2, 0, step, 9_000_000, 500, step % 5, 1.0, 2.0, step % 32)
            records = [
                make_record(TO_PLACE, struct.pack(">IHHQQIQffH", *task)),
                make_record(TIMER, struct.pack(">I", step)),
            ]
            address, port = struct.unpack_from(">IH", hosts, ENTRY_SIZE * random.randrange(6))
            values = (9.0, random.randrange(90) / 2, 0.5, 0.0)
            records.append(make_record(HEALTH, struct.pack(">BIIHBffff", 0, 500, address, port, 3, *values)))
            for request, machine in offers.get(instance, ()):
                if request % 3:
                    admitted = struct.pack(">IHIHI", request, 0, *machine, 900)
                    records.append(make_record(ADMITTED, admitted))
                else:
                    ended = struct.pack(">IIIHBIHBBffff", request, 5, 1, 0, 2, *machine, 0, 3, *values)
                    records.append(make_record(ENDED, ended))
            body += make_switch(instance) + b"".join(records)
            count += 1 + len(records)
        work.append(make_frame(1_050_000 + step * 30_000, body, count))
    retire = make_frame(
        3_000_000, make_switch(1) + make_record(RETIRE) + make_switch(2) + make_record(TIMER, bytes(4)), 4
    )
    return {
        "work": (*work, retire),
        "an event after the retirement": (
            opening,
            retire,
            make_frame(3_000_001, make_switch(1) + make_record(TIMER, bytes(4)), 2),
        ),
        "nothing": (),
        "empty batch": (make_frame(1, b"", 0),),
        "end inside a header": (make_frame(1, b"", 0), bytes(7)),
        "end inside a batch": (make_frame(1, bytes(EVENT_SIZE), 1)[:-3],),
        "malformed": (make_frame(1, make_switch(1) + make_record(255), 2),),
    }


def record_all():
    """Return all results that this file compares with its record."""
    return {
        "settings": pins.lines(settings_from_text(SETTINGS)),
        "read": {name: decode_batch(*batch) for name, batch in batches().items()},
        "written": {name: codec.encode_reply([(9, [action])]).hex() for name, action in ACTIONS.items()},
        "together": codec.encode_reply([(3, list(ACTIONS.values())), (4, []), (5, [Log("x")])]).hex(),
        "fault": codec.encode_fault("a plain fault").hex(),
        "sessions": {name: run_session(*frames) for name, frames in sessions().items()},
    }


def test_every_record_is_read_as_recorded():
    expected, results = pins.load(RECORD), record_all()
    assert results["settings"] == expected["settings"]
    expected, results = expected["read"], results["read"]
    assert results.keys() == expected.keys()
    for name, lines in results.items():
        assert lines == expected[name], name


def test_every_action_is_written_as_recorded():
    expected, results = pins.load(RECORD), record_all()
    assert results["written"] == expected["written"]
    assert (results["together"], results["fault"]) == (expected["together"], expected["fault"])


def test_complete_sessions_are_answered_as_recorded():
    expected = pins.load(RECORD)["sessions"]
    results = record_all()["sessions"]
    assert results.keys() == expected.keys()
    for name, answer in results.items():
        assert answer == expected[name], name


if __name__ == "__main__":
    pins.save(RECORD, record_all())
