"""Stores for tests: in memory, and over HTTP in the current event loop."""

import socket
from contextlib import asynccontextmanager

import anyio
import httpx

from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.standins.http_server import HttpServer
from papayagw._internal.standins.memory_store import MemoryStore
from papayagw._internal.standins.platform import PlatformStandin
from papayagw._internal.store.etcd import EtcdStore
from tests.lib.samples import ManualClock


def find_free_endpoint(ip="127.0.0.1"):
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return Endpoint(ip, sock.getsockname()[1])


class MemoryControl:
    """Fault injection and snapshots of an in-memory store."""

    def __init__(self, store):
        self._store = store

    async def set_faults(self, outage=False, lost_answers=0):
        self._store.set_outage(outage)
        self._store.lose_responses(lost_answers)

    async def save_snapshot(self):
        self._snapshot = self._store.values.snapshot()

    async def restore(self):
        self._store.values.restore(self._snapshot)


class HttpControl:
    """Fault injection and snapshots of a stand-in over HTTP."""

    def __init__(self, client):
        self._client = client

    async def set_faults(self, **faults):
        await self._client.post("/standin/faults", json=faults)

    async def save_snapshot(self):
        await self._client.post("/standin/copies/one")

    async def restore(self):
        await self._client.post("/standin/restore/one")


@asynccontextmanager
async def open_memory_store():
    store = MemoryStore(ManualClock())
    yield store, MemoryControl(store)


@asynccontextmanager
async def open_http_store():
    endpoint = find_free_endpoint()
    ready = anyio.Event()
    server = HttpServer(PlatformStandin(ManualClock()).app, endpoint, ready.set)
    url = f"http://{endpoint}"
    store = EtcdStore(["http://127.0.0.1:1", url])
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.serve)
        await ready.wait()
        async with httpx.AsyncClient(base_url=url, trust_env=False) as client:
            yield store, HttpControl(client)
        await store.close()
        server.stop()
