"""Stand-ins, process control and the record, shared by the cases of this folder. Standard library only."""

import hashlib
import http.client
import json
import os
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time

REVIEW = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(REVIEW)
# An address of the loopback net for each run: at 127.0.0.1 somebody's connection could have a port that is to be bound.
HOST = "127.%d.%d.%d" % (64 | os.getpid() >> 16 & 63, os.getpid() >> 8 & 255, os.getpid() & 255 or 1)


class CannotRun(Exception):
    """The case could not be set up: exit code 2."""


def run_command():
    """The command line `run` of the deploy file."""
    with open(os.path.join(ROOT, "deploy", "balancer.toml")) as file:
        for line in file:
            match = re.match(r'run\s*=\s*"([^"]*)"', line)
            if match:
                return match.group(1)
    raise CannotRun("no `run` in deploy/balancer.toml")


def program_path():
    """The program that `run` names."""
    return os.path.join(ROOT, run_command().split()[-1])


def free_port():
    with socket.socket() as s:
        s.bind((HOST, 0))
        return s.getsockname()[1]


def free_port_both():
    """A port that is free for TCP and UDP."""
    for _ in range(100):
        port = free_port()
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as s:
            try:
                s.bind((HOST, port))
                return port
            except OSError:
                pass
    raise CannotRun("no free port")


class Case:
    """One run of a case: its record, its folder for temporary files, its processes."""

    def __init__(self, folder):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.start = time.monotonic()
        self.lock = threading.Lock()
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.temp = tempfile.mkdtemp(prefix="maplehook-review-")
        self.processes = []
        self.note("case", "begins, TROUBLE=%s" % os.environ.get("TROUBLE", "1"))

    def ms(self):
        return (time.monotonic() - self.start) * 1e3

    def note(self, who, text):
        with self.lock:
            if not self.file.closed:
                self.file.write("%9.1f ms  %-12s %s\n" % (self.ms(), who, text))
                self.file.flush()

    def spawn(self, name, arguments, env=None):
        """Starts `run` of the deploy file with further arguments, by /bin/sh -c from the root."""
        log = open(os.path.join(self.temp, name + ".log"), "ab")
        environment = {k: v for k, v in os.environ.items() if not k.startswith(("NODE_", "MAPLEHOOK_"))}
        environment.update(env or {})
        quoted = " ".join("'%s'" % a for a in arguments)
        process = subprocess.Popen(
            ["/bin/sh", "-c", run_command() + " " + quoted],
            cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        log.close()
        self.processes.append(process)
        self.note(name, "started, pid %d: %s %s" % (
            process.pid, run_command(), " ".join(arguments).replace(self.temp, "$TEMP")))
        return process

    def log_of(self, name):
        with open(os.path.join(self.temp, name + ".log"), errors="replace") as file:
            return file.read()

    def path(self, *parts):
        return os.path.join(self.temp, *parts)

    def write(self, name, text):
        path = self.path(name)
        with open(path + ".new", "w") as file:
            file.write(text)
        os.rename(path + ".new", path)
        return path

    def end(self):
        """Ends all processes that were started, and their children, by their ids. A supervisor goes before its
        children, which it would start again."""
        for process in self.processes:
            if process.poll() is None:
                for pid in [process.pid] + children_of(process.pid):
                    try:
                        os.kill(pid, signal.SIGCONT)
                        os.kill(pid, signal.SIGKILL)
                    except OSError:
                        pass
            process.wait()
        shutil.rmtree(self.temp, ignore_errors=True)


def children_of(pid):
    found = []
    try:
        tasks = os.listdir("/proc/%d/task" % pid)
    except OSError:
        return found
    for task in tasks:
        try:
            with open("/proc/%d/task/%s/children" % (pid, task)) as file:
                for child in file.read().split():
                    found += [int(child)] + children_of(int(child))
        except OSError:
            pass
    return found


def wait_until(condition, seconds, what):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        value = condition()
        if value:
            return value
        time.sleep(0.02)
    raise CannotRun("not within %s s: %s" % (seconds, what))


def receive_head(sock, data=b""):
    while b"\r\n\r\n" not in data:
        more = sock.recv(65536)
        if not more:
            return None, data
        data += more
    head, rest = data.split(b"\r\n\r\n", 1)
    return head.decode("latin-1"), rest


def headers_of(head):
    lines = head.split("\r\n")
    pairs = [line.split(":", 1) for line in lines[1:] if ":" in line]
    return lines[0], {name.strip().lower(): value.strip() for name, value in pairs}


class Upstream:
    """An application: it begins a request when its last byte has come, works for a while and answers 200.

    `ran` holds one line for each request that ran: time, path, idempotency key, id."""

    def __init__(self, case, name, work_s=0.01, port=0):
        self.case, self.name, self.work_s = case, name, work_s
        self.ran, self.lock = [], threading.Lock()
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((HOST, port))
        self.listener.listen(128)
        self.port = self.listener.getsockname()[1]
        self.address = "%s:%d" % (HOST, self.port)
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(sock,), daemon=True).start()

    def work(self, path, headers):
        time.sleep(self.work_s)

    def serve(self, sock):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        data = b""
        try:
            while True:
                head, data = receive_head(sock, data)
                if head is None:
                    return
                line, headers = headers_of(head)
                length = int(headers.get("content-length", "0"))
                while len(data) < length:
                    more = sock.recv(65536)
                    if not more:
                        return
                    data += more
                data = data[length:]
                method, path, _ = line.split(" ", 2)
                if path.startswith("/health"):
                    body = b"ok"
                else:
                    key, tag = headers.get("idempotency-key"), headers.get("x-correlation-id")
                    with self.lock:
                        self.ran.append((self.case.ms(), path, key, tag))
                        number = len(self.ran)
                    self.case.note(self.name, "runs %s %s key=%s id=%s" % (method, path, key, tag))
                    self.work(path, headers)
                    body = json.dumps({"by": self.name, "run": number, "path": path}).encode()
                sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s"
                             % (len(body), body))
        except OSError:
            pass
        finally:
            sock.close()


