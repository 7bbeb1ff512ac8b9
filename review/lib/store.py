"""Stand-in of the platform's metadata store, as PROTOCOL describes it.

Each machine reaches the store at an address of its own, so that the store can leave
the calls of single machines without an answer.
"""

import base64
import json
import threading
import time
from contextlib import suppress
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlparse


class Store:
    """Key-value store with leases and watches.

    Parameters
    ----------
    record : Record
        Log of the case.
    """

    def __init__(self, record):
        self._record = record
        self._items = {}
        self._events = []
        self._leases = {}
        self._revision = 10
        self._next_lease = 77_000
        self._silent = set()
        self._changed = threading.Condition()
        self._closed = threading.Event()
        self._servers = []
        self.calls = []

    def listen(self, machine, address):
        """Serve the calls of one machine at an address."""
        server = _Server(address, _make_handler(self, machine))
        server.daemon_threads = True
        self._servers.append(server)
        threading.Thread(target=server.serve_forever, daemon=True).start()

    def close(self):
        """Stop serving."""
        self._closed.set()
        for server in self._servers:
            server.shutdown()
            server.server_close()

    def put(self, key, value):
        """Write a key, as the operator does."""
        with self._changed:
            self._put(key, base64.b64encode(value).decode(), 0)

    def list_keys(self):
        """Return the keys that exist."""
        with self._changed:
            self._expire_leases()
            return set(self._items)

    def silence(self, machine):
        """Answer no call of a machine, the waiting ones included."""
        with self._changed:
            self._silent.add(machine)
        self._record.write("store silent", machine=machine)

    def answer_again(self, machine):
        """Answer the machine's calls from now on; earlier ones stay unanswered."""
        with self._changed:
            self._silent.discard(machine)
        self._record.write("store answers again", machine=machine)

    def is_silent(self, machine):
        """Return whether the machine's calls get no answer."""
        with self._changed:
            return machine in self._silent

    def wait_closed(self):
        """Wait until the store is closed."""
        self._closed.wait()

    def handle(self, machine, method, path, query, body):
        """Return status and fields of the answer; None if there is none."""
        with self._changed:
            self.calls.append((time.monotonic(), machine, method, path))
            if machine in self._silent:
                return None
            self._expire_leases()
            answer = self._answer(
                machine, method, path.removeprefix("/-/"), query, body
            )
            return None if machine in self._silent else answer

    def _answer(self, machine, method, path, query, body):
        match method, path:
            case "GET", "kv-key":
                item = self._items.get(query["key"])
                if item is None:
                    return 404, {}
                return 200, {**item, "store_revision": self._revision}
            case "GET", "kv-range":
                return 200, self._range(query["prefix"], query.get("after", ""))
            case "GET", "kv-watch":
                return self._watch(machine, query)
            case "POST", "kv-txn":
                return self._transact(body)
            case "POST", "kv-lease":
                self._next_lease += 1
                self._leases[self._next_lease] = [time.monotonic(), body["ttl_ms"]]
                return 200, {"lease": self._next_lease, "ttl_ms": body["ttl_ms"]}
        verb, _, lease = path.partition("/")
        return self._renew_or_end(verb, int(lease))

    def _range(self, prefix, after):
        items = [
            item
            for key, item in sorted(self._items.items())
            if key.startswith(prefix) and key > after
        ]
        return {"items": items, "has_more": False, "store_revision": self._revision}

    def _watch(self, machine, query):
        prefix, after = query["prefix"], int(query["after"])
        deadline = time.monotonic() + int(query["wait_ms"]) / 1_000
        while True:
            if machine in self._silent:
                return None
            self._expire_leases()
            events = [
                event
                for event in self._events
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left = deadline - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "store_revision": self._revision}
            self._changed.wait(min(left, 0.1))

    def _transact(self, body):
        for row in body.get("expect", ()):
            item = self._items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": [item] if item else []}
        if any(
            put.get("lease") and put["lease"] not in self._leases
            for put in body.get("puts", ())
        ):
            return 404, {}
        for put in body.get("puts", ()):
            self._put(put["key"], put["value"], put.get("lease", 0))
        for key in body.get("remove", ()):
            self._remove(key)
        return 200, {"revision": self._revision}

    def _renew_or_end(self, verb, lease):
        if lease not in self._leases:
            return 404, {}
        if verb == "kv-lease-end":
            self._end_lease(lease)
            return 200, {}
        self._leases[lease][0] = time.monotonic()
        return 200, {"ttl_ms": self._leases[lease][1]}

    def _put(self, key, value, lease):
        self._revision += 1
        created = self._items.get(key, {}).get("created", self._revision)
        item = {
            "key": key,
            "value": value,
            "revision": self._revision,
            "created": created,
            "lease": lease,
        }
        self._items[key] = item
        self._events.append(item)
        self._changed.notify_all()

    def _remove(self, key):
        if self._items.pop(key, None) is None:
            return
        self._revision += 1
        self._events.append({"key": key, "revision": self._revision, "deleted": True})
        self._changed.notify_all()

    def _end_lease(self, lease):
        del self._leases[lease]
        keys = [key for key, item in self._items.items() if item["lease"] == lease]
        for key in keys:
            self._remove(key)

    def _expire_leases(self):
        now = time.monotonic()
        for lease, (renewed_at, ttl_ms) in list(self._leases.items()):
            if now - renewed_at > ttl_ms / 1_000:
                self._end_lease(lease)


class _Server(ThreadingHTTPServer):
    """HTTP server that ignores connections which processes have closed."""

    request_queue_size = 128

    def handle_error(self, request, client_address):
        """Ignore the error."""


def _make_handler(store, machine):
    """Return the class that handles the calls of one machine."""

    class Handler(BaseHTTPRequestHandler):
        """Handles the calls of one machine."""

        protocol_version = "HTTP/1.1"

        def _handle(self):
            length = int(self.headers.get("Content-Length", 0))
            body = json.loads(self.rfile.read(length)) if length else {}
            url = urlparse(self.path)
            query = {name: one[0] for name, one in parse_qs(url.query).items()}
            answer = store.handle(machine, self.command, url.path, query, body)
            if answer is None:
                store.wait_closed()
                self.close_connection = True
                return
            status, fields = answer
            data = json.dumps(fields).encode()
            with suppress(ConnectionError):
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)

        # http.server calls handlers by these names.
        do_GET = do_POST = do_DELETE = _handle  # noqa: N815

        def log_message(self, *args):
            """Write no access log."""

    return Handler
