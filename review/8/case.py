"""A bad client sends the id of another client's open request. It may get an error or a close, but no answer."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from kit2 import TROUBLE, free_port, new_id, read_message, request_bytes, response_bytes, run

# The class confirm of red-sea-guides: it waits on others for 150 to 280 ms.
DEADLINE_MS = 6000
WORK_S = 0.28
ROUNDS = 10

CONFIG = """
[listen]
address = "127.0.0.1:{listen}"

[[tenant]]
name = "wadi-gemal-co"

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


async def play(case):
    record, breaches = case.record, []

    async def desk_node(reader, writer):
        while True:
            line, headers, body = await read_message(reader)
            record.write("desk node", f"runs {headers['x-correlation-id']}: {line} {body!r}")
            await asyncio.sleep(WORK_S)
            # The answer made for this request, and for no other.
            writer.write(response_bytes("200 OK", b"confirmed: " + line.split()[1].encode() + b" " + body))
            await writer.drain()

    first, second = await case.serve(desk_node), await case.serve(desk_node)
    listen = free_port()
    config = case.write_file(
        "maplehook.toml", CONFIG.format(listen=listen, deadline=DEADLINE_MS, first=first, second=second)
    )
    balancer = case.start_balancer(f"run --config {config}")
    await case.wait_until_ready(listen, balancer)

    async def ask(who, correlation_id, path, body):
        reader, writer = await asyncio.open_connection("127.0.0.1", listen)
        writer.write(request_bytes("POST", path, correlation_id, "wadi-gemal-co", DEADLINE_MS, body))
        record.write(who, f"sends {correlation_id}: POST {path} {body!r}")
        try:
            status, _, answer = await asyncio.wait_for(read_message(reader), DEADLINE_MS / 1e3 + 0.5)
            status = int(status.split()[1])
        except (OSError, EOFError, asyncio.IncompleteReadError):
            status, answer = 0, b""
        writer.close()
        record.write(who, f"{correlation_id} gets {status or 'a close'} {answer!r}")
        return status, answer

    for number in range(ROUNDS):
        own, other = new_id(), new_id()
        path, body = f"/confirm/walker-{number}", f"card=4000{number:04}".encode()
        bad_path, bad_body = f"/confirm/other-{number}", b"card=none"
        usual = asyncio.ensure_future(ask("client", own, path, body))
        await asyncio.sleep(0.1)
        # Without the disruption the second client sends an id of its own.
        bad = asyncio.ensure_future(ask("bad client", own if TROUBLE else other, bad_path, bad_body))
        status, answer = await usual
        if (status, answer) != (200, b"confirmed: " + path.encode() + b" " + body):
            record.write("client", "has no answer of its own")
        status, answer = await bad
        if TROUBLE and status == 200:
            breaches.append(f"lost: the request with the id {own} of another client's open request is served {answer!r}")
        if not TROUBLE and answer != b"confirmed: " + bad_path.encode() + b" " + bad_body:
            breaches.append(f"lost: {other} gets {status} {answer!r}")
    return breaches


run(FOLDER, play)
