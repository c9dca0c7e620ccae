"""The checks of docs/pullqueue.md, sentences 1 to 3: the connection, sessions and leases."""

from __future__ import annotations

import asyncio
import json
import time

from weldhatch.client import ApiError
from weldhatch.conform.suite import Bench, ask, expect, holds


@holds("1.1")
async def pipelined_requests_are_answered_in_order(b: Bench) -> None:
    """Send three requests at once and expect their answers in order."""
    codes = [
        code
        for code, *_ in await b.raw(ask("GET", "tasks/x") + ask("GET", "operations") + ask("PUT", "tasks"), 3)
    ]
    expect(codes == [404, 200, 405], codes)


@holds("1.2")
async def bodies_come_in_chunks_too(b: Bench) -> None:
    """Open a session with a chunked body."""
    body = json.dumps({"botId": b.bot, "worker": b.worker()}).encode()
    parts = b"".join(f"{len(part):x}\r\n".encode() + part + b"\r\n" for part in (body[:5], body[5:]))
    [(code, _, said)] = await b.raw(
        ask("POST", "botSessions", parts + b"0\r\n\r\n", "Transfer-Encoding: chunked")
    )
    expect(code == 200, said)
    b.session = json.loads(said)["name"]


@holds("1.3")
async def limits_are_told_in_the_answer(b: Bench) -> None:
    """Exceed the limits of body, header and pipelined requests: 413, 431 and 429."""
    for data, code in (
        (ask("POST", "tasks", b"", "Content-Length: 999999"), 413),
        (ask("GET", "tasks", b"", f"X: {'y' * 9000}"), 431),
        (ask("GET", "tasks", b"", *["X: y"] * 70), 431),
    ):
        data = data.replace(b"Content-Length: 0\r\n", b"") if code == 413 else data
        [(received, headers, _)] = await b.raw(data)
        expect((received, headers.get("connection")) == (code, "close"), (received, headers))
    waiting = ask("POST", "tasks", json.dumps(b.task()).encode())
    answers = await b.raw(waiting + ask("GET", "tasks/x") * 30, 18, until=429)
    expect(429 in [code for code, *_ in answers], [code for code, *_ in answers])


@holds("1.4")
async def who_expects_100_is_told_to_go_on(b: Bench) -> None:
    """Send the body only after `100 Continue`."""
    body = b"{}"
    head = ask("POST", "botSessions", body, "Expect: 100-continue")[: -len(body)]
    codes = [code for code, *_ in await b.raw(head, 2, body)]
    expect(codes == [100, 400], codes)


@holds("1.5")
async def close_ends_the_connection(b: Bench) -> None:
    """Ask for `Connection: close` and expect the end of the connection."""
    [(code, headers, _)] = await b.raw(ask("GET", "operations", b"", "Connection: close"))
    expect((code, headers.get("connection")) == (200, "close"), headers)


@holds("1.6")
async def faults_are_a_status_with_the_field(b: Bench) -> None:
    """Send bad requests and expect google.rpc.Status with the field at fault."""
    for path, body, field in (
        ("tasks", [], "body"),
        ("tasks", b.task("none"), "class"),
        ("tasks", b.task(left="x"), "left"),
        ("tasks", b.task(requirements=5), "requirements"),
        ("botSessions", {}, "botId"),
        ("operations:batchSubmit", {}, "requests"),
    ):
        await b.fault(400, field, "POST", path, body)


@holds("1.7")
async def what_is_not_known_says_so(b: Bench) -> None:
    """Expect 404 for an unknown path and 405 for an unknown method."""
    await b.fault(404, "path", "GET", "what")
    await b.fault(405, "method", "PUT", "botSessions")


@holds("2.1")
async def a_session_has_its_fields(b: Bench) -> None:
    """Open a session and check name, machine, status, leases and expiry."""
    said = await b.open()
    expect(said["botId"] == b.bot and said["leases"] == [] and said["status"] == "OK", said)
    expect(said["name"].startswith("botSessions/") and said["expireTime"].endswith("Z"), said)


@holds("2.2")
async def a_machine_says_what_it_is(b: Bench) -> None:
    """Leave out each property that placing needs: 400."""
    for missing in ("cores", "memory", "hall", "rack"):
        worker = b.worker()
        worker["properties"] = [pair for pair in worker["properties"] if pair["key"] != missing]
        await b.fault(
            400, f"worker.properties.{missing}", "POST", "botSessions", {"botId": b.bot, "worker": worker}
        )


@holds("2.3")
async def an_update_waits_for_work_as_long_as_it_is_told(b: Bench) -> None:
    """Expect an update to wait for X-Server-Timeout, and not at all without it."""
    await b.open()
    begun = time.monotonic()
    await b.update(wait_s=0.3)
    expect(0.2 < time.monotonic() - begun < 5, time.monotonic() - begun)
    begun = time.monotonic()
    await b.update()
    expect(time.monotonic() - begun < 0.3, "an update without a time waits")


@holds("2.4")
async def a_later_update_ends_the_earlier(b: Bench) -> None:
    """Make two updates at once: the earlier one is aborted (409)."""
    await b.open()
    earlier = b.later(b.update(wait_s=1.0))
    await asyncio.sleep(0.2)
    await b.update()
    try:
        await earlier
    except ApiError as fault:
        expect(fault.code == 409, fault)
    else:
        raise AssertionError("both updates were answered")


