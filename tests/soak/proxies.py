"""Loopback proxies that impair the connections and packets that they forward."""

import selectors
import socket
import struct
import threading
import time
from contextlib import suppress

CHUNK_BYTES = 65_536
DELAY_S = 0.15
POLL_INTERVAL_S = 0.05


class Proxy:
    """Thread that forwards the data of its sockets until it is closed.

    Attributes
    ----------
    mode : str
        ``pass``, or the impairment that is applied.
    """

    def __init__(self):
        self.mode = "pass"
        self._selector = selectors.DefaultSelector()
        self._is_closed = False
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self):
        self._thread.start()

    def close(self):
        self._is_closed = True
        self._thread.join()
        for key in list(self._selector.get_map().values()):
            key.fileobj.close()
        self._selector.close()

    def _run(self):
        while not self._is_closed:
            for key, _ in self._selector.select(POLL_INTERVAL_S):
                key.data(key.fileobj)


class ConnectionProxy(Proxy):
    """Proxy of TCP connections to one address.

    Modes: ``delayed``, ``reset``, ``answers lost`` (requests are forwarded) and
    ``silent`` (nothing is forwarded).
    """

    def __init__(self, listen, target):
        super().__init__()
        self._target = target
        self._peers = {}
        self._listener = socket.create_server(listen)
        self._selector.register(self._listener, selectors.EVENT_READ, self._accept)

    def _accept(self, listener):
        client, _ = listener.accept()
        if self.mode == "reset":
            self._reset(client)
            return
        try:
            server = socket.create_connection(self._target, 1)
        except OSError:
            self._reset(client)
            return
        for one, other, is_response in (
            (client, server, False),
            (server, client, True),
        ):
            self._peers[one] = other, is_response
            self._selector.register(one, selectors.EVENT_READ, self._forward)

    def _forward(self, source):
        if source not in self._peers:
            return
        target, is_response = self._peers[source]
        if self.mode == "reset":
            self._close_pair(source, self._reset)
            return
        try:
            data = source.recv(CHUNK_BYTES)
        except OSError:
            data = b""
        if not data:
            self._close_pair(source, socket.socket.close)
            return
        if self.mode == "silent" or (self.mode == "answers lost" and is_response):
            return
        if self.mode == "delayed":
            time.sleep(DELAY_S)
        with suppress(OSError):
            target.sendall(data)

    def _close_pair(self, source, close_socket):
        target, _ = self._peers[source]
        for one in (source, target):
            self._selector.unregister(one)
            del self._peers[one]
            close_socket(one)

    @staticmethod
    def _reset(connection):
        linger = struct.pack("ii", 1, 0)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        connection.close()


class PacketProxy(Proxy):
    """Proxy of datagrams to one address, in one direction.

    Modes: ``delayed`` and ``lost`` (every second datagram).
    """

    def __init__(self, listen, target):
        super().__init__()
        self._target = target
        self._count = 0
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind(listen)
        self._selector.register(self._socket, selectors.EVENT_READ, self._forward)

    def _forward(self, source):
        data = source.recv(CHUNK_BYTES)
        self._count += 1
        if self.mode == "lost" and self._count % 2:
            return
        if self.mode == "delayed":
            time.sleep(DELAY_S / 5)
        source.sendto(data, self._target)
