"""The checks of docs/pullqueue.md, by the numbers of its sentences."""

from __future__ import annotations

import asyncio
import json
import time
from urllib.parse import quote

from weldhatch.client import ApiError
from weldhatch.conform.suite import Bench, ask, expect, holds


@holds("1.1")
async def pipelined_requests_are_answered_in_order(b: Bench) -> None:
    codes = [
        code
        for code, *_ in await b.raw(ask("GET", "tasks/x") + ask("GET", "operations") + ask("PUT", "tasks"), 3)
    ]
    expect(codes == [404, 200, 405], codes)


@holds("1.2")
async def bodies_come_in_chunks_too(b: Bench) -> None:
    body = json.dumps({"botId": b.bot, "worker": b.worker()}).encode()
    parts = b"".join(f"{len(part):x}\r\n".encode() + part + b"\r\n" for part in (body[:5], body[5:]))
    [(code, _, said)] = await b.raw(
        ask("POST", "botSessions", parts + b"0\r\n\r\n", "Transfer-Encoding: chunked")
    )
    expect(code == 200, said)
    b.session = json.loads(said)["name"]


@holds("1.3")
async def limits_are_told_in_the_answer(b: Bench) -> None:
    for data, code in (
        (ask("POST", "tasks", b"", "Content-Length: 999999"), 413),
        (ask("GET", "tasks", b"", f"X: {'y' * 9000}"), 431),
        (ask("GET", "tasks", b"", *["X: y"] * 70), 431),
    ):
        data = data.replace(b"Content-Length: 0\r\n", b"") if code == 413 else data
        [(told, headers, _)] = await b.raw(data)
        expect((told, headers.get("connection")) == (code, "close"), (told, headers))
    waiting = ask("POST", "tasks", json.dumps(b.task()).encode())
    answers = await b.raw(waiting + ask("GET", "tasks/x") * 30, 18, until=429)
    expect(429 in [code for code, *_ in answers], [code for code, *_ in answers])


@holds("1.4")
async def who_expects_100_is_told_to_go_on(b: Bench) -> None:
    body = b"{}"
    head = ask("POST", "botSessions", body, "Expect: 100-continue")[: -len(body)]
    codes = [code for code, *_ in await b.raw(head, 2, body)]
    expect(codes == [100, 400], codes)


@holds("1.5")
async def close_ends_the_connection(b: Bench) -> None:
    [(code, headers, _)] = await b.raw(ask("GET", "operations", b"", "Connection: close"))
    expect((code, headers.get("connection")) == (200, "close"), headers)


@holds("1.6")
async def faults_are_a_status_with_the_field(b: Bench) -> None:
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
    await b.fault(404, "path", "GET", "what")
    await b.fault(405, "method", "PUT", "botSessions")


@holds("2.1")
async def a_session_has_its_fields(b: Bench) -> None:
    said = await b.open()
    expect(said["botId"] == b.bot and said["leases"] == [] and said["status"] == "OK", said)
    expect(said["name"].startswith("botSessions/") and said["expireTime"].endswith("Z"), said)


@holds("2.2")
async def a_machine_says_what_it_is(b: Bench) -> None:
    for missing in ("cores", "memory", "hall", "rack"):
        worker = b.worker()
        worker["properties"] = [pair for pair in worker["properties"] if pair["key"] != missing]
        await b.fault(
            400, f"worker.properties.{missing}", "POST", "botSessions", {"botId": b.bot, "worker": worker}
        )


@holds("2.3")
async def an_update_waits_for_work_as_long_as_it_is_told(b: Bench) -> None:
    await b.open()
    begun = time.monotonic()
    await b.update(wait_s=0.3)
    expect(0.2 < time.monotonic() - begun < 5, time.monotonic() - begun)
    begun = time.monotonic()
    await b.update()
    expect(time.monotonic() - begun < 0.3, "an update without a time waits")


@holds("2.4")
async def a_later_update_ends_the_earlier(b: Bench) -> None:
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
    old = (await b.open())["name"]
    await b.open()
    await b.fault(404, "name", "PATCH", old, {})
    await b.fault(404, "name", "PATCH", "botSessions/none", {})


@holds("2.8")
async def only_masked_fields_count(b: Bench) -> None:
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
    await b.open()
    await b.update(worker=b.worker(devices=[{"handle": "cpu"}]))
    moved = b.worker()
    moved["properties"][0]["value"] = "65"
    await b.fault(400, "worker", "PATCH", b.session, {"worker": moved})


@holds("3.1")
async def a_report_renews(b: Bench) -> None:
    lease, _ = await b.standing()
    first = (await b.update((lease, "ACTIVE")))["leases"][0]["expireTime"]
    await asyncio.sleep(0.1)
    second = (await b.update((lease, "ACTIVE")))["leases"][0]["expireTime"]
    expect(second > first, (first, second))
    await b.update((lease, "COMPLETED"))


