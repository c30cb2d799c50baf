"""Streams of frames between boxes, over grpc.

A box opens one stream to each peer it talks to and sends on it; it receives
on the streams that peers open. What cannot be sent is dropped: every decision
that needs an answer asks again.
"""

import asyncio
import pathlib
from collections.abc import AsyncIterator, Callable

import grpc
import grpc.aio

from clayfield.base import ClayfieldError, Kind
from clayfield.base.events import Event, emit
from clayfield.box import Identity
from clayfield.state.membership import node_name
from clayfield.wire import (
    MAX_FRAME_BYTES,
    PROTOCOL_VERSION,
    check_peer,
    decode,
    encode,
)
from clayfield.wire import frame_pb2 as pb
from clayfield.wire import frame_pb2_grpc as pb_grpc
from clayfield.wire.messages import Message

MAX_QUEUED = 20_000
FRAME_MESSAGES = 2000
FIRST_PAUSE_S = 0.05
LONGEST_PAUSE_S = 1.0
OPTIONS = (
    ("grpc.max_receive_message_length", MAX_FRAME_BYTES + 4096),
    ("grpc.max_send_message_length", MAX_FRAME_BYTES + 4096),
    ("grpc.keepalive_time_ms", 5000),
    ("grpc.keepalive_timeout_ms", 2000),
    ("grpc.keepalive_permit_without_calls", 1),
    ("grpc.http2.max_pings_without_data", 0),
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.min_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 1000),
    ("grpc.enable_http_proxy", 0),
)

OnMessages = Callable[[str, list[Message]], None]


class PeerFiles:
    """The files for mutual TLS between boxes."""

    __slots__ = ("authority", "certificate", "key")

    def __init__(self, key: str, certificate: str, authority: str):
        self.key = pathlib.Path(key).read_bytes()
        self.certificate = pathlib.Path(certificate).read_bytes()
        self.authority = pathlib.Path(authority).read_bytes()


class Link:
    """The stream to one peer."""

    def __init__(
        self,
        peer: str,
        address: str,
        cluster: str,
        identity: Identity,
        files: PeerFiles | None,
    ):
        self._peer = peer
        self._address = address
        self._cluster = cluster
        self._identity = identity
        self._files = files
        self._queue: list[Message] = []
        self._wake = asyncio.Event()
        self._task: asyncio.Task | None = None

    def start(self) -> None:
        """Begins to connect."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    def stop(self) -> None:
        """Ends the stream."""
        if self._task:
            self._task.cancel()

    def send(self, message: Message) -> None:
        """Queues a message for the next frame."""
        if len(self._queue) < MAX_QUEUED:
            self._queue.append(message)
            self._wake.set()

    async def _run(self) -> None:
        pause_s = FIRST_PAUSE_S
        while True:
            try:
                async with self._channel() as channel:
                    call = pb_grpc.PeerStub(channel).Exchange()
                    await self._pass_on(call)
            except grpc.aio.AioRpcError as exc:
                emit(Event.PEER_LOST, peer=self._peer, error=str(exc.details()))
            except asyncio.InvalidStateError as exc:
                emit(Event.PEER_LOST, peer=self._peer, error=str(exc))
            self._queue.clear()
            await asyncio.sleep(pause_s)
            pause_s = min(pause_s * 2, LONGEST_PAUSE_S)

    def _channel(self) -> grpc.aio.Channel:
        if self._files is None:
            return grpc.aio.insecure_channel(self._address, OPTIONS)
        credentials = grpc.ssl_channel_credentials(
            self._files.authority, self._files.key, self._files.certificate
        )
        options = (
            *OPTIONS,
            ("grpc.ssl_target_name_override", self._peer),
        )
        return grpc.aio.secure_channel(self._address, credentials, options)

    async def _pass_on(self, call: grpc.aio.StreamUnaryCall) -> None:
        await call.wait_for_connection()
        emit(Event.PEER_CONNECTED, peer=self._peer)
        while not call.done():
            await self._wait_for_messages()
            batch = self._queue[:FRAME_MESSAGES]
            del self._queue[:FRAME_MESSAGES]
            if not self._queue:
                self._wake.clear()
            if batch:
                await call.write(self._frame(batch))
        await call

    async def _wait_for_messages(self) -> None:
        await self._wake.wait()

    def _frame(self, batch: list[Message]) -> pb.Frame:
        return pb.Frame(
            version=PROTOCOL_VERSION,
            cluster=self._cluster,
            box=self._identity.box,
            incarnation=self._identity.incarnation,
            hall=self._identity.hall,
            messages=encode(batch),
        )


class _Servicer(pb_grpc.PeerServicer):
    """Takes the frames that peers send."""

    def __init__(
        self, cluster: str, identity: Identity, on_messages: OnMessages
    ):
        self._cluster = cluster
        self._identity = identity
        self._on_messages = on_messages

    async def Exchange(  # noqa: N802 - the name that grpc generates
        self,
        request_iterator: AsyncIterator[pb.Frame],
        context: grpc.aio.ServicerContext,
    ) -> pb.Frame:
        """Reads one peer's stream until it ends or is refused."""
        async for frame in request_iterator:
            try:
                self._take(frame, context)
            except ClayfieldError as exc:
                emit(Event.FRAME_REFUSED, peer=frame.box, error=str(exc))
                await context.abort(
                    grpc.StatusCode.FAILED_PRECONDITION, str(exc)
                )
        return pb.Frame()

    def _take(self, frame: pb.Frame, context: grpc.aio.ServicerContext) -> None:
        check_peer(frame.cluster, frame.version, self._cluster)
        check_name(frame.box, self._identity, context.auth_context())
        self._on_messages(
            node_name(frame.box, frame.incarnation), decode(frame.messages)
        )


