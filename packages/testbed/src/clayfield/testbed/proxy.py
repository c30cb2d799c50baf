"""A TCP proxy between the nodes of a site, which disturbs their links.

Each node has an IP address of its own. The proxy accepts connections at the
addresses that nodes announce; the source address of a connection names the
node that opened it.
"""

import asyncio
import collections
import contextlib
import socket
import struct
import threading
import time

CHUNK_BYTES = 16_384
# Small buffers, so that data that a link holds back waits at its sender.
SOCKET_BUFFER_BYTES = 65_536
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
POLL_S = 0.01
Address = tuple[str, int]


class Link:
    """The condition of a link in one direction.

    Attributes:
        delay_s: time that each chunk is held back, in s.
        bytes_per_s: rate limit, 0 for none.
        is_silent: whether nothing arrives while connections stay open.
        is_refusing: whether new connections are reset.
    """

    __slots__ = ("bytes_per_s", "delay_s", "is_refusing", "is_silent")

    def __init__(self) -> None:
        self.heal()

    def heal(self) -> None:
        """Removes all disturbances."""
        self.delay_s = 0.0
        self.bytes_per_s = 0.0
        self.is_silent = False
        self.is_refusing = False


class Proxy:
    """Forwards connections in a thread of its own.

    Attributes:
        links: condition of each link, by IP address of sender and receiver.
    """

    def __init__(self, inner_port: int):
        """Starts the thread.

        Args:
            inner_port: port at which each node listens at its own address.
        """
        self.links: dict[tuple[str, str], Link] = collections.defaultdict(Link)
        self._inner_port = inner_port
        self._writers: dict[tuple[str, str], set[asyncio.StreamWriter]] = (
            collections.defaultdict(set)
        )
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever)
        self._thread.start()

    def listen(self, address: Address) -> None:
        """Accepts connections to a node at its announced address."""
        host, port = address
        sock = socket.create_server(address, backlog=1024)
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES
        )
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BUFFER_BYTES
        )
        starting = asyncio.start_server(
            lambda reader, writer: self._forward(host, reader, writer),
            sock=sock,
            limit=CHUNK_BYTES,
        )
        asyncio.run_coroutine_threadsafe(starting, self._loop).result()

    def reset(self, source: str, target: str) -> None:
        """Resets the connections that a node opened to another one."""
        self._loop.call_soon_threadsafe(self._reset, (source, target))

    def stop(self) -> None:
        """Ends the thread; open connections are dropped."""
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()

    def _reset(self, ends: tuple[str, str]) -> None:
        for writer in self._writers[ends]:
            _abort(writer)

    async def _forward(
        self,
        target: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Forwards one connection in both directions until it ends."""
        source = writer.get_extra_info("peername")[0]
        there, back = self.links[source, target], self.links[target, source]
        try:
            if there.is_refusing:
                raise ConnectionRefusedError
            inner_reader, inner_writer = await self._open(target, there)
        except OSError:
            _abort(writer)
            return
        ends = {writer, inner_writer}
        self._writers[source, target] |= ends
        tasks = [
            asyncio.create_task(_pump(reader, inner_writer, there)),
            asyncio.create_task(_pump(inner_reader, writer, back)),
        ]
        await asyncio.gather(*tasks, return_exceptions=True)
        self._writers[source, target] -= ends
        _abort(writer)
        _abort(inner_writer)

    async def _open(
        self, target: str, link: Link
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        await _wait_while_silent(link)
        sock = socket.socket()
        sock.setblocking(False)
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BUFFER_BYTES
        )
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES
        )
        try:
            await self._loop.sock_connect(sock, (target, self._inner_port))
        except OSError:
            sock.close()
            raise
        return await asyncio.open_connection(sock=sock, limit=CHUNK_BYTES)


async def _wait_while_silent(link: Link) -> None:
    while link.is_silent:
        await asyncio.sleep(POLL_S)


async def _pump(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, link: Link
) -> None:
    """Forwards one direction; the end of it, too, waits for the link."""
    chunks: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(maxsize=8)
    delivering = asyncio.create_task(_deliver(chunks, writer, link))
    try:
        while data := await reader.read(CHUNK_BYTES):
            await chunks.put((time.monotonic() + link.delay_s, data))
    finally:
        await chunks.put((time.monotonic() + link.delay_s, b""))
        await delivering


async def _deliver(
    chunks: asyncio.Queue[tuple[float, bytes]],
    writer: asyncio.StreamWriter,
    link: Link,
) -> None:
    is_open = True
    while True:
        due_s, data = await chunks.get()
        await asyncio.sleep(max(0.0, due_s - time.monotonic()))
        await _wait_while_silent(link)
        if not data:
            _abort(writer)
            return
        if link.bytes_per_s:
            await asyncio.sleep(len(data) / link.bytes_per_s)
        if not is_open:
            continue
        try:
            writer.write(data)
            await writer.drain()
        except OSError:
            is_open = False


def _abort(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    writer.transport.abort()
