"""Shared parts of cases 6 to 10: processes, HTTP messages, stand-ins and the record."""

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import shutil

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
TIME_LIMIT_S = 100.0
LONGEST_MESSAGE = 1 << 20


class CouldNotRun(Exception):
    """The case could not be played; says nothing about the rule."""


class Record:
    """What was sent, answered and run, as lines with the seconds since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def write(self, who, text):
        self.file.write(f"{self.now():9.3f}  {who:<12} {text}\n")
        self.file.flush()


class Case:
    """One run: a private folder, the processes that were started, and the servers."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.directory = tempfile.mkdtemp(prefix="maplehook-review-")
        self.processes = []
        self.servers = []

    def write_file(self, name, text):
        path = os.path.join(self.directory, name)
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        return path

    def start_balancer(self, arguments="", environment=None):
        """Starts the program by the line `run` of the deploy file, with arguments behind it."""
        program = os.path.join(ROOT, "target", "release", "maplehook")
        if not os.access(program, os.X_OK):
            raise CouldNotRun("target/release/maplehook is not built")
        log = open(os.path.join(self.directory, f"balancer-{len(self.processes)}.log"), "wb")
        process = subprocess.Popen(
            ["/bin/sh", "-c", f"exec target/release/maplehook {arguments}"],
            cwd=ROOT,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
            env={**os.environ, "TMPDIR": self.directory, **(environment or {})},
        )
        process.log_path = log.name
        log.close()
        self.processes.append(process)
        return process

    def start_on_platform(self, config):
        path = self.write_file("config.json", json.dumps(config))
        return self.start_balancer(
            environment={
                "NODE_NAME": config["name"],
                "NODE_LISTEN": config["listen"],
                "NODE_DISCOVERY": config["discovery"],
                "NODE_CONFIG": path,
            }
        )

    async def serve(self, handler):
        """Serves connections on a free loopback port and returns the port."""

        async def handle(reader, writer):
            try:
                await handler(reader, writer)
            except (OSError, EOFError, asyncio.IncompleteReadError, ValueError):
                pass
            finally:
                writer.close()

        server = await asyncio.start_server(handle, "127.0.0.1", 0, limit=LONGEST_MESSAGE)
        self.servers.append(server)
        return server.sockets[0].getsockname()[1]

    async def wait_until_ready(self, port, process):
        for _ in range(150):
            if process.poll() is not None:
                raise CouldNotRun(f"the balancer ended with {process.returncode}: {read_tail(process)}")
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.write(b"GET /health/ready HTTP/1.1\r\nHost: front\r\nConnection: close\r\n\r\n")
                status, _, _ = await read_message(reader)
                writer.close()
                if status.split()[1] == "200":
                    return
            except (OSError, EOFError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.1)
        raise CouldNotRun(f"the balancer is not ready: {read_tail(process)}")

    def end(self):
        for process in self.processes:
            if process.poll() is None:
                process.kill()
            process.wait()
        for server in self.servers:
            server.close()
        shutil.rmtree(self.directory, ignore_errors=True)


def read_tail(process):
    with open(process.log_path, encoding="utf-8", errors="replace") as file:
        return " | ".join(file.read().splitlines()[-3:])


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def new_id():
    return os.urandom(8).hex()


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin1").split("\r\n")
    fields = dict(line.split(":", 1) for line in lines if ":" in line)
    return first, {name.strip().lower(): value.strip() for name, value in fields.items()}


async def read_message(reader):
    """Reads a request, or a response with a stated length or in chunks."""
    first, headers = await read_head(reader)
    body = b""
    if "chunked" in headers.get("transfer-encoding", ""):
        while True:
            length = int((await reader.readline()).split(b";")[0], 16)
            if length == 0:
                while (await reader.readline()).strip():
                    pass
                break
            body += await reader.readexactly(length)
            await reader.readexactly(2)
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return first, headers, body


def request_bytes(method, path, correlation_id, account, time_left_ms, body=b"", more=""):
    """A request in the form of the protocol page."""
    length = f"Content-Length: {len(body)}\r\n" if method == "POST" else ""
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: {correlation_id}\r\n"
        f"X-Account: {account}\r\nX-Time-Left-Ms: {time_left_ms}\r\n{more}{length}\r\n"
    )
    return head.encode() + body


def response_bytes(status, body, headers=""):
    return f"HTTP/1.1 {status}\r\n{headers}Content-Length: {len(body)}\r\n\r\n".encode() + body


