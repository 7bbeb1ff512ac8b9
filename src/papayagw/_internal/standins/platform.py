"""Stand-in for the platform's key-value service: the JSON gateway of etcd v3.

The content is in memory. Paths under ``/standin`` inject faults, take and restore
snapshots, and return the number of calls.
"""

import json
from base64 import b64decode, b64encode
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import replace
from typing import Any

import anyio
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route

from papayagw._internal.models.clock import Clock, to_seconds
from papayagw._internal.standins.faults import CallCounts, Faults
from papayagw._internal.standins.key_values import (
    Event,
    KeyValue,
    KeyValues,
    StoreSnapshot,
)
from papayagw._internal.store.protocol import MAX_VALUE_BYTES

Message = dict[str, Any]

_SERVICE_UNAVAILABLE = 503
_GATEWAY_TIMEOUT = 504
_BAD_REQUEST = 400
_WATCH_POLL_S = 1.0
"""Interval at which a watch checks for expired leases while nothing else changes."""


class PlatformStandin:
    """ASGI application with the key-value service and its control paths.

    Parameters
    ----------
    clock : Clock
        Source of the current time, for the expiry of leases.
    """

    def __init__(self, clock: Clock):
        self._store = KeyValues(clock)
        self._faults = Faults()
        self._counts = CallCounts()
        self._snapshots: dict[str, StoreSnapshot] = {}
        self._app = Starlette(routes=self._make_routes())

    @property
    def app(self) -> Starlette:
        """ASGI application to serve."""
        return self._app

    @property
    def counts(self) -> CallCounts:
        """Number of calls by kind."""
        return self._counts

    def _make_routes(self) -> list[Route]:
        calls = {
            "/v3/kv/range": self._range,
            "/v3/kv/put": self._put,
            "/v3/kv/txn": self._txn,
            "/v3/lease/grant": self._grant_lease,
            "/v3/lease/revoke": self._revoke_lease,
            "/v3/lease/keepalive": self._renew_lease,
        }
        service = [
            Route(path, self._make_endpoint(path, call), methods=["POST"])
            for path, call in calls.items()
        ]
        return [
            *service,
            Route("/v3/watch", self._watch, methods=["POST"]),
            Route("/standin/faults", self._set_faults, methods=["POST"]),
            Route("/standin/copies/{name}", self._save_snapshot, methods=["POST"]),
            Route("/standin/restore/{name}", self._restore, methods=["POST"]),
            Route("/standin/calls", self._get_call_counts, methods=["GET"]),
        ]

    def _make_endpoint(
        self, path: str, call: Callable[[Message], Message]
    ) -> Callable[[Request], Awaitable[Response]]:
        """Return a handler that counts `call` and applies the injected faults to it."""
        kind = path.removeprefix("/v3/").replace("/", "_")

        async def endpoint(request: Request) -> Response:
            self._counts.add(kind)
            message = await request.json()
            await anyio.sleep(to_seconds(self._faults.delay_ms))
            if self._faults.outage:
                return Response(status_code=_SERVICE_UNAVAILABLE)
            try:
                response = call(message)
            except (KeyError, ValueError, TypeError) as error:
                return JSONResponse({"error": repr(error)}, _BAD_REQUEST)
            await anyio.sleep(to_seconds(self._faults.answer_delay_ms))
            if kind == "kv_txn" and self._faults.lost_answers > 0:
                left = self._faults.lost_answers - 1
                self._faults = replace(self._faults, lost_answers=left)
                return Response(status_code=_GATEWAY_TIMEOUT)
            return JSONResponse(response)

        return endpoint

    def _range(self, message: Message) -> Message:
        end = b64decode(message.get("range_end", ""))
        found = self._store.find(b64decode(message["key"]), end)
        encoded = [_encode_key_value(one) for one in found]
        return {"header": self._header(), "kvs": encoded, "count": str(len(found))}

    def _put(self, message: Message) -> Message:
        value = b64decode(message.get("value", ""))
        if len(value) > MAX_VALUE_BYTES:
            raise ValueError(f"value over {MAX_VALUE_BYTES} bytes")
        lease = int(message.get("lease", 0))
        self._store.put(b64decode(message["key"]), value, lease)
        return {"header": self._header()}

    def _delete(self, message: Message) -> Message:
        deleted = self._store.delete(b64decode(message["key"]))
        return {"header": self._header(), "deleted": str(int(deleted))}

    def _txn(self, message: Message) -> Message:
        """Run the operations of the branch that the comparisons select."""
        is_met = all(self._compare(one) for one in message.get("compare", []))
        operations = message.get("success" if is_met else "failure", [])
        responses = [self._run_operation(one) for one in operations]
        return {"header": self._header(), "succeeded": is_met, "responses": responses}

    def _compare(self, message: Message) -> bool:
        if message.get("result", "EQUAL") != "EQUAL":
            raise ValueError("only EQUAL is compared")
        found = self._store.find(b64decode(message["key"]))
        targets: dict[str, tuple[object, object]] = {
            "MOD": (found[0].modified if found else 0, message.get("mod_revision")),
            "VERSION": (found[0].version if found else 0, message.get("version")),
            "LEASE": (found[0].lease if found else 0, message.get("lease")),
        }
        actual, wanted = targets[message["target"]]
        return str(actual) == str(wanted or 0)

    def _run_operation(self, message: Message) -> Message:
        operations_by_name = {
            "request_put": ("response_put", self._put),
            "request_range": ("response_range", self._range),
            "request_delete_range": ("response_delete_range", self._delete),
        }
        ((name, request),) = message.items()
        response_name, run = operations_by_name[name]
        return {response_name: run(request)}

    def _grant_lease(self, message: Message) -> Message:
        lease = self._store.grant_lease(int(message["TTL"]))
        duration = str(lease.duration_s)
        return {"header": self._header(), "ID": str(lease.lease_id), "TTL": duration}

    def _revoke_lease(self, message: Message) -> Message:
        self._store.revoke_lease(int(message["ID"]))
        return {"header": self._header()}

    def _renew_lease(self, message: Message) -> Message:
        lease = self._store.renew_lease(int(message["ID"]))
        duration = str(lease.duration_s) if lease else "0"
        result = {"header": self._header(), "ID": message["ID"], "TTL": duration}
        return {"result": result}

    async def _watch(self, request: Request) -> Response:
        self._counts.add("watch")
        message = (await request.json())["create_request"]
        await anyio.sleep(to_seconds(self._faults.delay_ms))
        if self._faults.outage:
            return Response(status_code=_SERVICE_UNAVAILABLE)
        key = b64decode(message["key"])
        start = int(message.get("start_revision", 0)) or self._store.revision + 1
        return StreamingResponse(self._stream_events(key, start))

    async def _stream_events(self, key: bytes, start: int) -> AsyncIterator[str]:
        """Yield a watch's messages until an outage or a restore of an old snapshot."""
        changed = anyio.Event()

        def on_change() -> None:
            changed.set()

        self._store.add_listener(on_change)
        try:
            yield _format_line({"header": self._header(), "created": True})
            seen = self._store.revision
            while not self._faults.outage and self._store.revision >= seen:
                seen = self._store.revision
                events = self._store.find_events(key, start)
                changed = anyio.Event()
                if events:
                    start = events[-1].key_value.modified + 1
                    encoded = [_encode_event(one) for one in events]
                    yield _format_line({"header": self._header(), "events": encoded})
                with anyio.move_on_after(_WATCH_POLL_S):
                    await changed.wait()
        finally:
            self._store.remove_listener(on_change)

    async def _set_faults(self, request: Request) -> Response:
        self._faults = Faults.from_message(await request.json())
        self._store.notify_listeners()
        return JSONResponse({})

    async def _save_snapshot(self, request: Request) -> Response:
        self._snapshots[request.path_params["name"]] = self._store.snapshot()
        return JSONResponse({"revision": self._store.revision})

    async def _restore(self, request: Request) -> Response:
        self._store.restore(self._snapshots[request.path_params["name"]])
        return JSONResponse({"revision": self._store.revision})

    async def _get_call_counts(self, _request: Request) -> Response:
        return JSONResponse(self._counts.by_kind)

    def _header(self) -> Message:
        return {"revision": str(self._store.revision)}


def _encode_key_value(one: KeyValue) -> Message:
    return {
        "key": b64encode(one.key).decode(),
        "value": b64encode(one.value).decode(),
        "create_revision": str(one.created),
        "mod_revision": str(one.modified),
        "version": str(one.version),
        "lease": str(one.lease),
    }


def _encode_event(event: Event) -> Message:
    kind = {"type": "DELETE"} if event.is_delete else {}
    return {**kind, "kv": _encode_key_value(event.key_value)}


def _format_line(result: Message) -> str:
    return json.dumps({"result": result}) + "\n"