@holds("3.2", "5.1")
async def a_result_reaches_the_submitter(b: Bench) -> None:
    lease, name = await b.standing()
    body = {"leases": [{"id": lease, "state": "COMPLETED", "result": {"files": 3}}]}
    await b.api.call("PATCH", b.session, body)
    told = await b.api.call("GET", name.replace("tasks", "operations"))
    expect(told["done"] and told["response"]["result"] == {"files": 3}, told)
    lease, name = await b.standing()
    body = {"leases": [{"id": lease, "state": "COMPLETED", "status": {"code": 13, "message": "disk"}}]}
    await b.api.call("PATCH", b.session, body)
    told = await b.api.call("GET", name.replace("tasks", "operations"))
    expect(told["done"] and "disk" in told["error"]["message"], told)
    large = {"leases": [{"id": lease, "state": "COMPLETED", "result": {"x": "y" * 9000}}]}
    await b.fault(400, "leases[0].result", "PATCH", b.session, large)


@holds("3.10")
async def assignments_come_by_name_and_inline_where_asked_for(b: Bench) -> None:
    for configs in ([], [{"key": "inlineAssignment", "value": "yes"}]):
        await b.open(configs=configs)
        answer = b.later(b.submit(b.task()))
        lease = await b.lease()
        await b.update((lease["id"], "COMPLETED"))
        expect(lease["assignment"] == (await answer)["name"], lease)
        expect(lease.get("inlineAssignment") == (lease["payload"] if configs else None), lease)


@holds("3.5")
async def unknown_leases_are_cancelled_and_block(b: Bench) -> None:
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
    lease, name = await b.standing()
    said = await b.open([{"id": lease, "state": "ACTIVE"}])
    expect([one["state"] for one in said["leases"]] == ["ACTIVE"], said)
    await b.update((lease, "COMPLETED"))
    expect((await b.api.call("GET", name))["state"] == "DONE", "its end was not told")


@holds("4.1", "4.8")
async def a_task_is_placed_and_ends(b: Bench) -> None:
    lease, name = await b.standing()
    expect((await b.api.call("GET", name))["state"] == "PLACED", "not PLACED")
    waiting = b.later(b.api.call("GET", name, wait_s=1.0))
    await b.update((lease, "COMPLETED"))
    expect((await waiting)["state"] == "DONE", waiting)


@holds("4.2")
async def a_refusal_says_when(b: Bench) -> None:
    body = json.dumps(b.task(left=200)).encode()
    [(code, headers, said)] = await b.raw(ask("POST", "tasks", body))
    answer = json.loads(said)
    expect(code == 200 and answer["answer"] == "refused" and answer["waitMs"] >= 0, answer)
    expect(not answer["waitMs"] or "retry-after" in headers, headers)


@holds("4.3")
async def keys_are_needed_where_a_second_start_harms(b: Bench) -> None:
    for cls in (b.target.keyed, b.target.unsafe):
        await b.fault(400, "key", "POST", "tasks", {**b.task(cls), "key": ""})
    await b.fault(400, "key", "POST", "tasks", b.task(key="xyz"))
    await b.fault(400, "key", "POST", "tasks", b.task(key="a" * 17))
    await b.fault(400, "blob", "POST", "tasks", b.task(blob="x" * 9000))


@holds("4.4", "4.5")
async def a_request_id_is_one_submission(b: Bench) -> None:
    task = b.task(requestId=f"r-{b.bot}")
    lease, name = await b.standing(task)
    again = await b.submit(task)
    expect(again["name"] == name, again)
    await b.update((lease, "COMPLETED"))
    expect((await b.submit(task))["name"] == name, "another one after its end")
    await b.fault(409, "requestId", "POST", "tasks", b.task(requestId=f"r-{b.bot}"))


@holds("4.6")
async def a_closed_connection_gives_up(b: Bench) -> None:
    await b.open()
    task = b.task(b.target.keyed)
    _, writer = await asyncio.open_connection(*b._address)
    writer.write(ask("POST", "tasks", json.dumps(task).encode()))
    await asyncio.sleep(0.2)
    writer.close()
    await asyncio.sleep(0.2)
    said = await b.update(wait_s=0.3)
    expect(not [one for one in said["leases"] if one["state"] == "PENDING"], said)


