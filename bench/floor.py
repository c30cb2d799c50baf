"""Measures the CPU time of a bare HTTP server and a bare HTTP client.

The path benchmark compares the cost of a task with their sum.
"""

import pathlib
import subprocess
import sys

REQUESTS = 4000
CLOCK_TICKS_PER_S = 100

ECHO = """
from twisted.internet import reactor
from twisted.web import resource, server
class Echo(resource.Resource):
    isLeaf = True
    def render_POST(self, request):
        return request.content.read()
site = server.Site(Echo())
site.log = lambda request: None
port = reactor.listenTCP(0, site, interface="127.0.0.1")
print(port.getHost().port, flush=True)
reactor.run()
"""

CLIENT = """
import resource, sys
import httptools
from twisted.internet import protocol, reactor
from twisted.internet.endpoints import TCP4ClientEndpoint
REQUEST = (b"POST /v1/tasks HTTP/1.1\\r\\nhost: w\\r\\n"
           b"content-length: 12\\r\\n\\r\\n" + b'{"run_ms":0}')
remaining = [int(sys.argv[2])]
class Conn(protocol.Protocol):
    def connectionMade(self):
        self.send()
    def send(self):
        self.parser = httptools.HttpResponseParser(self)
        self.transport.write(REQUEST)
    def dataReceived(self, data):
        self.parser.feed_data(data)
    def on_message_complete(self):
        remaining[0] -= 1
        if remaining[0] == 0:
            reactor.stop()
        elif remaining[0] > 0:
            self.send()
factory = protocol.Factory.forProtocol(Conn)
for _ in range(8):
    TCP4ClientEndpoint(reactor, "127.0.0.1", int(sys.argv[1])).connect(factory)
usage = resource.getrusage(resource.RUSAGE_SELF)
before = usage.ru_utime + usage.ru_stime
reactor.run()
usage = resource.getrusage(resource.RUSAGE_SELF)
print(usage.ru_utime + usage.ru_stime - before)
"""


def _cpu_s(pid: int) -> float:
    """Returns the user and system CPU time of a process, in seconds."""
    stat = pathlib.Path(f"/proc/{pid}/stat").read_text()
    # The name of the process, in brackets, may contain spaces.
    fields = stat.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def _run_client(port: int) -> float:
    """Sends all requests to a port; returns the client's CPU time in s."""
    command = [sys.executable, "-c", CLIENT, str(port), str(REQUESTS)]
    completed = subprocess.run(command, capture_output=True, check=True)
    return float(completed.stdout)


def measure_echo_ms(pid: int, port: int) -> float:
    """Returns the CPU time of an echo server per request, in ms.

    Args:
        pid: process that runs `ECHO`.
        port: its port.
    """
    _run_client(port)
    start_s = _cpu_s(pid)
    _run_client(port)
    return (_cpu_s(pid) - start_s) * 1000 / REQUESTS


def measure_client_ms(port: int) -> float:
    """Returns the CPU time of a bare client per request, in ms."""
    return _run_client(port) * 1000 / REQUESTS
