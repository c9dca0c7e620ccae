"""A submitter on the client library, against `make pullqueue` and `client_machine.py`."""

import asyncio

from weldhatch.client import Api, Submitter, Task


async def main():
    async with Api("http://127.0.0.1:5090") as api:
        submitter = Submitter(api)
        task = Task("match-lookup", key="7f3a", blob="hello", cores=1, memory=2)
        answer = await submitter.submit(task, again_s=20)
        print("answer:", answer.answer, "at", answer.bot_id)
        if answer.placed:
            over = await submitter.wait(answer.name.replace("tasks", "operations"), 20)
            print("the task is", over.state, over.result)


if __name__ == "__main__":
    asyncio.run(main())
