"""A machine is cut off while it writes short answers. Every request has to get its final answer in its time all the same."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from kit2 import (TROUBLE, CouldNotRun, Watch, free_port, new_id, platform_config, platform_settings, read_head,
                  read_message, request_bytes, run)

# LATER.md: 32 to 192 MB, 256 to 1,024 descriptors, 200 to 320 requests a second to a balancer.
MEMORY_MB = 32
SOCKETS = 1024
REQUESTS_PER_S = 140
# PROTOCOL: bodies hold at most 64 KiB.
BODY_BYTES = 60_000
# The class confirm of red-sea-guides: it waits on others for 150 to 280 ms, its deadline is 6 s.
DEADLINE_MS = 6000
WAIT_S = 0.25
# DAYS.md: peers are slow, and write in small pieces.
WRITE_S, PIECES = 0.75, 15
# STANDING.md: up to half a second after its time an answer only earns nothing. PROTOCOL: each limit is 50 ms longer.
# The rest is for this script, which writes the last byte before it reads its clock.
LOST_AFTER_S = DEADLINE_MS / 1e3 + 0.5 + 0.05 + 0.15
UPSTREAMS = 5
CUT_AT_S, PLAY_S = 5.0, 9.0


async def play(case):
    record, breaches, counts = case.record, [], {}
    cut, lateness = asyncio.Event(), [0.0]

    def desk_node(number):
        async def handle(reader, writer):
            while True:
                await read_message(reader)
                await asyncio.sleep(WAIT_S)
                if number == 0 and cut.is_set():
                    # It says nothing any more: open connections stay open and silent.
                    await asyncio.sleep(3600)
                writer.write(f"HTTP/1.1 200 OK\r\nContent-Length: {BODY_BYTES}\r\n\r\n".encode())
                for _ in range(PIECES):
                    if number == 0 and cut.is_set():
                        await asyncio.sleep(3600)
                    writer.write(b"a" * (BODY_BYTES // PIECES))
                    await writer.drain()
                    await asyncio.sleep(WRITE_S / PIECES)

        return handle

    ports = [await case.serve(desk_node(number)) for number in range(UPSTREAMS)]
    targets = [
        {"uid": f"s-{k:08x}", "endpoint": f"127.0.0.1:{port}", "az": "cairo-east", "model": "full-core", "pod_group": k,
         "state": "Ready", "capacity_hint": 1.0, "boot_ms": 0}
        for k, port in enumerate(ports)
    ]
    watch = Watch(record, lambda: None)
    discovery, listen = await case.serve(watch.handle), free_port()
    settings = platform_settings("automatic")
    for tenant in settings["parties"]:
        # The site's shares of what one balancer gets here.
        tenant["allowance_per_s"] = 1000.0 * tenant["share"]
    known = {"rev": 41, "all": True, "targets": targets}
    config = platform_config(listen, discovery, known, settings, MEMORY_MB, SOCKETS)
    balancer = case.start_on_platform(config)
    await case.wait_until_ready(listen, balancer)

    async def client():
        correlation_id = new_id()
        reader, writer = await asyncio.open_connection("127.0.0.1", listen)
        more = "Connection: close\r\n"
        writer.write(
            request_bytes("POST", "/confirm", correlation_id, "wadi-gemal-co", DEADLINE_MS, b"b" * BODY_BYTES, more)
        )
        await writer.drain()
        written_at, got, status = time.monotonic(), 0, "no head"

        async def answer():
            nonlocal got, status
            try:
                first, headers = await read_head(reader)
                status = first.split()[1]
                length = int(headers["content-length"])
                while got < length:
                    data = await reader.read(65536)
                    if not data:
                        status += " broken off"
                        return
                    got += len(data)
            except (OSError, EOFError, asyncio.IncompleteReadError):
                status += ", a close"

        try:
            await asyncio.wait_for(answer(), max(0.1, written_at + LOST_AFTER_S - time.monotonic()))
        except asyncio.TimeoutError:
            text = f"{correlation_id} has status {status}, {got} of {BODY_BYTES} bytes and no end {LOST_AFTER_S:.2f} s after its last byte"
            record.write("client", text)
            breaches.append(f"lost: {text}")
            status = "no final answer"
        counts[status] = counts.get(status, 0) + 1
        writer.close()

    async def cut_off():
        await asyncio.sleep(CUT_AT_S)
        if TROUBLE:
            record.write("desk nodes", f"one of {UPSTREAMS} is cut off")
            cut.set()

    tasks, start = [asyncio.ensure_future(cut_off())], time.monotonic()
    for number in range(int(PLAY_S * REQUESTS_PER_S)):
        due = start + number / REQUESTS_PER_S
        lateness[0] = max(lateness[0], time.monotonic() - due)
        tasks.append(asyncio.ensure_future(client()))
        await asyncio.sleep(max(0.0, due + 1 / REQUESTS_PER_S - time.monotonic()))
    await asyncio.gather(*tasks)
    record.write("clients", f"answers: {counts}; this script was late by {lateness[0]:.3f} s at the most")
    if lateness[0] > 1.0:
        raise CouldNotRun("this script could not keep up")
    return breaches


run(FOLDER, play)
