"""Handing the configuration from node to node, over TCP on the inner endpoint."""

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
MAX_QUESTION_BYTES = 512
MAX_ANSWER_BYTES = 2_000_000
MAX_CONNECTIONS = 32


class PeerConfigurationSource:
    """Asks peers for what they have in force.

    Parameters
    ----------
    log : ConfigurationLog
        What this node has in force.
    keys : sequence of FleetKey
        The keys that seal questions before a configuration is held.
    timeout_ms : Millis
        How long one peer may take.
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
        """How many bytes of answers came so far."""
        return self._received_bytes

    async def fetch(
        self, peer: Endpoint
    ) -> Result[Configuration | None, PapayagwError]:
        """Return a newer configuration of `peer`, or None if it has none."""
        current = self._log.current
        keys = self._keys if current is None else current.site.keys
        result: Result[Configuration | None, PapayagwError] = Failure(
            _fail(peer, "no key to ask with")
        )
        # A peer may know only one of the keys, so each is tried.
        for key in keys:
            result = await self._fetch(peer, ExchangeCodec([key]))
            if isinstance(result, Success):
                return result
        return result

    async def _fetch(
        self, peer: Endpoint, codec: ExchangeCodec
    ) -> Result[Configuration | None, PapayagwError]:
        try:
            with anyio.fail_after(to_seconds(self._timeout_ms)):
                answer = await self._ask(peer, codec)
        except TimeoutError:
            return Failure(_fail(peer, f"no answer in {self._timeout_ms} ms"))
        except (StreamBrokenError, DecodeError) as error:
            return Failure(_fail(peer, f"no answer: {error.what}"))
        if answer is None:
            return Failure(_fail(peer, "an answer that isn't authentic"))
        return Success(self._log.resolve_reply(answer))

    async def _ask(
        self, peer: Endpoint, codec: ExchangeCodec
    ) -> ConfigurationReply | None:
        question, nonce = codec.seal_query(self._log.query)
        stream = await TcpStream.connect(peer, self._timeout_ms)
        try:
            await send_frame(stream, question)
            frame = await receive_frame(stream, MAX_ANSWER_BYTES)
        finally:
            stream.close()
        self._received_bytes += len(frame)
        return codec.open_reply(frame, nonce)


class ConfigurationServer:
    """Answers peers.

    Parameters
    ----------
    endpoint : Endpoint
        Where to listen.
    log : ConfigurationLog
        What this node has in force, whose keys open questions.
    """

    def __init__(self, endpoint: Endpoint, log: ConfigurationLog):
        self._listener = TcpListener(endpoint)
        self._log = log
        self._refused = 0
        self._connections = 0

    @property
    def refused(self) -> int:
        """How many connections brought no authentic question."""
        return self._refused

    def start(self) -> None:
        """Listen.

        Raises
        ------
        BindError
            If the endpoint is taken or isn't of this host.
        """
        self._listener.start()

    async def run(self) -> None:
        """Answer until cancelled."""
        async with anyio.create_task_group() as tasks:
            await self._listener.serve(self._handle, tasks)

    def close(self) -> None:
        """Listen no more."""
        self._listener.close()

    async def _handle(self, stream: TcpStream) -> None:
        self._connections += 1
        try:
            if self._connections <= MAX_CONNECTIONS:
                with anyio.move_on_after(to_seconds(EXCHANGE_TIMEOUT_MS)):
                    await self._answer(stream)
        except (StreamBrokenError, DecodeError):
            # The peer went away or isn't one; it asks again if it is.
            self._refused += 1
        finally:
            self._connections -= 1
            stream.close()

    async def _answer(self, stream: TcpStream) -> None:
        frame = await receive_frame(stream, MAX_QUESTION_BYTES)
        current = self._log.current
        if current is None:
            return
        codec = ExchangeCodec(current.site.keys)
        asked = codec.open_query(frame)
        if asked is None:
            self._refused += 1
            return
        answer = self._log.make_reply(asked.query)
        await send_frame(stream, codec.seal_reply(answer, asked))


def _fail(peer: Endpoint, what: str) -> PapayagwError:
    return PapayagwError(
        f"can't fetch the configuration: {what}",
        step=Step.PLATFORM,
        peer=str(peer),
        remedy="see whether the peer runs and shares a fleet key",
    )
