"""The client of the platform's key-value service: carries out calls of the core."""

from typing import Protocol

from papayagw._internal.core.plain.store_calls import StoreClient
from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.models.plain.entry_store import (
    CallFailed,
    StoreAnswer,
    StoreCall,
)
from papayagw._internal.net.plain.adapter import StoreCodec
from papayagw._internal.net.plain.http_client import HttpExchange, HttpResult
from papayagw._internal.net.plain.loop import Alarm, Loop


class CallRecorder(Protocol):
    """Hears of each call's outcome."""

    def __call__(self, call: StoreCall, answer: StoreAnswer, took_ms: int) -> None:
        """Take in an answer and how long it took, in milliseconds."""


class StoreDriver:
    """Makes the calls of one user of the store, one at a time.

    Parameters
    ----------
    loop : Loop
        The loop.
    store : Endpoint
        The service.
    codec : StoreCodec
        How calls look to the service.
    client : StoreClient
        Decides on calls.
    on_answer : callable
        Hears of each answer.
    """

    def __init__(
        self,
        loop: Loop,
        store: Endpoint,
        codec: StoreCodec,
        client: StoreClient,
        on_answer: CallRecorder,
    ):
        self._loop = loop
        self._store = store
        self._codec = codec
        self._client = client
        self._on_answer = on_answer
        self._exchange: HttpExchange | None = None
        self._alarm = Alarm(loop, self._start_call)

    def start(self) -> None:
        """Make the first call."""
        self._start_call()

    def close(self) -> None:
        """Give up the call under way."""
        self._alarm.set(None)
        if self._exchange is not None:
            self._exchange.close()
            self._exchange = None

    def reschedule(self) -> None:
        """Look again when the next call is due; one under way goes on."""
        if self._exchange is None:
            self._alarm.set(self._client.due_at)

    def restart(self) -> None:
        """Give up the call under way and make the next one when it is due."""
        self.close()
        self.reschedule()

    def _start_call(self) -> None:
        if self._exchange is not None:
            return
        timed_call = self._client.next_call()
        if timed_call is None:
            return
        call, started_at = timed_call.call, self._loop.now()
        http = self._codec.encode_call(call)

        def on_result(result: HttpResult) -> None:
            self._exchange = None
            self._on_http_result(call, result, self._loop.now() - started_at)

        self._exchange = HttpExchange(
            self._loop,
            self._store,
            http.method,
            http.target,
            http.body,
            timed_call.timeout_ms,
            on_result,
        )
        self._exchange.start()

    def _on_http_result(
        self, call: StoreCall, result: HttpResult, took_ms: int
    ) -> None:
        answer: StoreAnswer
        if result.status:
            answer = self._codec.decode_answer(call, result.status, result.body)
        else:
            answer = CallFailed(result.failure)
        self._client.on_answer(call, answer, self._loop.now())
        self._on_answer(call, answer, took_ms)
        self.reschedule()
