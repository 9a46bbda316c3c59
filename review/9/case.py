"""A client leaves while its confirmation waits for a machine that has vanished. Nothing may begin for it after that."""

import asyncio
import os
import socket
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from kit2 import TROUBLE, CouldNotRun, free_port, new_id, read_message, request_bytes, response_bytes, run

# The class confirm of red-sea-guides.
DEADLINE_MS = 6000
# A client that leaves early, as on most of the days.
LEAVES_AFTER_S = 0.5
# STANDING.md: an attempt that begins more than 0.1 s after the close is a break. What is seen here is its last byte.
GRACE_S = 0.1
# PROTOCOL: each time limit is 50 ms longer on sockets.
SLACK_S = 0.05
REQUESTS = 12

CONFIG = """
[listen]
address = "127.0.0.1:{listen}"

[balancer]
# As deploy/maplehook.toml shows it.
connect_timeout_ms = 1000

[[class]]
name = "confirm"
path = "/confirm/**"
methods = ["POST"]
effect = "at_most_once"
deadline_ms = {deadline}

[[upstream]]
name = "desk-1"
address = "127.0.0.1:{first}"

[[upstream]]
name = "desk-2"
address = "127.0.0.1:{second}"
"""


class VanishedMachine:
    """Connections to it never come up: its queue of connections is full, and nobody accepts."""

    def __init__(self):
        self.listener = socket.socket()
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(0)
        self.port = self.listener.getsockname()[1]
        self.fillers = []

    def fill(self):
        for _ in range(4):
            filler = socket.socket()
            filler.setblocking(False)
            try:
                filler.connect(("127.0.0.1", self.port))
            except BlockingIOError:
                pass
            self.fillers.append(filler)

    async def is_silent(self):
        """Whether a further connection does not come up."""
        try:
            _, writer = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", self.port), 0.5)
        except asyncio.TimeoutError:
            return True
        except OSError:
            return False
        writer.close()
        return False

    def close(self):
        for filler in self.fillers:
            filler.close()
        self.listener.close()


async def play(case):
    record, runs, closes, breaches = case.record, {}, {}, []

    async def desk_node(reader, writer):
        while True:
            _, headers, _ = await read_message(reader)
            correlation_id = headers["x-correlation-id"]
            runs[correlation_id] = record.now()
            record.write("desk node", f"begins {correlation_id}, time left {headers.get('x-time-left-ms')} ms")
            await asyncio.sleep(0.02)
            writer.write(response_bytes("200 OK", b"confirmed " + correlation_id.encode()))
            await writer.drain()

    vanished = VanishedMachine()
    second = await case.serve(desk_node)
    first = vanished.port if TROUBLE else await case.serve(desk_node)
    if TROUBLE:
        vanished.fill()
        if not await vanished.is_silent():
            raise CouldNotRun("connections to the machine that has vanished come up")
    listen = free_port()
    config = case.write_file(
        "maplehook.toml", CONFIG.format(listen=listen, deadline=DEADLINE_MS, first=first, second=second)
    )
    balancer = case.start_balancer(f"run --config {config}")
    await case.wait_until_ready(listen, balancer)

    async def client():
        correlation_id = new_id()
        reader, writer = await asyncio.open_connection("127.0.0.1", listen)
        writer.write(request_bytes("POST", "/confirm", correlation_id, "wadi-gemal-co", DEADLINE_MS, b"deposit=40"))
        record.write("client", f"sends {correlation_id}")
        try:
            status, _, body = await asyncio.wait_for(read_message(reader), LEAVES_AFTER_S)
            record.write("client", f"{correlation_id} is answered {status} {body!r}")
        except asyncio.TimeoutError:
            closes[correlation_id] = record.now()
            record.write("client", f"{correlation_id} is given up: the connection is closed")
        writer.close()

    for _ in range(REQUESTS):
        await client()
        await asyncio.sleep(0.8)
    await asyncio.sleep(1.5)
    if TROUBLE and not closes:
        raise CouldNotRun("no request went to the machine that has vanished first")
    for correlation_id, closed_at in closes.items():
        began_at = runs.get(correlation_id)
        if began_at is not None and began_at > closed_at + GRACE_S + SLACK_S:
            breaches.append(
                f"lost: {correlation_id} begins {began_at - closed_at:.3f} s after its client has closed its connection"
            )
    vanished.close()
    return breaches


run(FOLDER, play)
