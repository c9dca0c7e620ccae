"""The simulator's wire as recorded: all kinds of records both ways, malformed ones, and whole sessions."""

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
from weldhatch.config import settings_of_text
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


def record(code, body=b""):
    return (bytes([code]) + body).ljust(EVENT_SIZE, b"\0")


def switch(instance):
    return record(SWITCH, struct.pack(">xH", instance)[1:])


def entry(random, state=1):
    """One entry of a list, of made-up values."""
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
    """Bodies of batches by name: (body, count of records)."""
    random = Random(11)
    start = switch(3) + record(SPAWN, struct.pack(">QII", 77, 0, len(SETTINGS)))
    found = {}
    for code in CODES:
        for number in range(8):
            noise = random.randbytes(EVENT_SIZE - 1)
            if code in (HEALTH, ENDED) and number < 5:  # mostly with an outcome that there is
                at = 0 if code == HEALTH else 14
                noise = noise[:at] + bytes([number]) + noise[at + 1 :]
                size = 11 if code == HEALTH else 22
                noise = noise[:size] + bytes([number % 5]) + noise[size + 1 :]
            found[f"event {code} noise {number}"] = (start + record(code, noise) + SETTINGS, 3)
    for form in range(5):
        for named in (0, 1):
            list_record = record(REGISTER, struct.pack(">HII", 0, len(SETTINGS), 3))
            changed = record(LISTED, struct.pack(">BHQ", form, named, 41 + form))
            entries = b"".join(entry(random, state) for state in range(3))
            body = start + list_record + changed + SETTINGS + entries
            found[f"list form {form} name {named}"] = (body, 4)
    entries = entry(random, state=3)
    body = start + record(REGISTER, struct.pack(">HII", 2, len(SETTINGS), 1))
    body += record(LISTED, struct.pack(">BHQ", 1, 2, 1)) + SETTINGS + entries
    found["state of a host unknown"] = (body, 4)
    found["list number over 15"] = (switch(1) + record(REGISTER, struct.pack(">HII", 16, 0, 0)), 2)
    found["list outside the tail"] = (switch(1) + record(REGISTER, struct.pack(">HII", 1, 5, 2)), 2)
    found["settings outside the tail"] = (switch(1) + record(SPAWN, struct.pack(">QII", 1, 0, 9)), 2)
    found["no switch"] = (record(TIMER, bytes(4)), 1)
    found["unknown code"] = (switch(1) + record(255), 2)
    found["more records than bytes"] = (switch(1), 2)
    found["nothing"] = (b"", 0)
    for name, text in (
        ("no sign", b"abc"),
        ("not utf-8", b"\xff=1"),
        ("empty", b""),
        ("missing key", SETTINGS.replace(b"limits.mostTries=3\n", b"")),
        ("odd value", SETTINGS.replace(b"=3", b"=three")),
    ):
        body = switch(1) + record(SPAWN, struct.pack(">QII", 1, 0, len(text))) + text
        found[f"settings {name}"] = (body, 2)
    return found


def read(body, count):
    """What a decoder yields for a batch, written out, and the fault that ends it.

    The settings of an instance that starts are pinned once, by `settings` below.
    """
    found = []
    try:
        for instance, event in codec.Decoder().events(body, count):
            if isinstance(event, codec.Spawn):
                found.append(f"{instance} {pins.recorded_class(event)} {event.seed}")
                continue
            found += [f"{instance} {line}" for line in pins.lines(event)]
    except codec.WireError as error:
        found.append(f"fault at {error.record}: {error}")
    return found


def session(*frames):
    """The bytes answered to frames, the exit code and what was printed."""
    sink, printed = io.BytesIO(), io.StringIO()
    with contextlib.redirect_stderr(printed):
        code = adapter.serve(io.BytesIO(b"".join(frames)), sink)
    return {"answered": sink.getvalue().hex(), "code": code, "printed": printed.getvalue()}


def frame(now, body, count):
    return struct.pack(">QII", now, len(body), count) + body


