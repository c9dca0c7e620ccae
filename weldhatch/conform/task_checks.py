"""Checks of docs/pullqueue.md, sentences 4 to 6: tasks, operations and starts at most once."""

from __future__ import annotations

import asyncio
import json
from urllib.parse import quote

from weldhatch.conform.suite import Bench, expect, http_request, verifies


@verifies("4.1", "4.8")
async def a_task_is_placed_and_ends(bench: Bench) -> None:
    """Follow a task from the state PLACED to DONE."""
    lease, name = await bench.place_task()
    expect((await bench.api.call("GET", name))["state"] == "PLACED", "not PLACED")
    waiting = bench.start(bench.api.call("GET", name, wait_s=1.0))
    await bench.update((lease, "COMPLETED"))
    expect((await waiting)["state"] == "DONE", waiting)


@verifies("4.2")
async def a_refusal_says_when(bench: Bench) -> None:
    """Submit a task with too little time to place it, and expect waitMs and Retry-After in the rejection."""
    body = json.dumps(bench.task(left=200)).encode()
    [(code, headers, response)] = await bench.exchange(http_request("POST", "tasks", body))
    answer = json.loads(response)
    expect(code == 200 and answer["answer"] == "refused" and answer["waitMs"] >= 0, answer)
    expect(not answer["waitMs"] or "retry-after" in headers, headers)


@verifies("4.3")
async def keys_are_needed_where_a_second_start_harms(bench: Bench) -> None:
    """Submit without a key, with an invalid key and with a blob over the size limit, and expect 400."""
    for cls in (bench.target.keyed, bench.target.unsafe):
        await bench.expect_error(400, "key", "POST", "tasks", {**bench.task(cls), "key": ""})
    await bench.expect_error(400, "key", "POST", "tasks", bench.task(key="xyz"))
    await bench.expect_error(400, "key", "POST", "tasks", bench.task(key="a" * 17))
    await bench.expect_error(400, "blob", "POST", "tasks", bench.task(blob="x" * 9000))


@verifies("4.4", "4.5")
async def a_request_id_is_one_submission(bench: Bench) -> None:
    """Repeat a request id, and expect the same task, or 409 for a different body."""
    task = bench.task(requestId=f"r-{bench.bot}")
    lease, name = await bench.place_task(task)
    repeated = await bench.submit(task)
    expect(repeated["name"] == name, repeated)
    await bench.update((lease, "COMPLETED"))
    expect((await bench.submit(task))["name"] == name, "another one after its end")
    await bench.expect_error(409, "requestId", "POST", "tasks", bench.task(requestId=f"r-{bench.bot}"))


@verifies("4.6")
async def a_closed_connection_gives_up(bench: Bench) -> None:
    """Close the connection of a submitter, and expect that its task is not placed."""
    await bench.open()
    task = bench.task(bench.target.keyed)
    _, writer = await asyncio.open_connection(*bench._address)
    writer.write(http_request("POST", "tasks", json.dumps(task).encode()))
    await asyncio.sleep(0.2)
    writer.close()
    await asyncio.sleep(0.2)
    session = await bench.update(wait_s=0.3)
    expect(not [lease for lease in session["leases"] if lease["state"] == "PENDING"], session)


@verifies("4.7")
async def requirements_are_kept(bench: Bench) -> None:
    """Expect a task on the machine that meets its requirements, and a rejection if no machine meets them."""
    other = Bench(bench.target)
    try:
        await other.open()
        await bench.open(
            devices=[{"handle": "cpu"}, {"handle": "gpu", "properties": [{"key": "gpu", "value": "a"}]}]
        )
        devices = [{}, {"properties": [{"key": "gpu", "value": "a"}]}]
        task = bench.task(
            requirements={"devices": devices, "properties": [{"key": "conform", "value": bench.bot}]}
        )
        answer = bench.start(bench.submit(task))
        lease = await bench.next_lease()
        await bench.update((lease["id"], "COMPLETED"))
        expect((await answer)["botId"] == bench.bot, answer)
        two_gpus = bench.task(
            left=300, requirements={**task["requirements"], "devices": [*devices, devices[1]]}
        )
        expect((await bench.submit(two_gpus))["answer"] == "refused", "two devices were found in one")
        session = await other.update(wait_s=0.1)
        expect(session["leases"] == [], session)
    finally:
        await other.close()


