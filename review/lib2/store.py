"""Stand-in of the platform's metadata store, as PROTOCOL describes it."""

import base64
import json
import threading
import time
from contextlib import suppress
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlparse

PAGE_ITEMS = 500
HISTORY_S = 20.0


class Store:
    """Keys, leases and watches behind the store's HTTP interface.

    While `is_silent` is set, calls get no answer and nothing is done, and the
    channels on which they came stay silent for good.
    """

    def __init__(self, address):
        self.is_silent = False
        self.calls = []
        self._items = {}
        self._events = []
        self._leases = {}
        self._lease_number = 70_000
        self._revision = 1
        self._changed = threading.Condition()
        self._closed = threading.Event()
        self._servers = {}
        self.listen(address)
        threading.Thread(target=self._expire_leases, daemon=True).start()

    def close(self):
        """Stop serving."""
        self._closed.set()
        for address in list(self._servers):
            self.stop_listening(address)

    def listen(self, address):
        """Serve the same keys at an address, beside the others."""
        server = self._servers[address] = _make_server(address, self)
        threading.Thread(target=server.serve_forever, daemon=True).start()

    def stop_listening(self, address):
        """Refuse new channels at an address; watches that wait are still answered."""
        server = self._servers.pop(address)
        server.shutdown()
        server.server_close()

    def wait_closed(self):
        """Block until the store is closed."""
        self._closed.wait()

    def put(self, key, value):
        """Write a key like the operator; the return is the acknowledgement."""
        with self._changed:
            self._put(key, base64.b64encode(value).decode(), 0)

    def list_keys(self):
        """Return the keys that exist."""
        with self._changed:
            return sorted(self._items)

    def answer(self, method, path, query, body):
        """Return the status and the fields of an answer."""
        verb, _, argument = path.removeprefix("/-/").partition("/")
        self.calls.append((time.monotonic(), method, path, query.get("prefix", "")))
        with self._changed:
            match method, verb:
                case "GET", "kv-key":
                    return self._read(query["key"])
                case "GET", "kv-range":
                    return self._range(query)
                case "GET", "kv-watch":
                    return self._watch(query)
                case "POST", "kv-txn":
                    return self._write(body)
                case "POST", "kv-lease":
                    return self._grant(body["ttl_ms"])
                case "POST", "kv-keep":
                    return self._keep(int(argument))
                case "DELETE", "kv-lease-end":
                    return self._end_lease(int(argument))
        return 404, {}

    def _read(self, key):
        if key not in self._items:
            return 404, {}
        return 200, self._items[key] | {"store_revision": self._revision}

    def _range(self, query):
        prefix, after = query["prefix"], query.get("after", "")
        found = [
            item
            for key, item in sorted(self._items.items())
            if key.startswith(prefix) and key > after
        ]
        return 200, {
            "items": found[:PAGE_ITEMS],
            "has_more": len(found) > PAGE_ITEMS,
            "store_revision": self._revision,
        }

    def _watch(self, query):
        prefix, after = query["prefix"], int(query["after"])
        ends_at = time.monotonic() + int(query["wait_ms"]) / 1_000
        while True:
            oldest = time.monotonic() - HISTORY_S
            kept = [event for at, event in self._events if at > oldest]
            gone = [event for at, event in self._events if at <= oldest]
            if any(event["revision"] > after for event in gone):
                return 410, {}
            events = [
                event
                for event in kept
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left = ends_at - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "store_revision": self._revision}
            self._changed.wait(left)

    def _write(self, body):
        rows = body["expect"]
        revisions = [self._items.get(row["key"], {"revision": 0}) for row in rows]
        pairs = zip(rows, revisions, strict=True)
        if any(row["revision"] != item["revision"] for row, item in pairs):
            return 412, {"items": [item for item in revisions if "key" in item]}
        if any(put["lease"] not in {0, *self._leases} for put in body["puts"]):
            return 404, {}
        for put in body["puts"]:
            self._put(put["key"], put["value"], put["lease"])
        for key in body["remove"]:
            self._remove(key)
        return 200, {"revision": self._revision}

    def _grant(self, ttl_ms):
        self._lease_number += 1
        self._leases[self._lease_number] = (time.monotonic(), ttl_ms)
        return 200, {"lease": self._lease_number, "ttl_ms": ttl_ms}

    def _keep(self, lease):
        if lease not in self._leases:
            return 404, {}
        ttl_ms = self._leases[lease][1]
        self._leases[lease] = (time.monotonic(), ttl_ms)
        return 200, {"ttl_ms": ttl_ms}

    def _end_lease(self, lease):
        if self._leases.pop(lease, None) is None:
            return 404, {}
        for key in [key for key, one in self._items.items() if one["lease"] == lease]:
            self._remove(key)
        return 200, {}

    def _put(self, key, value, lease):
        self._revision += 1
        item = {
            "key": key,
            "value": value,
            "revision": self._revision,
            "created": self._items.get(key, {"created": self._revision})["created"],
            "lease": lease,
        }
        self._items[key] = item
        self._record(item)

    def _remove(self, key):
        if self._items.pop(key, None) is not None:
            self._revision += 1
            self._record({"key": key, "revision": self._revision, "deleted": True})

    def _record(self, event):
        self._events.append((time.monotonic(), event))
        self._changed.notify_all()

    def _expire_leases(self):
        while not self._closed.wait(0.05):
            with self._changed:
                now = time.monotonic()
                for lease, (at, ttl_ms) in list(self._leases.items()):
                    if now - at > ttl_ms / 1_000:
                        self._end_lease(lease)


def _make_server(address, store):
    """Return an HTTP server that answers with `store`."""

    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"

        def handle_any(self):
            length = int(self.headers.get("Content-Length", 0))
            body = json.loads(self.rfile.read(length)) if length else {}
            url = urlparse(self.path)
            query = {key: one[0] for key, one in parse_qs(url.query).items()}
            if store.is_silent:
                store.wait_closed()
                return
            status, fields = store.answer(self.command, url.path, query, body)
            if store.is_silent:
                store.wait_closed()
                return
            data = json.dumps(fields).encode()
            with suppress(ConnectionError):
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)

        # http.server calls handlers by these names.
        do_GET = do_POST = do_DELETE = handle_any  # noqa: N815

        def log_message(self, *args):
            pass

    class Server(ThreadingHTTPServer):
        daemon_threads = True
        allow_reuse_address = True
        request_queue_size = 128

        def handle_error(self, request, client_address):
            # A process that is killed resets its connections.
            pass

    return Server(address, Handler)
