"""A desk node is marked out of service in the registry and then deregisters. It may get nothing new from then on."""

import asyncio
import json
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from kit2 import TROUBLE, CouldNotRun, free_port, new_id, read_head, read_message, request_bytes, response_bytes, run

# GROWTH.md and the brief: nothing new later than 500 ms; 50 ms more on sockets, and 0.15 s for what was on its way.
GRACE_S = 0.5 + 0.05 + 0.15
MARKED_AT_S = 4.0
DEREGISTERED_AT_S = 7.0
PLAY_S = 14.0
REQUESTS_PER_S = 50
DESK_NODES = ["desk-1", "desk-2", "desk-3"]

CONFIG = """
[listen]
address = "127.0.0.1:{listen}"

[eureka]
servers = ["127.0.0.1:{registry}"]
app = "DESKS"
reach = ["127.0.0.0/8"]

[[class]]
name = "free-days"
path = "/free-days/**"
methods = ["GET"]
effect = "idempotent"
deadline_ms = 400

[[class]]
name = "confirm"
path = "/confirm/**"
methods = ["POST"]
effect = "at_most_once"
deadline_ms = 6000
"""

# For a start while the registry is out of order (docs/EUREKA.md).
UPSTREAM = """
[[upstream]]
name = "{name}"
address = "127.0.0.1:{port}"
"""


class Registry:
    """One application of a Eureka registry, by its published REST API: GET /eureka/apps/DESKS in JSON."""

    def __init__(self, record, ports):
        self.record, self.ports = record, ports
        self.status = {name: "UP" for name in ports}
        self.changed = {name: 1764000000000 for name in ports}
        self.told_at = None

    def mark(self, name, status):
        self.status[name] = status
        self.changed[name] += 1000
        self.record.write("registry", f"{name} is {status}")

    def deregister(self, name):
        del self.status[name]
        self.record.write("registry", f"{name} has deregistered")

    def document(self):
        instances = [
            {
                "instanceId": name, "app": "DESKS", "hostName": "127.0.0.1", "ipAddr": "127.0.0.1", "status": status,
                "overriddenstatus": status if status == "OUT_OF_SERVICE" else "UNKNOWN",
                "port": {"$": self.ports[name], "@enabled": "true"}, "securePort": {"$": 443, "@enabled": "false"},
                "vipAddress": "desks", "metadata": {}, "leaseInfo": {"renewalIntervalInSecs": 30, "durationInSecs": 90},
                "lastUpdatedTimestamp": str(self.changed[name]), "lastDirtyTimestamp": str(self.changed[name]),
                "actionType": "MODIFIED",
            }
            for name, status in self.status.items()
        ]
        return json.dumps({"application": {"name": "DESKS", "instance": instances}}).encode()

    async def handle(self, reader, writer):
        while True:
            line, _ = await read_head(reader)
            if line.split()[1] == "/eureka/apps/DESKS":
                writer.write(response_bytes("200 OK", self.document(), "Content-Type: application/json\r\n"))
                if self.told_at is None and self.status.get("desk-1") != "UP":
                    self.told_at = self.record.now()
                    self.record.write("registry", "tells the balancer for the first time that desk-1 is OUT_OF_SERVICE")
            else:
                writer.write(response_bytes("404 Not Found", b""))
            await writer.drain()


async def play(case):
    record, sends = case.record, []

    def desk_node(name):
        async def handle(reader, writer):
            while True:
                line, headers, _ = await read_message(reader)
                sends.append((record.now(), name, f"{line.split()[0]} {headers['x-correlation-id']}"))
                writer.write(response_bytes("200 OK", b"served by " + name.encode()))
                await writer.drain()

        return handle

    # desk-1 goes on answering: it finishes what it has, and its process ends later.
    ports = {name: await case.serve(desk_node(name)) for name in DESK_NODES}
    registry = Registry(record, ports)
    listen = free_port()
    text = CONFIG.format(listen=listen, registry=await case.serve(registry.handle))
    text += "".join(UPSTREAM.format(name=name, port=port) for name, port in ports.items())
    balancer = case.start_balancer(f"run --config {case.write_file('maplehook.toml', text)}")
    await case.wait_until_ready(listen, balancer)

    async def client():
        reader, writer = await asyncio.open_connection("127.0.0.1", listen)
        end, number = record.now() + PLAY_S, 0
        while record.now() < end:
            number += 1
            if number % 5:
                writer.write(request_bytes("GET", "/free-days", new_id(), "wadi-gemal-co", 400))
            else:
                writer.write(request_bytes("POST", "/confirm", new_id(), "wadi-gemal-co", 6000, b"deposit=40"))
            await read_message(reader)
            await asyncio.sleep(1 / REQUESTS_PER_S)
        writer.close()

    async def operator():
        await asyncio.sleep(MARKED_AT_S)
        registry.mark("desk-1", "OUT_OF_SERVICE")
        await asyncio.sleep(DEREGISTERED_AT_S - MARKED_AT_S)
        if TROUBLE:
            registry.deregister("desk-1")

    await asyncio.gather(client(), operator())
    if registry.told_at is None:
        raise CouldNotRun("the registry was not asked")
    counts = {name: sum(1 for send in sends if send[1] == name) for name in ports}
    record.write("desk nodes", f"requests in all: {counts}")
    late = [send for send in sends if send[1] == "desk-1" and send[0] > registry.told_at + GRACE_S]
    for at, name, what in late:
        record.write(name, f"{what} at {at:.3f}, {at - registry.told_at:.3f} s after the balancer was told")
    if not late:
        return []
    first, last = late[0][0] - registry.told_at, late[-1][0] - registry.told_at
    return [f"drain: {len(late)} requests to desk-1 from {first:.3f} to {last:.3f} s after the balancer was told"]


run(FOLDER, play)
