"""The floor that the path is compared with."""

import pathlib
import subprocess
import sys

REQUESTS = 4000
TICKS_PER_S = 100

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
left = [int(sys.argv[2])]
class Conn(protocol.Protocol):
    def connectionMade(self):
        self.send()
    def send(self):
        self.parser = httptools.HttpResponseParser(self)
        self.transport.write(REQUEST)
    def dataReceived(self, data):
        self.parser.feed_data(data)
    def on_message_complete(self):
        left[0] -= 1
        if left[0] == 0:
            reactor.stop()
        elif left[0] > 0:
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
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text()
    parts = fields.rpartition(")")[2].split()
    return (int(parts[11]) + int(parts[12])) / TICKS_PER_S


def _drive(port: int) -> float:
    command = [sys.executable, "-c", CLIENT, str(port), str(REQUESTS)]
    done = subprocess.run(command, capture_output=True, check=True)
    return float(done.stdout)


def measure_echo_ms(pid: int, port: int) -> float:
    """Returns the CPU that a bare twisted.web server takes a request."""
    _drive(port)
    before = _cpu_s(pid)
    _drive(port)
    return (_cpu_s(pid) - before) * 1000 / REQUESTS


def measure_client_ms(port: int) -> float:
    """Returns the CPU that a bare client takes a request."""
    return _drive(port) * 1000 / REQUESTS