def call(address, method, path, headers=None, body=None, timeout=10):
    """One request on a connection of its own. Returns status, headers and body; raises OSError without an answer."""
    host, port = address.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        response = connection.getresponse()
        return response.status, {k.lower(): v for k, v in response.getheaders()}, response.read()
    except http.client.HTTPException as error:
        raise OSError("broken answer: %r" % error) from error
    finally:
        connection.close()


def is_ready(address, path="/health/ready"):
    try:
        return call(address, "GET", path, timeout=1)[0] == 200
    except OSError:
        return False


def install_program(folder, tail=b""):
    """Copies the program into a supervisor's directory, under its SHA-256. Another `tail` behind its end makes it
    another program to the supervisor, and the same one to the system."""
    with open(program_path(), "rb") as file:
        content = file.read() + tail
    digest = hashlib.sha256(content).hexdigest()
    path = os.path.join(folder, digest)
    with open(path + ".new", "wb") as file:
        file.write(content)
    os.chmod(path + ".new", 0o755)
    os.rename(path + ".new", path)
    return digest


class Relay:
    """One way between two balancers' tier ports: datagrams go one way, connections both ways. While it is cut nothing
    passes and nothing is said; when it is whole again, connections of before are reset."""

    def __init__(self, target):
        self.target, self.is_cut, self.open, self.lock = target, False, set(), threading.Lock()
        self.port = free_port_both()
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((HOST, self.port))
        self.listener.listen(64)
        self.datagrams = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.datagrams.bind((HOST, self.port))
        self.out = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        threading.Thread(target=self.forward_datagrams, daemon=True).start()
        threading.Thread(target=self.accept, daemon=True).start()

    def forward_datagrams(self):
        while True:
            data, _ = self.datagrams.recvfrom(65536)
            if not self.is_cut:
                try:
                    self.out.sendto(data, (HOST, self.target))
                except OSError:
                    pass

    def accept(self):
        while True:
            caller, _ = self.listener.accept()
            threading.Thread(target=self.connect, args=(caller,), daemon=True).start()

    def connect(self, caller):
        with self.lock:
            self.open.add(caller)
        if self.is_cut:
            return  # It stays open and silent, and is reset at the end of the cut.
        try:
            called = socket.create_connection((HOST, self.target), timeout=5)
        except OSError:
            self.reset(caller)
            return
        called.settimeout(None)
        with self.lock:
            self.open.add(called)
        for ends in ((caller, called), (called, caller)):
            threading.Thread(target=self.pump, args=ends, daemon=True).start()

    def pump(self, source, sink):
        try:
            while True:
                data = source.recv(65536)
                if not data:
                    break
                if self.is_cut:
                    return
                sink.sendall(data)
        except OSError:
            pass
        if not self.is_cut:
            self.reset(source)
            self.reset(sink)

    def reset(self, sock):
        with self.lock:
            self.open.discard(sock)
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        sock.close()

    def cut(self):
        self.is_cut = True

    def heal(self):
        with self.lock:
            before = list(self.open)
        for sock in before:
            self.reset(sock)
        self.is_cut = False