def platform_settings(discovery):
    """The example of the wire page for the site red-sea-guides, with one balancer."""
    return {
        "balancers": 1,
        "classes": [
            {"aim_ms": 200.0, "dedup_scope": "all", "effect": "idempotent", "hard_limit_ms": 400.0,
             "key_ttl_ms": 5000.0, "late_worth": 0.25, "name": "free-days", "streamed": False, "worth": 1.0},
            {"aim_ms": 2000.0, "dedup_scope": "all", "effect": "at_most_once", "hard_limit_ms": 6000.0,
             "key_ttl_ms": 5000.0, "late_worth": 0.5, "name": "confirm", "streamed": False, "worth": 1.0},
            {"aim_ms": 300.0, "dedup_scope": "all", "effect": "at_most_once", "hard_limit_ms": 750.0,
             "key_ttl_ms": 5000.0, "late_worth": 0.5, "name": "hold-day", "streamed": False, "worth": 1.0},
        ],
        "clients": {"marks_retry": False},
        "discovery": discovery,
        "extra": {"warm_keys": False},
        "failure_domains": ["cairo-east", "suez", "hurghada", "luxor"],
        "goal": {"whole": 0.4, "worst_class": 0.1, "worst_tenant": 0.4, "worst_window": 0.1},
        "guarantees": {"answer_slack_ms": 8.0, "ask_every_ms": 10000.0, "cold_from": 0.13, "cold_ms": 21000.0,
                       "drain_grace_ms": 500.0, "fall_multiple": 3.0, "overload_for_ms": 1500.0},
        "kind_of_service": "proxy",
        "limits": {"cancelling": True, "conn_idle_ms": 5000.0, "connect_timeout_ms": 100.0,
                   "cpu_us_per_request": 0.0, "cpu_us_per_s": 500000, "max_retry_after_ms": 2000.0,
                   "max_streams": 1, "may_probe": True, "most_held": 20000, "peers": False,
                   "retry_after": False, "second_copies": True, "try_limit": 5},
        "locality": 0,
        "me": 0,
        "over_share_worth": 0.05,
        "parties": [
            {"allowance_per_s": 40.0, "name": "wadi-gemal-co", "share": 0.4343434343434343},
            {"allowance_per_s": 13.0, "name": "shayeb-guides", "share": 0.1414141414141414},
            {"allowance_per_s": 13.0, "name": "abu-dahr-co", "share": 0.1414141414141414},
            {"allowance_per_s": 13.0, "name": "qattar-walks", "share": 0.1414141414141414},
            {"allowance_per_s": 13.0, "name": "umm-anab-co", "share": 0.1414141414141414},
        ],
        "prices": {"connection": 0.08, "cross_zone": 0.02, "discovery": 0.0, "handshake": 0.08,
                   "late_fail": 0.08, "moves": 0.0, "origin": 0.0, "peer": 0.0, "probe": 0.01, "waste": 0.02},
        "skus": ["full-core", "slow-core"],
        "telemetry": {"fields": ["depth"], "how": "on_probe"},
        "tick_ms": 2.0,
        "tier": 0,
        "tiers": ["guide-desk"],
        "weight_kind": "nominal",
        "worth_by": "request",
    }


def platform_config(listen, discovery_port, known, settings, memory_mb=192, sockets=1024):
    return {
        "name": "n0",
        "listen": f"127.0.0.1:{listen}",
        "discovery": f"127.0.0.1:{discovery_port}",
        "seed": os.urandom(8).hex(),
        "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
        "known": known,
        "settings": settings,
    }


class Watch:
    """Stand-in of discovery: the watch of the protocol page. `first` gives the first document of a watch, or None."""

    def __init__(self, record, first):
        self.record, self.first, self.open = record, first, []

    async def handle(self, reader, writer):
        line, _ = await read_head(reader)
        self.record.write("discovery", f"asked: {line}")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.open.append(writer)
        document = self.first()
        self.send(writer, b"\n" if document is None else document + b"\n")
        while True:
            await writer.drain()
            await asyncio.sleep(2.0)
            self.send(writer, b"\n")

    @staticmethod
    def send(writer, data):
        writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")

    def reset_all(self):
        for writer in self.open:
            writer.transport.abort()
        self.open.clear()


def run(folder, play):
    """Plays a case; `play` returns the breaches that were seen. Exits with 1, 0 or 2."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    case = Case(folder)
    case.record.write("case", "with the disruption" if TROUBLE else "without the disruption")
    code = 2
    try:
        loop = asyncio.new_event_loop()
        loop.set_exception_handler(lambda *_: None)
        breaches = loop.run_until_complete(asyncio.wait_for(play(case), TIME_LIMIT_S))
        for breach in breaches:
            case.record.write("BROKEN", breach)
        code = 1 if breaches else 0
    except (CouldNotRun, OSError, EOFError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
        case.record.write("case", f"could not run: {error!r}")
    finally:
        case.end()
        case.record.write("case", {0: "the rule held", 1: "the rule was broken", 2: "could not run"}[code])
    sys.stdout.flush()
    os._exit(code)
