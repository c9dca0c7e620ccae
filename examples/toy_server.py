"""A toy server and event bus: the server accepts every task and releases it after TASK_DURATION_S.

python examples/toy_server.py SERVER_PORT BUS_PORT
"""

import asyncio
import sys

from weldhatch.platform import server_codec

TASK_DURATION_S = 2.0


async def serve_dispatcher(reader, writer):
    """Serve one dispatcher's connection: answer probes, accept tasks, release each task when done."""

    def finish_task(tag):
        print(f"server: task {tag.hex()} is done", flush=True)
        writer.write(server_codec.encode(server_codec.RELEASE, tag, {server_codec.CAUSE: b"\x10"}))

    while True:
        try:
            length = int.from_bytes(await reader.readexactly(2), "big")
            data = await reader.readexactly(length)
        except (OSError, asyncio.IncompleteReadError):
            return
        kind, tag = data[0], data[1:9]
        if kind == server_codec.TEST:
            writer.write(
                server_codec.encode(
                    server_codec.TESTED,
                    tag,
                    {server_codec.CAUSE: b"\x01", server_codec.REPORT: b"x0:40;x1:90"},
                )
            )
        elif kind == server_codec.SET_UP:
            print(f"server: task {tag.hex()} is accepted", flush=True)
            parameters = {server_codec.DESCRIPTION: b"hello from the toy server"}
            writer.write(server_codec.encode(server_codec.ANSWER, tag, parameters))
            asyncio.get_running_loop().call_later(TASK_DURATION_S, finish_task, tag)


async def serve_event_bus(reader, writer):
    """Serve an event bus whose server list never changes: one comment per second as a keep-alive."""
    await reader.readuntil(b"\r\n\r\n")
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")
    while not writer.is_closing():
        writer.write(b":\n\n")
        await asyncio.sleep(1)


async def main(server_port, bus_port):
    await asyncio.start_server(serve_dispatcher, "127.0.0.1", server_port)
    await asyncio.start_server(serve_event_bus, "127.0.0.1", bus_port)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main(int(sys.argv[1]), int(sys.argv[2])))
