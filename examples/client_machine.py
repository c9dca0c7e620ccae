"""A build machine on the client library: runs each task from `make pullqueue` for one second."""

import asyncio

from weldhatch.client import Api, BuildMachine, Outcome

PROPERTIES = {"cores": "16", "memory": "64", "hall": "hall-a", "rack": "r1"}


async def run(lease):
    print("task started:", lease.payload["key"], flush=True)
    await asyncio.sleep(1)
    return Outcome(result={"length": len(lease.payload["blob"])})


async def main():
    async with Api("http://127.0.0.1:5090") as api:
        await BuildMachine(api, "builder-1", PROPERTIES, run).serve()


if __name__ == "__main__":
    asyncio.run(main())