@holds("2.5")
async def only_ok_gets_work(b: Bench) -> None:
    """Update with every status but OK, and expect no leases."""
    await b.open()
    for status in ("INITIALIZING", "UNHEALTHY", "HOST_REBOOTING", "BOT_TERMINATING", "MAINTENANCE"):
        answer = b.later(b.submit(b.task(left=300)))
        while not answer.done():
            said = await b.update(status=status)
            expect(said["leases"] == [], (status, said))
            await asyncio.sleep(0.05)
    await b.fault(400, "status", "PATCH", b.session, {"status": "FINE"})


@holds("2.6")
async def stale_sessions_are_unknown(b: Bench) -> None:
    """Expect 404 for a session that was replaced or never opened."""
    old = (await b.open())["name"]
    await b.open()
    await b.fault(404, "name", "PATCH", old, {})
    await b.fault(404, "name", "PATCH", "botSessions/none", {})


@holds("2.8")
async def only_masked_fields_count(b: Bench) -> None:
    """Update with a field mask: fields outside of it have no effect."""
    lease, _ = await b.standing()
    session = b.session
    b.session = f"{session}?updateMask=status"
    said = await b.update((lease, "COMPLETED"))
    b.session = session
    said = await b.update((lease, "ACTIVE"))
    expect([one["state"] for one in said["leases"]] == ["ACTIVE"], said)
    await b.fault(400, "updateMask", "PATCH", f"{session}?updateMask=colour", {})
    await b.update((lease, "COMPLETED"))


@holds("2.9")
async def a_worker_may_grow_and_not_move(b: Bench) -> None:
    """Expect a worker to gain devices, but not to change its properties."""
    await b.open()
    await b.update(worker=b.worker(devices=[{"handle": "cpu"}]))
    moved = b.worker()
    moved["properties"][0]["value"] = "65"
    await b.fault(400, "worker", "PATCH", b.session, {"worker": moved})


@holds("3.1")
async def a_report_renews(b: Bench) -> None:
    """Report a lease and expect a later expiry."""
    lease, _ = await b.standing()
    first = (await b.update((lease, "ACTIVE")))["leases"][0]["expireTime"]
    await asyncio.sleep(0.1)
    second = (await b.update((lease, "ACTIVE")))["leases"][0]["expireTime"]
    expect(second > first, (first, second))
    await b.update((lease, "COMPLETED"))


@holds("3.2", "5.1")
async def a_result_reaches_the_submitter(b: Bench) -> None:
    """Complete a lease with a result, with an error, and with too large a result."""
    lease, name = await b.standing()
    body = {"leases": [{"id": lease, "state": "COMPLETED", "result": {"files": 3}}]}
    await b.api.call("PATCH", b.session, body)
    operation = await b.api.call("GET", name.replace("tasks", "operations"))
    expect(operation["done"] and operation["response"]["result"] == {"files": 3}, operation)
    lease, name = await b.standing()
    body = {"leases": [{"id": lease, "state": "COMPLETED", "status": {"code": 13, "message": "disk"}}]}
    await b.api.call("PATCH", b.session, body)
    operation = await b.api.call("GET", name.replace("tasks", "operations"))
    expect(operation["done"] and "disk" in operation["error"]["message"], operation)
    large = {"leases": [{"id": lease, "state": "COMPLETED", "result": {"x": "y" * 9000}}]}
    await b.fault(400, "leases[0].result", "PATCH", b.session, large)


@holds("3.10")
async def assignments_come_by_name_and_inline_where_asked_for(b: Bench) -> None:
    """Expect the task name in a lease, and its payload inline if configured."""
    for configs in ([], [{"key": "inlineAssignment", "value": "yes"}]):
        await b.open(configs=configs)
        answer = b.later(b.submit(b.task()))
        lease = await b.lease()
        await b.update((lease["id"], "COMPLETED"))
        expect(lease["assignment"] == (await answer)["name"], lease)
        expect(lease.get("inlineAssignment") == (lease["payload"] if configs else None), lease)


@holds("3.5")
async def unknown_leases_are_cancelled_and_block(b: Bench) -> None:
    """List a lease that the gateway does not know: nothing new comes until it is gone."""
    said = await b.open([{"id": "leases/none", "state": "ACTIVE"}])
    expect(said["leases"] == [{"id": "leases/none", "state": "CANCELLED"}], said)
    answer = b.later(b.submit(b.task(left=2000)))
    for _ in range(3):
        said = await b.update(("leases/none", "ACTIVE"), wait_s=0.1)
        expect([one["state"] for one in said["leases"]] == ["CANCELLED"], said)
    lease = await b.lease()
    await b.update((lease["id"], "COMPLETED"))
    expect((await answer)["answer"] == "placed", "it was not placed")


@holds("3.6")
async def leases_go_on_over_a_new_session(b: Bench) -> None:
    """Open a new session with a lease of the one before."""
    lease, name = await b.standing()
    said = await b.open([{"id": lease, "state": "ACTIVE"}])
    expect([one["state"] for one in said["leases"]] == ["ACTIVE"], said)
    await b.update((lease, "COMPLETED"))
    expect((await b.api.call("GET", name))["state"] == "DONE", "its end was not told")
