"""Client that reads the journal of a stand-in for a backend server."""

import anyio
from anyio.streams.buffered import BufferedByteReceiveStream

from papayagw._internal.models.endpoint import Endpoint

MAX_LINE_BYTES = 1_024


async def fetch_runs(server: Endpoint) -> dict[str, int]:
    """Return the journal of a backend server: number of executions by request id."""
    runs: dict[str, int] = {}
    async with await anyio.connect_tcp(*server.sockaddr) as stream:
        reader = BufferedByteReceiveStream(stream)
        await stream.send(b"RUNS\n")
        while True:
            line = await reader.receive_until(b"\n", MAX_LINE_BYTES)
            word, *rest = line.decode().split()
            if word == "END":
                return runs
            runs[rest[0]] = int(rest[1])