def check_name(
    box: str, identity: Identity, auth: dict[str, list[bytes]]
) -> None:
    """Checks that a peer is a box of the settings, and who it says it is.

    Raises:
        ClayfieldError: of kind BAD_FRAME.
    """
    if box not in identity.boxes:
        raise ClayfieldError(Kind.BAD_FRAME, f"{box!r} is no box of --boxes.")
    names = auth.get("x509_subject_alternative_name")
    if names is not None and box.encode() not in names:
        raise ClayfieldError(
            Kind.BAD_FRAME, f"the certificate is for {names}, not {box!r}."
        )


class Peers:
    """All streams of this box."""

    def __init__(
        self,
        cluster: str,
        identity: Identity,
        on_messages: OnMessages,
        files: PeerFiles | None,
    ):
        self._identity = identity
        self._files = files
        self._servicer = _Servicer(cluster, identity, on_messages)
        self._server: grpc.aio.Server | None = None
        self._links = {
            name: Link(name, peer.address, cluster, identity, files)
            for name, peer in identity.boxes.items()
            if name != identity.box
        }

    async def start(self) -> None:
        """Listens and connects.

        Raises:
            RuntimeError: the address is taken.
        """
        own = self._identity.boxes[self._identity.box]
        self._server = grpc.aio.server(options=OPTIONS)
        pb_grpc.add_PeerServicer_to_server(self._servicer, self._server)
        if self._files is None:
            self._server.add_insecure_port(own.address)
        else:
            credentials = grpc.ssl_server_credentials(
                [(self._files.key, self._files.certificate)],
                self._files.authority,
                require_client_auth=True,
            )
            self._server.add_secure_port(own.address, credentials)
        await self._server.start()
        for link in self._links.values():
            link.start()

    async def stop(self) -> None:
        """Ends all streams."""
        for link in self._links.values():
            link.stop()
        if self._server:
            await self._server.stop(0)

    def send(self, box: str, message: Message) -> None:
        """Sends a message, as far as the peer can be reached."""
        link = self._links.get(box)
        if link:
            link.send(message)
