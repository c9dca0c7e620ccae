"""A toy build machine and a submitter for `make pullqueue`: one task from its submission to its end."""

import http.client
import json
import threading
import time

BASE = "/v1test2/"
PROPERTIES = {"cores": "16", "memory": "64", "hall": "hall-a", "rack": "r1"}
TASK = {
    "class": "match-lookup",
    "left": 4000,
    "key": "7f3a9c21e0b4d655",
    "blob": "hello",
    "extras": "cores:1;memory:2;service:00000000b4d65521",
}


def call(method, path, body=None):
    connection = http.client.HTTPConnection("127.0.0.1", 5090, timeout=10)
    connection.request(method, BASE + path, json.dumps(body) if body else None, {"X-Server-Timeout": "1"})
    answer = json.loads(connection.getresponse().read())
    connection.close()
    return answer


def run_machine():
    """Opens a session and runs each offered task for one second."""
    session = call(
        "POST",
        "botSessions",
        {
            "botId": "builder-1",
            "worker": {"properties": [{"key": key, "value": value} for key, value in PROPERTIES.items()]},
        },
    )
    end_times = {}
    while True:
        for lease in session["leases"]:
            if lease["state"] == "PENDING":
                print("machine: task started:", lease["payload"]["key"], flush=True)
                end_times[lease["id"]] = time.monotonic() + 1
        reported = [
            {"id": lease_id, "state": "ACTIVE" if time.monotonic() < end_time else "COMPLETED"}
            for lease_id, end_time in end_times.items()
        ]
        session = call("PATCH", session["name"], {"leases": reported})
        for lease in reported:
            if lease["state"] == "COMPLETED":
                del end_times[lease["id"]]


def main():
    threading.Thread(target=run_machine, daemon=True).start()
    while (answer := call("POST", "tasks", TASK))["answer"] == "refused":
        # A gateway rejects all requests until `settle` seconds after its start.
        print("submitter received:", answer, flush=True)
        time.sleep(answer["waitMs"] / 1000)
    print("submitter received:", answer, flush=True)
    while (state := call("GET", answer["name"])["state"]) == "PLACED":
        pass
    print("task state:", state, flush=True)


if __name__ == "__main__":
    main()
