"""A large fleet's whole list comes indented on a new watch and leaves out desk nodes that drain. They may get nothing new."""

import asyncio
import json
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from kit2 import (TROUBLE, CouldNotRun, Watch, free_port, new_id, platform_config, platform_settings, read_message,
                  request_bytes, response_bytes, run)

# STANDING.md: 3,200 at most. LATER.md: 32 to 192 MB, 256 to 1,024 descriptors.
UPSTREAMS = 3200
MEMORY_MB = 32
SOCKETS = 1024
# One of sixteen drains.
DRAINING = 16
# drain_grace_ms of the settings, 50 ms of the sockets, and 0.15 s for what was on its way.
GRACE_S = 0.5 + 0.05 + 0.15
PLAY_S = 16.0
REQUESTS_PER_S = 60


async def play(case):
    record, sends, told = case.record, [], {}

    def desk_node(group):
        async def handle(reader, writer):
            while True:
                await read_message(reader)
                sends.append((record.now(), group))
                writer.write(response_bytes("200 OK", b"free: 2, 3, 5"))
                await writer.drain()

        return handle

    # The nodes of a group share a listener; what counts is whether a node drains.
    draining_port = await case.serve(desk_node("draining"))
    ready_ports = [await case.serve(desk_node("ready")) for _ in range(3)]
    zones = ["cairo-east", "suez", "hurghada", "luxor"]

    def entry(k):
        port = draining_port if k % DRAINING == 0 else ready_ports[k % 3]
        return {
            "uid": f"s-{k * 2654435761 % 2**32:08x}",
            "endpoint": f"127.0.0.1:{port}",
            "az": zones[k % 4],
            "model": "full-core" if k % 5 < 3 else "slow-core",
            "pod_group": k // 4,
            "state": "Ready",
            "capacity_hint": 1.0,
            # Started days ago.
            "boot_ms": 1764000000000 + k,
        }

    entries = [entry(k) for k in range(UPSTREAMS)]
    left = [entry for k, entry in enumerate(entries) if k % DRAINING]
    state = {"drains": False}

    def first_document():
        if not state["drains"]:
            return None
        # Lists may come indented; without the disruption this one comes on one line.
        text = json.dumps({"rev": 42, "all": True, "targets": left}, indent=2 if TROUBLE else None).encode()
        told.setdefault("at", record.now())
        record.write("discovery", f"writes the whole list: {len(left)} targets, {len(text)} bytes")
        return text

    watch = Watch(record, first_document)
    discovery = await case.serve(watch.handle)
    listen = free_port()
    known = {"rev": 41, "all": True, "targets": entries}
    config = platform_config(listen, discovery, known, platform_settings("automatic"), MEMORY_MB, SOCKETS)
    balancer = case.start_on_platform(config)
    await case.wait_until_ready(listen, balancer)

    async def client():
        reader, writer = await asyncio.open_connection("127.0.0.1", listen)
        end = record.now() + PLAY_S
        while record.now() < end:
            correlation_id = new_id()
            writer.write(request_bytes("GET", "/free-days", correlation_id, "wadi-gemal-co", 400))
            _, headers, _ = await read_message(reader)
            if headers.get("connection", "") == "close":
                writer.close()
                reader, writer = await asyncio.open_connection("127.0.0.1", listen)
            await asyncio.sleep(1 / REQUESTS_PER_S)
        writer.close()

    async def drain():
        await asyncio.sleep(4.0)
        state["drains"] = True
        record.write("discovery", f"{UPSTREAMS - len(left)} desk nodes drain; the open watch is reset")
        watch.reset_all()

    await asyncio.gather(client(), drain())
    if "at" not in told:
        raise CouldNotRun("the balancer has not asked again")
    before = sum(1 for at, group in sends if group == "draining" and at <= told["at"])
    late = [at - told["at"] for at, group in sends if group == "draining" and at > told["at"] + GRACE_S]
    for delay in late:
        record.write("desk node", f"draining: a request {delay:.3f} s after the list was written")
    record.write("desk nodes", f"{len(sends)} requests, {before} to draining nodes before, {len(late)} after the grace")
    if not late:
        return []
    return [f"drain: {len(late)} requests to desk nodes that are gone, the last {late[-1]:.3f} s after the list was written"]


run(FOLDER, play)
