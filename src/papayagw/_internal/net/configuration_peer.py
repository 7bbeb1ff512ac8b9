"""Exchange of configurations between nodes, over TCP on the inner endpoint."""

from collections.abc import Sequence

import anyio
from returns.result import Failure, Result, Success

from papayagw._internal.core.configuration import ConfigurationLog
from papayagw._internal.exceptions import (
    DecodeError,
    PapayagwError,
    Step,
)
from papayagw._internal.models.change import ConfigurationReply
from papayagw._internal.models.clock import Millis, to_seconds
from papayagw._internal.models.configuration import Configuration, FleetKey
from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.net.byte_stream import StreamBrokenError
from papayagw._internal.net.frames import receive_frame, send_frame
from papayagw._internal.net.tcp import TcpListener, TcpStream
from papayagw._internal.wire.configuration_exchange import ExchangeCodec

EXCHANGE_TIMEOUT_MS = Millis(3_000)
MAX_QUERY_BYTES = 512
MAX_REPLY_BYTES = 2_000_000
MAX_CONNECTIONS = 32


class PeerConfigurationSource:
    """Client that fetches newer configurations from peers.

    Parameters
    ----------
    log : ConfigurationLog
        Configuration in force at this node.
    keys : sequence of FleetKey
        Keys that encrypt queries until this node has a configuration.
    timeout_ms : Millis
        Timeout of one exchange, including the connection setup.
    """

    def __init__(
        self,
        log: ConfigurationLog,
        keys: Sequence[FleetKey],
        timeout_ms: Millis = EXCHANGE_TIMEOUT_MS,
    ):
        self._log = log
        self._keys = tuple(keys)
        self._timeout_ms = timeout_ms
        self._received_bytes = 0

    @property
    def received_bytes(self) -> int:
        """Number of bytes received in replies, without their length prefixes."""
        return self._received_bytes

    async def fetch(
        self, peer: Endpoint
    ) -> Result[Configuration | None, PapayagwError]:
        """Return the configuration of `peer` if it is newer, otherwise None."""
        current = self._log.current
        keys = self._keys if current is None else current.site.keys
        result: Result[Configuration | None, PapayagwError] = Failure(
            _make_error(peer, "no fleet key to encrypt the query with")
        )
        # A peer may know only one of the keys, so each is tried.
        for key in keys:
            result = await self._fetch_with(peer, ExchangeCodec([key]))
            if isinstance(result, Success):
                return result
        return result

    async def _fetch_with(
        self, peer: Endpoint, codec: ExchangeCodec
    ) -> Result[Configuration | None, PapayagwError]:
        try:
            with anyio.fail_after(to_seconds(self._timeout_ms)):
                reply = await self._exchange(peer, codec)
        except TimeoutError:
            return Failure(_make_error(peer, f"no reply within {self._timeout_ms} ms"))
        except (StreamBrokenError, DecodeError) as error:
            return Failure(_make_error(peer, f"no reply: {error.what}"))
        if reply is None:
            return Failure(_make_error(peer, "the reply isn't authentic"))
        return Success(self._log.resolve_reply(reply))

    async def _exchange(
        self, peer: Endpoint, codec: ExchangeCodec
    ) -> ConfigurationReply | None:
        query_frame, nonce = codec.seal_query(self._log.query)
        stream = await TcpStream.connect(peer, self._timeout_ms)
        try:
            await send_frame(stream, query_frame)
            frame = await receive_frame(stream, MAX_REPLY_BYTES)
        finally:
            stream.close()
        self._received_bytes += len(frame)
        return codec.open_reply(frame, nonce)


class ConfigurationServer:
    """Server that replies to configuration queries of peers.

    Parameters
    ----------
    endpoint : Endpoint
        The endpoint to listen on.
    log : ConfigurationLog
        Configuration in force at this node; its keys decrypt the queries.
    """

    def __init__(self, endpoint: Endpoint, log: ConfigurationLog):
        self._listener = TcpListener(endpoint)
        self._log = log
        self._refused = 0
        self._connections = 0

    @property
    def refused(self) -> int:
        """Number of connections on which no authentic query was received."""
        return self._refused

    def start(self) -> None:
        """Start to listen.

        Raises
        ------
        BindError
            If the endpoint is in use or isn't an address of this host.
        """
        self._listener.start()

    async def run(self) -> None:
        """Serve connections until cancelled."""
        async with anyio.create_task_group() as tasks:
            await self._listener.serve(self._handle_connection, tasks)

    def close(self) -> None:
        """Stop listening."""
        self._listener.close()

    async def _handle_connection(self, stream: TcpStream) -> None:
        self._connections += 1
        try:
            if self._connections <= MAX_CONNECTIONS:
                with anyio.move_on_after(to_seconds(EXCHANGE_TIMEOUT_MS)):
                    await self._send_reply(stream)
        except (StreamBrokenError, DecodeError):
            # The connection was lost or isn't from a peer; a real peer retries.
            self._refused += 1
        finally:
            self._connections -= 1
            stream.close()

    async def _send_reply(self, stream: TcpStream) -> None:
        frame = await receive_frame(stream, MAX_QUERY_BYTES)
        current = self._log.current
        if current is None:
            return
        codec = ExchangeCodec(current.site.keys)
        opened_query = codec.open_query(frame)
        if opened_query is None:
            self._refused += 1
            return
        reply = self._log.make_reply(opened_query.query)
        await send_frame(stream, codec.seal_reply(reply, opened_query))


def _make_error(peer: Endpoint, what: str) -> PapayagwError:
    return PapayagwError(
        f"can't fetch the configuration: {what}",
        step=Step.PLATFORM,
        peer=str(peer),
        remedy="check that the peer runs and shares a fleet key with this node",
    )