def new_offers(frames):
    """The offers in the answer to the last of the frames: by instance, the request and its machine."""
    last = session(*frames)["answered"]
    before = session(*frames[:-1])["answered"]
    answer = bytes.fromhex(last[len(before) :])
    found, instance = {}, None
    for number in range(struct.unpack_from(">I", answer)[0]):
        at = 8 + 16 * number
        if answer[at] == 70:
            (instance,) = struct.unpack_from(">H", answer, at + 1)
        elif answer[at] == 60:
            request, address, port = struct.unpack_from(">IIH", answer, at + 1)
            found.setdefault(instance, []).append((request, (address, port)))
    return found


def sessions():
    """Whole sessions: two instances that start, get lists and work; and inputs that end them."""
    random = Random(5)
    hosts = b"".join(entry(random) for _ in range(6))
    start = b"".join(switch(n) + record(SPAWN, struct.pack(">QII", n, 0, len(SETTINGS))) for n in (1, 2))
    lists = record(REGISTER, struct.pack(">HII", 4, len(SETTINGS), 6))
    lists += b"".join(switch(n) + record(LISTED, struct.pack(">BHQ", 1, 4, 9)) for n in (1, 2))
    opening = frame(1_000_000, start + lists + SETTINGS + hosts, 9)
    work = [opening]
    for step in range(40):
        offers = new_offers(work)
        body, count = b"", 0
        for instance in (1, 2):
            task = (step, step % 2, 0, step, 9_000_000, 500, step % 5, 1.0, 2.0, step % 32)
            records = [
                record(TO_PLACE, struct.pack(">IHHQQIQffH", *task)),
                record(TIMER, struct.pack(">I", step)),
            ]
            address, port = struct.unpack_from(">IH", hosts, ENTRY_SIZE * random.randrange(6))
            values = (9.0, random.randrange(90) / 2, 0.5, 0.0)
            records.append(record(HEALTH, struct.pack(">BIIHBffff", 0, 500, address, port, 3, *values)))
            for request, machine in offers.get(instance, ()):
                if request % 3:
                    admitted = struct.pack(">IHIHI", request, 0, *machine, 900)
                    records.append(record(ADMITTED, admitted))
                else:
                    ended = struct.pack(">IIIHBIHBBffff", request, 5, 1, 0, 2, *machine, 0, 3, *values)
                    records.append(record(ENDED, ended))
            body += switch(instance) + b"".join(records)
            count += 1 + len(records)
        work.append(frame(1_050_000 + step * 30_000, body, count))
    retire = frame(3_000_000, switch(1) + record(RETIRE) + switch(2) + record(TIMER, bytes(4)), 4)
    return {
        "work": (*work, retire),
        "an event after the retirement": (
            opening,
            retire,
            frame(3_000_001, switch(1) + record(TIMER, bytes(4)), 2),
        ),
        "nothing": (),
        "empty batch": (frame(1, b"", 0),),
        "end inside a header": (frame(1, b"", 0), bytes(7)),
        "end inside a batch": (frame(1, bytes(EVENT_SIZE), 1)[:-3],),
        "malformed": (frame(1, switch(1) + record(255), 2),),
    }


def observed():
    """All that this file pins."""
    return {
        "settings": pins.lines(settings_of_text(SETTINGS)),
        "read": {name: read(*batch) for name, batch in batches().items()},
        "written": {name: codec.encode_reply([(9, [action])]).hex() for name, action in ACTIONS.items()},
        "together": codec.encode_reply([(3, list(ACTIONS.values())), (4, []), (5, [Log("x")])]).hex(),
        "fault": codec.encode_fault("a plain fault").hex(),
        "sessions": {name: session(*frames) for name, frames in sessions().items()},
    }


def test_every_record_is_read_as_recorded():
    expected, found = pins.load(RECORD), observed()
    assert found["settings"] == expected["settings"]
    expected, found = expected["read"], found["read"]
    assert found.keys() == expected.keys()
    for name, lines in found.items():
        assert lines == expected[name], name


def test_every_action_is_written_as_recorded():
    expected, found = pins.load(RECORD), observed()
    assert found["written"] == expected["written"]
    assert (found["together"], found["fault"]) == (expected["together"], expected["fault"])


def test_whole_sessions_are_answered_as_recorded():
    expected = pins.load(RECORD)["sessions"]
    found = observed()["sessions"]
    assert found.keys() == expected.keys()
    for name, answer in found.items():
        assert answer == expected[name], name


if __name__ == "__main__":
    pins.save(RECORD, observed())
