"""Checks of docs/pullqueue.md, sentences 1 to 3: connections, sessions and leases."""

from __future__ import annotations

import asyncio
import json
import time

from weldhatch.client import ApiError
from weldhatch.conform.suite import Bench, expect, http_request, verifies


@verifies("1.1")
async def pipelined_requests_are_answered_in_order(bench: Bench) -> None:
    """Send three pipelined requests and expect their responses in order."""
    codes = [
        code
        for code, *_ in await bench.exchange(
            http_request("GET", "tasks/x") + http_request("GET", "operations") + http_request("PUT", "tasks"),
            3,
        )
    ]
    expect(codes == [404, 200, 405], codes)


@verifies("1.2")
async def bodies_come_in_chunks_too(bench: Bench) -> None:
    """Open a session with a chunked body."""
    body = json.dumps({"botId": bench.bot, "worker": bench.worker()}).encode()
    chunks = b"".join(f"{len(chunk):x}\r\n".encode() + chunk + b"\r\n" for chunk in (body[:5], body[5:]))
    [(code, _, response)] = await bench.exchange(
        http_request("POST", "botSessions", chunks + b"0\r\n\r\n", "Transfer-Encoding: chunked")
    )
    expect(code == 200, response)
    bench.session = json.loads(response)["name"]


@verifies("1.3")
async def limits_are_told_in_the_answer(bench: Bench) -> None:
    """Exceed the limits of body, headers and pipelined requests, and expect 413, 431 and 429."""
    for data, code in (
        (http_request("POST", "tasks", b"", "Content-Length: 999999"), 413),
        (http_request("GET", "tasks", b"", f"X: {'y' * 9000}"), 431),
        (http_request("GET", "tasks", b"", *["X: y"] * 70), 431),
    ):
        data = data.replace(b"Content-Length: 0\r\n", b"") if code == 413 else data
        [(received, headers, _)] = await bench.exchange(data)
        expect((received, headers.get("connection")) == (code, "close"), (received, headers))
    submission = http_request("POST", "tasks", json.dumps(bench.task()).encode())
    responses = await bench.exchange(submission + http_request("GET", "tasks/x") * 30, 18, until=429)
    expect(429 in [code for code, *_ in responses], [code for code, *_ in responses])


@verifies("1.4")
async def who_expects_100_is_told_to_go_on(bench: Bench) -> None:
    """Send the body only after the response `100 Continue`."""
    body = b"{}"
    head = http_request("POST", "botSessions", body, "Expect: 100-continue")[: -len(body)]
    codes = [code for code, *_ in await bench.exchange(head, 2, body)]
    expect(codes == [100, 400], codes)


@verifies("1.5")
async def close_ends_the_connection(bench: Bench) -> None:
    """Request `Connection: close` and expect the server to close the connection."""
    [(code, headers, _)] = await bench.exchange(http_request("GET", "operations", b"", "Connection: close"))
    expect((code, headers.get("connection")) == (200, "close"), headers)


@verifies("1.6")
async def faults_are_a_status_with_the_field(bench: Bench) -> None:
    """Send invalid requests and expect a google.rpc.Status that names the invalid field."""
    for path, body, field in (
        ("tasks", [], "body"),
        ("tasks", bench.task("none"), "class"),
        ("tasks", bench.task(left="x"), "left"),
        ("tasks", bench.task(requirements=5), "requirements"),
        ("botSessions", {}, "botId"),
        ("operations:batchSubmit", {}, "requests"),
    ):
        await bench.expect_error(400, field, "POST", path, body)


@verifies("1.7")
async def what_is_not_known_says_so(bench: Bench) -> None:
    """Expect 404 for an unknown path and 405 for an unknown method."""
    await bench.expect_error(404, "path", "GET", "what")
    await bench.expect_error(405, "method", "PUT", "botSessions")


@verifies("2.1")
async def a_session_has_its_fields(bench: Bench) -> None:
    """Open a session and check name, machine, status, leases and expiry."""
    session = await bench.open()
    expect(session["botId"] == bench.bot and session["leases"] == [] and session["status"] == "OK", session)
    expect(session["name"].startswith("botSessions/") and session["expireTime"].endswith("Z"), session)


@verifies("2.2")
async def a_machine_says_what_it_is(bench: Bench) -> None:
    """Leave out each property that placement needs, and expect 400."""
    for missing in ("cores", "memory", "hall", "rack"):
        worker = bench.worker()
        worker["properties"] = [pair for pair in worker["properties"] if pair["key"] != missing]
        await bench.expect_error(
            400, f"worker.properties.{missing}", "POST", "botSessions", {"botId": bench.bot, "worker": worker}
        )


@verifies("2.3")
async def an_update_waits_for_work_as_long_as_it_is_told(bench: Bench) -> None:
    """Expect an update to wait as long as X-Server-Timeout says, and not at all without this header."""
    await bench.open()
    sent_at = time.monotonic()
    await bench.update(wait_s=0.3)
    expect(0.2 < time.monotonic() - sent_at < 5, time.monotonic() - sent_at)
    sent_at = time.monotonic()
    await bench.update()
    expect(time.monotonic() - sent_at < 0.3, "an update without a time waits")


@verifies("2.4")
async def a_later_update_ends_the_earlier(bench: Bench) -> None:
    """Send an update while another one waits, and expect the earlier one to be aborted with 409."""
    await bench.open()
    earlier = bench.start(bench.update(wait_s=1.0))
    await asyncio.sleep(0.2)
    await bench.update()
    try:
        await earlier
    except ApiError as error:
        expect(error.code == 409, error)
    else:
        raise AssertionError("both updates were answered")