@verifies("5.2", "5.3", "5.4")
async def operations_are_listed_in_pages(bench: Bench) -> None:
    """List operations by filter, page and field mask."""
    names = []
    for _ in range(3):
        operation = await bench.api.call("POST", "operations", bench.task(bench.target.keyed))
        names.append(operation["name"])
    keys = [(await bench.api.call("GET", name))["metadata"]["key"] for name in names]
    for name, key in zip(names, keys, strict=True):
        page = await bench.api.call("GET", f"operations?filter={quote(f'key = {key} AND done != maybe')}")
        expect([listed["name"] for listed in page["operations"]] == [name], page)
    seen: list[str] = []
    token = ""
    while True:
        page = await bench.api.call(
            "GET", f"operations?pageSize=2&pageToken={token}&fields=operations.name,nextPageToken"
        )
        expect(
            len(page["operations"]) <= 2 and all(set(listed) <= {"name"} for listed in page["operations"]),
            page,
        )
        seen += [listed["name"] for listed in page["operations"]]
        token = page.get("nextPageToken", "")
        if not token:
            break
    expect([name for name in seen if name in names] == names and len(set(seen)) == len(seen), seen)
    for query, field in (("filter=x", "filter"), ("pageSize=x", "pageSize"), ("pageToken=!", "pageToken")):
        await bench.expect_error(400, field, "GET", f"operations?{query}")
    for name in names:
        await bench.api.call("POST", f"{name}:cancel", {})


@verifies("5.5")
async def a_cancelled_task_is_stopped_by_its_machine(bench: Bench) -> None:
    """Cancel a running operation, expect its lease to be cancelled, and delete the operation."""
    lease, name = await bench.place_task()
    name = name.replace("tasks", "operations")
    await bench.expect_error(409, "name", "DELETE", name)
    operation = await bench.api.call("POST", f"{name}:cancel", {})
    expect(operation["done"] and operation["metadata"]["state"] == "CANCELLED", operation)
    session = await bench.update((lease, "ACTIVE"))
    expect([listed["state"] for listed in session["leases"]] == ["CANCELLED"], session)
    await bench.update((lease, "CANCELLED"))
    await bench.api.call("DELETE", name)
    await bench.expect_error(404, "name", "GET", name)


@verifies("5.6")
async def states_are_streamed(bench: Bench) -> None:
    """Watch an operation until it is done, and expect its states in the stream."""
    await bench.open()
    name = (await bench.api.call("POST", "operations", bench.task()))["name"]
    chunks: list[bytes] = []
    stream = bench.start(bench.api.call("GET", f"{name}:watch", wait_s=20, on_data=chunks.append))
    lease = await bench.next_lease()
    await bench.update((lease["id"], "ACTIVE"))
    await bench.update((lease["id"], "COMPLETED"))
    await stream
    events = [
        json.loads(line[6:]) for line in b"".join(chunks).decode().split("\n") if line.startswith("data: ")
    ]
    states = [event["metadata"]["state"] for event in events]
    expect(states[0] in ("ASKED", "PLACED") and states[-1] == "DONE" and events[-1]["done"], states)


@verifies("5.7")
async def batches_are_taken_one_by_one(bench: Bench) -> None:
    """Submit and cancel batches with one invalid item each, and expect an error for that item only."""
    batch = await bench.api.call(
        "POST", "operations:batchSubmit", {"requests": [bench.task(), bench.task("none"), bench.task()]}
    )
    expect(["operation" in response for response in batch["responses"]] == [True, False, True], batch)
    names = [
        batch["responses"][0]["operation"]["name"],
        "operations/none",
        batch["responses"][2]["operation"]["name"],
    ]
    batch = await bench.api.call("POST", "operations:batchCancel", {"names": names})
    expect(["operation" in response for response in batch["responses"]] == [True, False, True], batch)


@verifies("6.2")
async def a_key_stands_once(bench: Bench) -> None:
    """Submit a key that is in use, and expect 409."""
    task = bench.task(bench.target.keyed)
    lease, _ = await bench.place_task(task)
    await bench.expect_error(409, "key", "POST", "tasks", task)
    await bench.update((lease, "COMPLETED"))


@verifies("6.4")
async def what_must_not_start_twice_does_not(bench: Bench) -> None:
    """Repeat a completed task that must not start twice, and expect it to fail without a new lease."""
    task = bench.task(bench.target.unsafe)
    lease, _ = await bench.place_task(task)
    await bench.update((lease, "COMPLETED"))
    expect((await bench.submit(task))["answer"] == "failed", "its key was taken again")
    session = await bench.update(wait_s=0.2)
    expect(session["leases"] == [], session)
