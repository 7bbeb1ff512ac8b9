"""Driver that makes the store calls of a `StoreClient` over HTTP."""

from typing import Protocol

from papayagw._internal.core.plain.store.store_calls import StoreClient
from papayagw._internal.core.plain.store.store_era import EraTracker
from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.models.plain.entry_store import (
    CallFailed,
    StoreAnswer,
    StoreCall,
    StoreRestored,
)
from papayagw._internal.net.plain.adapter import StoreCodec
from papayagw._internal.net.plain.http_client import HttpExchange, HttpResult
from papayagw._internal.net.plain.loop import Alarm, Loop


class CallRecorder(Protocol):
    """Called with the outcome of each store call."""

    def __call__(self, call: StoreCall, answer: StoreAnswer, took_ms: int) -> None:
        """Record the answer to a call and its duration in milliseconds."""


class StoreDriver:
    """Makes the store calls of one client over HTTP, one at a time.

    Parameters
    ----------
    loop : Loop
        Event loop.
    store : Endpoint
        Endpoint of the key-value service.
    codec : StoreCodec
        Encodes calls and decodes answers.
    client : StoreClient
        Decides which call is next and when it is due.
    on_answer : callable
        Called with each answer.
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
        self._eras = EraTracker()
        self._alarm = Alarm(loop, self._start_call)

    @property
    def era(self) -> int:
        """Era of the store by its last answer; 0 if it names none."""
        return self._eras.era

    def start(self) -> None:
        """Make the client's first call."""
        self._start_call()

    def close(self) -> None:
        """Cancel the call in progress and the timer of the next one."""
        self._alarm.set(None)
        if self._exchange is not None:
            self._exchange.close()
            self._exchange = None

    def reschedule(self) -> None:
        """Set the timer to the next due time, unless a call is in progress."""
        if self._exchange is None:
            self._alarm.set(self._client.due_at)

    def restart(self) -> None:
        """Cancel the call in progress and send the next one when it is due."""
        self.close()
        self.reschedule()

    def _start_call(self) -> None:
        """Make the client's next call, unless one is in progress."""
        if self._exchange is not None:
            return
        timed_call = self._client.next_call()
        if timed_call is None:
            return
        call, started_at = timed_call.call, self._loop.now()
        http = self._codec.encode_call(call)

        def on_result(result: HttpResult) -> None:
            """Handle the HTTP response of this call."""
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
        """Pass the answer to the client and schedule its next call."""
        answer = self._decode_result(call, result)
        try:
            self._client.on_answer(call, answer, self._loop.now())
            self._on_answer(call, answer, took_ms)
        finally:
            # The loop records the fault of a handler; the calls must go on.
            self.reschedule()

    def _decode_result(self, call: StoreCall, result: HttpResult) -> StoreAnswer:
        """Decode the answer to a call, and detect that the store was restored."""
        if not result.status:
            return CallFailed(result.failure)
        answer = self._codec.decode_answer(call, result.status, result.body)
        era = self._codec.decode_era(result.headers)
        if era is None or isinstance(answer, CallFailed) or not self._eras.record(era):
            return answer
        return StoreRestored(era, answer)
