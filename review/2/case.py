"""A supervised balancer is ended as planned (SIGTERM to its supervisor) while clients go on connecting."""

import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from common import *  # noqa: E402

# Clients' new connections "go on coming for 0.2 to 0.4 s" after SIGTERM (PROTOCOL); the balancer takes them
# for 0.6 s (PROXY). Only requests on connections of the first 0.4 s are judged.
COMING_S = 0.4
DEADLINE_MS = 6000


class Client:
    """Sends one confirmation on a new connection. If that is closed without an answer it sends the request once
    more on another connection, as PROTOCOL says."""

    def __init__(self, case, address, number):
        self.case, self.address, self.number = case, address, number
        self.name = "client-%d" % number
        self.began, self.written, self.answer, self.how = None, False, None, ""
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def attempt(self, wait):
        sock = socket.create_connection((HOST, int(self.address.split(":")[1])), timeout=wait)
        try:
            self.began = self.began or time.monotonic()
            body = b'{"guide": 7}'
            sock.sendall((
                "POST /confirm HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: c%04d\r\nX-Account: qattar-walks\r\n"
                "X-Time-Left-Ms: %d\r\nContent-Length: %d\r\n\r\n" % (self.number, DEADLINE_MS, len(body))
            ).encode() + body)
            self.written = True
            self.case.note(self.name, "sent whole, on an open connection")
            response = http.client.HTTPResponse(sock)
            response.begin()
            response.read()
            return response.status
        finally:
            sock.close()

    def run(self):
        end = time.monotonic() + DEADLINE_MS / 1e3
        for number in (1, 2):
            try:
                self.answer = self.attempt(max(0.1, end - time.monotonic()))
                self.case.note(self.name, "answered %d" % self.answer)
                return
            except (OSError, http.client.HTTPException) as error:
                self.how += "%s%s" % (", then " if self.how else "", type(error).__name__)
                self.case.note(self.name, "try %d: no answer: %r" % (number, error))


def play(case):
    # A confirmation works 64 to 120 ms and waits 150 to 280 ms for others (BRIEF, 5).
    desks = [Upstream(case, "desk-%d" % n, work_s=0.36) for n in (1, 2)]
    address, operators = "%s:%d" % (HOST, free_port()), "%s:%d" % (HOST, free_port())
    os.mkdir(case.path("programs"))
    program = install_program(case.path("programs"))
    listed = "".join('[[upstream]]\nname = "%s"\naddress = "%s"\n' % (d.name, d.address) for d in desks)
    config = case.write("balancer.toml", """
[listen]
address = "%s"
[operator]
address = "%s"
[[tenant]]
name = "wadi-gemal-co"
allowance_per_s = 40.0
[[tenant]]
name = "qattar-walks"
allowance_per_s = 13.0
[[class]]
name = "confirm"
path = "/confirm/**"
methods = ["POST"]
effect = "at_most_once"
deadline_ms = %d
aim_ms = 2000
%s
[supervise]
programs = "%s"
state = "%s"
program = "%s"
""" % (address, operators, DEADLINE_MS, listed, case.path("programs"), case.path("state"), program))
    supervisor = case.spawn("maplehook", ["supervise", "--config", config])
    wait_until(lambda: is_ready(address), 20, "the balancer is ready")

    clients, ended_at = [], None
    begin = time.monotonic()
    # A client each 50 ms; the supervisor gets SIGTERM after 1 s.
    while time.monotonic() - begin < 1.0 + COMING_S:
        if ended_at is None and time.monotonic() - begin >= 1.0:
            ended_at = time.monotonic()
            if case.trouble:
                os.kill(supervisor.pid, signal.SIGTERM)
                case.note("case", "SIGTERM to the supervisor, pid %d" % supervisor.pid)
        clients.append(Client(case, address, len(clients)))
        time.sleep(0.05)
    for client in clients:
        client.thread.join(2 * DEADLINE_MS / 1e3)
    if case.trouble:
        code = supervisor.wait(20)
        case.note("case", "the supervisor ended with %s" % code)

    broken = []
    for client in clients:
        late = client.began is not None and client.began > ended_at
        if client.written and client.answer is None:
            broken.append("%s (connected %s SIGTERM): its request was written whole to an accepted connection and "
                          "never answered: %s" % (client.name, "after" if late else "before", client.how))
    answered = sum(client.answer is not None for client in clients)
    case.note("case", "%d requests, %d answered, %d accepted and never answered"
              % (len(clients), answered, len(broken)))
    if answered == 0:
        raise CannotRun("nothing was answered at all")
    return broken


main(FOLDER, play)
