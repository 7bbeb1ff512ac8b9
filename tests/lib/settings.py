"""Settings documents and files for tests."""

import json

from papayagw._internal.settings.development_keys import make_development_keys

BASE = {
    "zones": ["a", "b"],
    "keys": [{"id": 1, "file": "keys/fleet.key"}],
    "services": {
        "order": {"id": 1, "idempotent": False},
        "drawings": {"id": 2, "address": "127.0.1.2:4402"},
    },
}
OVERLAY = {
    "name": "ee-north",
    "control_address": "127.0.1.100:4400",
    "services": {"order": {"address": "127.0.1.1:4401"}},
}
NODE = {
    "name": "balancer-1",
    "zone": "a",
    "inner": "127.0.0.11:4300",
    "site": "ee-north",
    "platform": ["http://127.0.0.1:2379"],
}
AGENT = {
    **NODE,
    "service": "order",
    "backend": "127.0.3.1:4320",
    "certificate": "keys/cert.pem",
    "private_key": "keys/key.pem",
}
CONNECT = {
    "listeners": [
        {
            "service": "order",
            "listen": "127.0.4.1:4501",
            "entry": "127.0.1.1:4401",
        }
    ],
    "authority": "keys/ca.pem",
}


class SettingsFolder:
    """A folder for settings files, with development certificates and keys."""

    def __init__(self, path):
        self.path = path
        make_development_keys(path / "keys", ("order", "drawings"))

    def write(self, name, content):
        """Write a document as JSON, or a string verbatim, and return the path."""
        text = content if isinstance(content, str) else json.dumps(content)
        file = self.path / name
        file.write_text(text)
        return file


def change(document, path, value):
    """Return a copy of `document` with the value at a dotted path set.

    None removes the key or list member.
    """
    copy = json.loads(json.dumps(document))
    *parents, last = path.split(".")
    holder = copy
    for name in parents:
        holder = holder[int(name)] if isinstance(holder, list) else holder[name]
    if value is None:
        del holder[last]
    else:
        holder[last] = value
    return copy
