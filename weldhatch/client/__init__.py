"""A client library for the pull queue, for submitters and build machines, based on asyncio.

async with Api("https://127.0.0.1:5090", token=..., authority="keys/ca.pem") as api:
    answer = await Submitter(api).submit(Task("import-job", key="7f3a", cores=1, memory=2))
"""

from weldhatch.client.api import Api, ApiError
from weldhatch.client.machine import BuildMachine, Declined, Lease, Outcome
from weldhatch.client.submitter import Answer, Operation, Submitter, Task

__all__ = [
    "Answer",
    "Api",
    "ApiError",
    "BuildMachine",
    "Declined",
    "Lease",
    "Operation",
    "Outcome",
    "Submitter",
    "Task",
]
