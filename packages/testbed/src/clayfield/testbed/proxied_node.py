"""Runs clayfield-node behind a `clayfield.testbed.proxy.Proxy`.

The node announces its address of `--peers`, where the proxy accepts
connections, and listens at the port given by `INNER_PORT`. It opens its
connections from its own IP address, by which the proxy knows it.
"""

import os
import sys

from twisted.internet import reactor

INNER_PORT = "TESTBED_INNER_PORT"


def main() -> None:
    """Redirects the sockets of the node, then runs it."""
    flag = next(item for item in sys.argv if item.startswith("--peers="))
    host, _, port = flag.removeprefix("--peers=").rpartition(":")
    inner_port = int(os.environ[INNER_PORT])
    listen_tcp = reactor.listenTCP
    connect_tcp = reactor.connectTCP

    def listen(number: int, factory: object, **options: object) -> object:
        is_announced = number == int(port)
        return listen_tcp(
            inner_port if is_announced else number, factory, **options
        )

    def connect(
        target: str,
        number: int,
        factory: object,
        timeout: float = 30,
        bindAddress: object = None,  # noqa: N803 - twisted's name
    ) -> object:
        return connect_tcp(
            target, number, factory, timeout, bindAddress or (host, 0)
        )

    reactor.listenTCP = listen
    reactor.connectTCP = connect
    from clayfield.node.main import main as run_node

    run_node()


if __name__ == "__main__":
    main()
