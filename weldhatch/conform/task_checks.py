"""The checks of docs/pullqueue.md, sentences 4 to 6: tasks, operations and what starts once."""

from __future__ import annotations

import asyncio
import json
from urllib.parse import quote

from weldhatch.conform.suite import Bench, ask, expect, holds


@holds("4.1", "4.8")
async def a_task_is_placed_and_ends(b: Bench) -> None:
    """Follow a task from PLACED to DONE."""
    lease, name = await b.standing()
    expect((await b.api.call("GET", name))["state"] == "PLACED", "not PLACED")
    waiting = b.later(b.api.call("GET", name, wait_s=1.0))
    await b.update((lease, "COMPLETED"))
    expect((await waiting)["state"] == "DONE", waiting)


@holds("4.2")
async def a_refusal_says_when(b: Bench) -> None:
    """Get a task rejected and expect waitMs and Retry-After."""
    body = json.dumps(b.task(left=200)).encode()
    [(code, headers, said)] = await b.raw(ask("POST", "tasks", body))
    answer = json.loads(said)
    expect(code == 200 and answer["answer"] == "refused" and answer["waitMs"] >= 0, answer)
    expect(not answer["waitMs"] or "retry-after" in headers, headers)


@holds("4.3")
async def keys_are_needed_where_a_second_start_harms(b: Bench) -> None:
    """Submit without a key, with a bad key and with too large a blob: 400."""
    for cls in (b.target.keyed, b.target.unsafe):
        await b.fault(400, "key", "POST", "tasks", {**b.task(cls), "key": ""})
    await b.fault(400, "key", "POST", "tasks", b.task(key="xyz"))
    await b.fault(400, "key", "POST", "tasks", b.task(key="a" * 17))
    await b.fault(400, "blob", "POST", "tasks", b.task(blob="x" * 9000))


@holds("4.4", "4.5")
async def a_request_id_is_one_submission(b: Bench) -> None:
    """Repeat a request id: the same task, or 409 for another body."""
    task = b.task(requestId=f"r-{b.bot}")
    lease, name = await b.standing(task)
    again = await b.submit(task)
    expect(again["name"] == name, again)
    await b.update((lease, "COMPLETED"))
    expect((await b.submit(task))["name"] == name, "another one after its end")
    await b.fault(409, "requestId", "POST", "tasks", b.task(requestId=f"r-{b.bot}"))


@holds("4.6")
async def a_closed_connection_gives_up(b: Bench) -> None:
    """Close the connection of a submitter: its task is not placed."""
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
    """Place a task by its requirements of properties and devices, and reject one that no machine meets."""
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
    """List operations by filter, page and field mask."""
    names = []
    for _ in range(3):
        operation = await b.api.call("POST", "operations", b.task(b.target.keyed))
        names.append(operation["name"])
    keys = [(await b.api.call("GET", name))["metadata"]["key"] for name in names]
    for name, key in zip(names, keys, strict=True):
        page = await b.api.call("GET", f"operations?filter={quote(f'key = {key} AND done != maybe')}")
        expect([one["name"] for one in page["operations"]] == [name], page)
    seen: list[str] = []
    token = ""
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
    """Cancel an operation under way, see its lease cancelled, and delete it."""
    lease, name = await b.standing()
    name = name.replace("tasks", "operations")
    await b.fault(409, "name", "DELETE", name)
    operation = await b.api.call("POST", f"{name}:cancel", {})
    expect(operation["done"] and operation["metadata"]["state"] == "CANCELLED", operation)
    said = await b.update((lease, "ACTIVE"))
    expect([one["state"] for one in said["leases"]] == ["CANCELLED"], said)
    await b.update((lease, "CANCELLED"))
    await b.api.call("DELETE", name)
    await b.fault(404, "name", "GET", name)


@holds("5.6")
async def states_are_streamed(b: Bench) -> None:
    """Watch an operation to its end."""
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
    """Submit and cancel in batches with one bad item each."""
    batch = await b.api.call(
        "POST", "operations:batchSubmit", {"requests": [b.task(), b.task("none"), b.task()]}
    )
    expect(["operation" in one for one in batch["responses"]] == [True, False, True], batch)
    names = [
        batch["responses"][0]["operation"]["name"],
        "operations/none",
        batch["responses"][2]["operation"]["name"],
    ]
    batch = await b.api.call("POST", "operations:batchCancel", {"names": names})
    expect(["operation" in one for one in batch["responses"]] == [True, False, True], batch)


@holds("6.2")
async def a_key_stands_once(b: Bench) -> None:
    """Submit a key that is in use: 409."""
    task = b.task(b.target.keyed)
    lease, _ = await b.standing(task)
    await b.fault(409, "key", "POST", "tasks", task)
    await b.update((lease, "COMPLETED"))


@holds("6.4")
async def what_must_not_start_twice_does_not(b: Bench) -> None:
    """Submit a task that must not start twice again after its end: it fails."""
    task = b.task(b.target.unsafe)
    lease, _ = await b.standing(task)
    await b.update((lease, "COMPLETED"))
    expect((await b.submit(task))["answer"] == "failed", "its key was taken again")
    said = await b.update(wait_s=0.2)
    expect(said["leases"] == [], said)