@holds("4.7")
async def requirements_are_kept(b: Bench) -> None:
    other = Bench(b.target)
    try:
        await other.open()
        await b.open(
            devices=[{"handle": "cpu"}, {"handle": "gpu", "properties": [{"key": "gpu", "value": "a"}]}]
        )
        wanted = [{}, {"properties": [{"key": "gpu", "value": "a"}]}]
        task = b.task(requirements={"devices": wanted, "properties": [{"key": "conform", "value": b.bot}]})
        answer = b.later(b.submit(task))
        lease = await b.lease()
        await b.update((lease["id"], "COMPLETED"))
        expect((await answer)["botId"] == b.bot, answer)
        two = b.task(left=300, requirements={**task["requirements"], "devices": [*wanted, wanted[1]]})
        expect((await b.submit(two))["answer"] == "refused", "two devices were found in one")
        said = await other.update(wait_s=0.1)
        expect(said["leases"] == [], said)
    finally:
        await other.close()


@holds("5.2", "5.3", "5.4")
async def operations_are_listed_in_pages(b: Bench) -> None:
    names = []
    for _ in range(3):
        told = await b.api.call("POST", "operations", b.task(b.target.keyed))
        names.append(told["name"])
    keys = [(await b.api.call("GET", name))["metadata"]["key"] for name in names]
    for name, key in zip(names, keys, strict=True):
        page = await b.api.call("GET", f"operations?filter={quote(f'key = {key} AND done != maybe')}")
        expect([one["name"] for one in page["operations"]] == [name], page)
    seen, token = [], ""
    while True:
        page = await b.api.call(
            "GET", f"operations?pageSize=2&pageToken={token}&fields=operations.name,nextPageToken"
        )
        expect(len(page["operations"]) <= 2 and all(set(one) <= {"name"} for one in page["operations"]), page)
        seen += [one["name"] for one in page["operations"]]
        token = page.get("nextPageToken", "")
        if not token:
            break
    expect([name for name in seen if name in names] == names and len(set(seen)) == len(seen), seen)
    for query, field in (("filter=x", "filter"), ("pageSize=x", "pageSize"), ("pageToken=!", "pageToken")):
        await b.fault(400, field, "GET", f"operations?{query}")
    for name in names:
        await b.api.call("POST", f"{name}:cancel", {})


@holds("5.5")
async def a_cancelled_task_is_stopped_by_its_machine(b: Bench) -> None:
    lease, name = await b.standing()
    name = name.replace("tasks", "operations")
    await b.fault(409, "name", "DELETE", name)
    told = await b.api.call("POST", f"{name}:cancel", {})
    expect(told["done"] and told["metadata"]["state"] == "CANCELLED", told)
    said = await b.update((lease, "ACTIVE"))
    expect([one["state"] for one in said["leases"]] == ["CANCELLED"], said)
    await b.update((lease, "CANCELLED"))
    await b.api.call("DELETE", name)
    await b.fault(404, "name", "GET", name)


@holds("5.6")
async def states_are_streamed(b: Bench) -> None:
    await b.open()
    name = (await b.api.call("POST", "operations", b.task()))["name"]
    parts: list[bytes] = []
    stream = b.later(b.api.call("GET", f"{name}:watch", wait_s=20, on_data=parts.append))
    lease = await b.lease()
    await b.update((lease["id"], "ACTIVE"))
    await b.update((lease["id"], "COMPLETED"))
    await stream
    events = [
        json.loads(line[6:]) for line in b"".join(parts).decode().split("\n") if line.startswith("data: ")
    ]
    states = [event["metadata"]["state"] for event in events]
    expect(states[0] in ("ASKED", "PLACED") and states[-1] == "DONE" and events[-1]["done"], states)


@holds("5.7")
async def batches_are_taken_one_by_one(b: Bench) -> None:
    told = await b.api.call(
        "POST", "operations:batchSubmit", {"requests": [b.task(), b.task("none"), b.task()]}
    )
    expect(["operation" in one for one in told["responses"]] == [True, False, True], told)
    names = [
        told["responses"][0]["operation"]["name"],
        "operations/none",
        told["responses"][2]["operation"]["name"],
    ]
    told = await b.api.call("POST", "operations:batchCancel", {"names": names})
    expect(["operation" in one for one in told["responses"]] == [True, False, True], told)


@holds("6.2")
async def a_key_stands_once(b: Bench) -> None:
    task = b.task(b.target.keyed)
    lease, _ = await b.standing(task)
    await b.fault(409, "key", "POST", "tasks", task)
    await b.update((lease, "COMPLETED"))


@holds("6.4")
async def what_must_not_start_twice_does_not(b: Bench) -> None:
    task = b.task(b.target.unsafe)
    lease, _ = await b.standing(task)
    await b.update((lease, "COMPLETED"))
    expect((await b.submit(task))["answer"] == "failed", "its key was taken again")
    said = await b.update(wait_s=0.2)
    expect(said["leases"] == [], said)
