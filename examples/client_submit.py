"""A submitter on the client library: hands one task to `make pullqueue`; `client_machine.py` runs it."""

import asyncio

from weldhatch.client import Api, Submitter, Task


async def main():
    async with Api("http://127.0.0.1:5090") as api:
        submitter = Submitter(api)
        task = Task("match-lookup", key="7f3a", blob="hello", cores=1, memory=2)
        answer = await submitter.submit(task, again_s=20)
        print("answer:", answer.answer, "at", answer.bot_id)
        if answer.placed:
            operation = await submitter.wait(answer.name.replace("tasks", "operations"), 20)
            print("task state:", operation.state, operation.result)


if __name__ == "__main__":
    asyncio.run(main())