class Tier:
    """Balancers that know each other and agree on versions, from files as an operator writes them."""

    def __init__(self, case, names, contradiction_ms=2000):
        self.case, self.names, self.contradiction_ms = case, names, contradiction_ms
        self.clients = {name: "%s:%d" % (HOST, free_port()) for name in names}
        self.operators = {name: "%s:%d" % (HOST, free_port()) for name in names}
        self.ports = {name: free_port_both() for name in names}
        self.processes, self.relays = {}, {}
        case.write("secret", "sixteen bytes or more of a secret\n")
        for name in names:
            os.mkdir(case.path("state-" + name))

    def relay(self, *pairs):
        """Puts a relay into the way from the first balancer of each pair to the second. Before the files are written."""
        for own, other in pairs:
            self.relays[own, other] = Relay(self.ports[other])

    def peer_address(self, own, other):
        relay = self.relays.get((own, other))
        return "%s:%d" % (HOST, relay.port if relay else self.ports[other])

    def file(self, name, shared, contradiction_ms=None, own=""):
        """The file of one balancer: what is its own, and what all share."""
        peers = "".join('[[tier.peer]]\nname = "%s"\naddress = "%s"\n' % (other, self.peer_address(name, other))
                        for other in self.names if other != name)
        voters = ", ".join('"%s"' % other for other in self.names[:3])
        return """[listen]
address = "%s"
[operator]
address = "%s"
[tier]
name = "%s"
listen = "%s:%d"
secret_file = "%s"
state = "%s"
%s
[agreement]
voters = [%s]
contradiction_ms = %d
%s
%s""" % (self.clients[name], self.operators[name], name, HOST, self.ports[name], self.case.path("secret"),
         self.case.path("state-" + name), peers, voters, contradiction_ms or self.contradiction_ms, own, shared)

    def start(self, name, shared=None, **own):
        if shared is not None:
            self.case.write(name + ".toml", self.file(name, shared, **own))
        self.processes[name] = self.case.spawn(name, ["run", "--config", self.case.path(name + ".toml")])

    def restart(self, name, shared, **own):
        """A planned restart with a file that was changed."""
        process = self.processes[name]
        os.kill(process.pid, signal.SIGTERM)
        self.case.note("operator", "changes the file of %s %s; SIGTERM, and starts it again" % (name, own or ""))
        process.wait(20)
        self.start(name, shared, **own)

    def start_all(self, shared, own=lambda name: ""):
        for name in self.names:
            self.start(name, shared, own=own(name))
        for name in self.names:
            wait_until(lambda: is_ready(self.clients[name]), 20, name + " is ready")
        self.wait_for_version(1)

    def command(self, *arguments):
        """One of the operators' commands. Returns its exit code and what it says."""
        quoted = " ".join("'%s'" % argument for argument in arguments)
        done = subprocess.run(["/bin/sh", "-c", run_command() + " " + quoted], cwd=ROOT, timeout=60,
                              stdin=subprocess.DEVNULL, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True)
        return done.returncode, done.stdout

    def settings(self, name, what, *arguments):
        return self.command("settings", what, *arguments, "--address", self.operators[name])

    def wait_for_version(self, number, names=None):
        """Waits until these balancers say that the version is in force and settled."""
        words = "version %d is in force here (settled)" % number
        for name in names or self.names:
            wait_until(lambda: words in self.settings(name, "status")[1], 30, "%s acts on version %d" % (name, number))
        self.case.note("case", "version %d is in force at %s" % (number, ", ".join(names or self.names)))

    def propose(self, name, shared, *arguments):
        proposal = self.case.write("proposal.toml", self.file(name, shared))
        code, text = self.settings(name, "propose", proposal, "--secret-file", self.case.path("secret"), *arguments)
        self.case.note("operator", "settings propose at %s, exit code %d: %s" % (name, code, text.strip().splitlines()[-1]))
        return code, text


def out_of_time(*_):
    raise CannotRun("it took more than 110 s")


def main(folder, play):
    """Plays a case: `play(case)` returns the list of what broke the rule."""
    case, code = Case(folder), 2
    signal.signal(signal.SIGALRM, out_of_time)
    signal.alarm(110)
    try:
        broken = play(case)
        for line in broken:
            case.note("BROKEN", line)
        code = 1 if broken else 0
    except CannotRun as error:
        case.note("cannot run", str(error))
    except Exception as error:
        case.note("cannot run", "%s: %s" % (type(error).__name__, error))
        import traceback
        traceback.print_exc()
    finally:
        signal.alarm(0)
        if code == 2:
            for name in os.listdir(case.temp):
                if name.endswith(".log"):
                    for line in case.log_of(name[:-4]).splitlines()[-20:]:
                        case.note(name, line)
        case.end()
        case.note("case", {0: "the rule held", 1: "the rule was broken", 2: "could not run"}[code])
        case.file.close()
    sys.exit(code)
