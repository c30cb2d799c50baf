"""Tests of nodes whose ports are in use by other sockets."""

import json
import socket
import struct
import subprocess
import sys

import pytest
from twisted.internet.epollreactor import EPollReactor

from clayfield.node.streams import StreamListener, Streams
from clayfield.testbed.processes import free_port, wait_for
from clayfield.wire.cluster import NodeGreeting

LOOPBACK = "127.0.0.1"
TIMEOUT_S = 5.0
ATTEMPTS = 3


class _Connections(StreamListener):
    """Records the names of the nodes that connected."""

    def __init__(self):
        self.nodes = []

    def on_connected(self, greeting):
        self.nodes.append(greeting.node)

    def on_stream_lost(self, greeting):
        pass

    def on_disconnected(self, node):
        pass

    def on_data(self, node, is_in_message):
        pass

    def on_messages(self, node, messages):
        pass


class _SamePortReactor(EPollReactor):
    """Opens each connection from the port that it goes to.

    The system makes this choice by chance for a port in its range for
    outgoing connections.
    """

    def __init__(self):
        super().__init__()
        self.attempts = 0

    def connectTCP(self, host, port, factory, timeout=30, bindAddress=None):  # noqa: N802, N803
        self.attempts += 1
        if self.attempts > ATTEMPTS:
            self.stop()
        return super().connectTCP(host, port, factory, timeout, (host, port))


def _run(reactor):
    """Runs a reactor until it is stopped, for `TIMEOUT_S` at most."""
    reactor.callLater(TIMEOUT_S, reactor.stop)
    reactor.run(installSignalHandlers=False)


def _streams(reactor, listener):
    node = f"{LOOPBACK}:{free_port()}/1"
    return Streams(
        reactor, NodeGreeting("clayfield", node, "control", "hall"), listener
    )


def test_connection_to_itself_neither_counts_as_peer_nor_keeps_the_port():
    reactor = _SamePortReactor()
    listener = _Connections()
    streams = _streams(reactor, listener)
    streams.start()
    streams.connect(f"{LOOPBACK}:{free_port()}")
    _run(reactor)
    assert listener.nodes == []
    assert reactor.attempts > ATTEMPTS


class _PortInUse:
    """A port that is the local end of an open connection until `close`."""

    def __init__(self):
        self.port = free_port()
        self._server = socket.create_server((LOOPBACK, 0))
        self._conn = socket.create_connection(
            self._server.getsockname(), source_address=(LOOPBACK, self.port)
        )
        # Without this, the port would stay in use for the TIME_WAIT period.
        no_wait = struct.pack("ii", 1, 0)
        self._conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, no_wait)

    def close(self):
        self._conn.close()
        self._server.close()


class _Node:
    """A clayfield-node process with one port that is in use."""

    def __init__(self, folder, role, taken, port):
        self.log = folder / "log"
        ports = {name: free_port() for name in (*ROLES[role], "seeds")}
        ports[taken] = port
        flags = [f"--{name}={LOOPBACK}:{ports[name]}" for name in ports]
        with open(self.log, "wb") as log:
            self.process = subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    "clayfield.node.main",
                    role,
                    "--node=node",
                    f"--data-folder={folder / 'data'}",
                    *flags,
                ],
                stdout=log,
                stderr=log,
            )

    def __enter__(self):
        return self

    def __exit__(self, *error):
        self.process.kill()
        self.process.wait(TIMEOUT_S)

    def events(self):
        return [
            json.loads(line)["name"]
            for line in self.log.read_text().split("\n")
            if line.startswith("{")
        ]


def _accepts(port):
    with socket.socket() as sock:
        return sock.connect_ex((LOOPBACK, port)) == 0


ROLES = {
    "entry": ("peers", "callers", "readiness", "metrics"),
    "control": ("peers", "operators", "metrics"),
}


@pytest.mark.parametrize(
    ("role", "taken"),
    [(role, name) for role, names in ROLES.items() for name in names],
)
def test_node_whose_port_is_in_use_listens_once_the_port_is_free(
    tmp_path, role, taken
):
    used = _PortInUse()
    with _Node(tmp_path, role, taken, used.port) as node:
        try:
            wait_for(lambda: "NODE_STARTED" in node.events(), "started")
            assert "ADDRESS_IN_USE" in node.events()
        finally:
            used.close()
        wait_for(lambda: _accepts(used.port), "listens")
        assert node.process.poll() is None


def test_port_of_a_test_lies_outside_the_range_for_outgoing_connections():
    with open("/proc/sys/net/ipv4/ip_local_port_range") as file:
        first, last = map(int, file.read().split())
    assert all(not first <= free_port() <= last for _ in range(50))