@verifies("2.5")
async def only_ok_gets_work(bench: Bench) -> None:
    """Update with each status other than OK, and expect no leases."""
    await bench.open()
    for status in ("INITIALIZING", "UNHEALTHY", "HOST_REBOOTING", "BOT_TERMINATING", "MAINTENANCE"):
        answer = bench.start(bench.submit(bench.task(left=300)))
        while not answer.done():
            session = await bench.update(status=status)
            expect(session["leases"] == [], (status, session))
            await asyncio.sleep(0.05)
    await bench.expect_error(400, "status", "PATCH", bench.session, {"status": "FINE"})


@verifies("2.6")
async def stale_sessions_are_unknown(bench: Bench) -> None:
    """Expect 404 for a session that was replaced or never opened."""
    replaced = (await bench.open())["name"]
    await bench.open()
    await bench.expect_error(404, "name", "PATCH", replaced, {})
    await bench.expect_error(404, "name", "PATCH", "botSessions/none", {})


@verifies("2.8")
async def only_masked_fields_count(bench: Bench) -> None:
    """Update with a field mask, and expect fields outside the mask to have no effect."""
    lease, _ = await bench.place_task()
    session_name = bench.session
    bench.session = f"{session_name}?updateMask=status"
    session = await bench.update((lease, "COMPLETED"))
    bench.session = session_name
    session = await bench.update((lease, "ACTIVE"))
    expect([listed["state"] for listed in session["leases"]] == ["ACTIVE"], session)
    await bench.expect_error(400, "updateMask", "PATCH", f"{session_name}?updateMask=colour", {})
    await bench.update((lease, "COMPLETED"))


@verifies("2.9")
async def a_worker_may_grow_and_not_move(bench: Bench) -> None:
    """Expect that an update may add devices to a worker, but not change its properties."""
    await bench.open()
    await bench.update(worker=bench.worker(devices=[{"handle": "cpu"}]))
    changed = bench.worker()
    changed["properties"][0]["value"] = "65"
    await bench.expect_error(400, "worker", "PATCH", bench.session, {"worker": changed})


@verifies("3.1")
async def a_report_renews(bench: Bench) -> None:
    """Report an active lease twice, and expect a later expiry from the second report."""
    lease, _ = await bench.place_task()
    first = (await bench.update((lease, "ACTIVE")))["leases"][0]["expireTime"]
    await asyncio.sleep(0.1)
    second = (await bench.update((lease, "ACTIVE")))["leases"][0]["expireTime"]
    expect(second > first, (first, second))
    await bench.update((lease, "COMPLETED"))


@verifies("3.2", "5.1")
async def a_result_reaches_the_submitter(bench: Bench) -> None:
    """Complete leases with a result, with an error, and with a result over the size limit."""
    lease, name = await bench.place_task()
    body = {"leases": [{"id": lease, "state": "COMPLETED", "result": {"files": 3}}]}
    await bench.api.call("PATCH", bench.session, body)
    operation = await bench.api.call("GET", name.replace("tasks", "operations"))
    expect(operation["done"] and operation["response"]["result"] == {"files": 3}, operation)
    lease, name = await bench.place_task()
    body = {"leases": [{"id": lease, "state": "COMPLETED", "status": {"code": 13, "message": "disk"}}]}
    await bench.api.call("PATCH", bench.session, body)
    operation = await bench.api.call("GET", name.replace("tasks", "operations"))
    expect(operation["done"] and "disk" in operation["error"]["message"], operation)
    large = {"leases": [{"id": lease, "state": "COMPLETED", "result": {"x": "y" * 9000}}]}
    await bench.expect_error(400, "leases[0].result", "PATCH", bench.session, large)


@verifies("3.10")
async def assignments_come_by_name_and_inline_where_asked_for(bench: Bench) -> None:
    """Expect a lease to name its task, and to hold the payload inline if the session is configured so."""
    for configs in ([], [{"key": "inlineAssignment", "value": "yes"}]):
        await bench.open(configs=configs)
        answer = bench.start(bench.submit(bench.task()))
        lease = await bench.next_lease()
        await bench.update((lease["id"], "COMPLETED"))
        expect(lease["assignment"] == (await answer)["name"], lease)
        expect(lease.get("inlineAssignment") == (lease["payload"] if configs else None), lease)


@verifies("3.5")
async def unknown_leases_are_cancelled_and_block(bench: Bench) -> None:
    """List a lease that the gateway does not know, and expect no new lease while it is listed."""
    session = await bench.open([{"id": "leases/none", "state": "ACTIVE"}])
    expect(session["leases"] == [{"id": "leases/none", "state": "CANCELLED"}], session)
    answer = bench.start(bench.submit(bench.task(left=2000)))
    for _ in range(3):
        session = await bench.update(("leases/none", "ACTIVE"), wait_s=0.1)
        expect([listed["state"] for listed in session["leases"]] == ["CANCELLED"], session)
    lease = await bench.next_lease()
    await bench.update((lease["id"], "COMPLETED"))
    expect((await answer)["answer"] == "placed", "it was not placed")


@verifies("3.6")
async def leases_go_on_over_a_new_session(bench: Bench) -> None:
    """Open a new session that lists a lease of the previous one, and expect the lease to stay active."""
    lease, name = await bench.place_task()
    session = await bench.open([{"id": lease, "state": "ACTIVE"}])
    expect([listed["state"] for listed in session["leases"]] == ["ACTIVE"], session)
    await bench.update((lease, "COMPLETED"))
    expect((await bench.api.call("GET", name))["state"] == "DONE", "its end was not told")
