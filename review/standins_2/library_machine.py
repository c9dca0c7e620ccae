"""A build machine on the project's client library, as a process: URL, name, seconds of a poll.

Each task runs as long as its `blob` says: `run SECONDS`, or `fail SECONDS CHARACTERS` for one that ends with an
error whose text has so many characters.
"""

import asyncio
import sys

from weldhatch.client import Api, BuildMachine, Outcome

PROPERTIES = {"cores": "16", "memory": "64", "hall": "hall-a", "rack": "r1"}


async def run(lease):
    """Run one task."""
    key, words = lease.payload["key"], lease.payload["blob"].split()
    print(f"STARTS {lease.payload['class']} {key} by {lease.id}", flush=True)
    try:
        await asyncio.sleep(float(words[1]))
    except asyncio.CancelledError:
        print(f"STOPPED {key} before its end", flush=True)
        raise
    print(f"ENDS {key}", flush=True)
    if words[0] == "fail":
        raise RuntimeError("e" * int(words[2]))
    return Outcome(result={"made": key})


async def main():
    """Serve until the process is ended."""
    address, name, poll_s = sys.argv[1:]
    async with Api(address) as api:
        await BuildMachine(api, name, PROPERTIES, run, poll_s=float(poll_s)).serve()


if __name__ == "__main__":
    asyncio.run(main())
