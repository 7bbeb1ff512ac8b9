import re
from pathlib import Path

import pytest

from papayagw._internal.settings import node, site
from tests.lib.settings import SettingsFolder

PAGE = Path(__file__).resolve().parents[2] / "docs" / "CONFIGURATION.md"
ROW = re.compile(r"^\| `([\w.]+)` \| (.*?) \| (.*?) \| (.+) \|$", re.MULTILINE)

TABLES = [
    ("", site.SITE_KEYS),
    ("services.NAME.", site.SERVICE_KEYS),
    ("services.NAME.objectives.", site.OBJECTIVES_KEYS),
    ("keys.N.", site.FLEET_KEY_KEYS),
    ("", node.NODE_KEYS),
    ("", node.BALANCER_KEYS),
    ("", node.AGENT_KEYS),
    ("", node.CONNECT_KEYS),
    ("listeners.N.", node.LISTENER_KEYS),
]


def test_example_on_the_page_loads(tmp_path):
    (example,) = re.findall(r"```jsonc\n(.*?)```", PAGE.read_text(), re.DOTALL)
    file = SettingsFolder(tmp_path).write("balancer.jsonc", example)
    assert len(node.load_balancer(file).unwrap().node.peers) == 3


def describe_default(key):
    if key.is_required:
        return "required"
    if key.default in (None, ()):
        return "none"
    if isinstance(key.default, bool):
        return str(key.default).lower()
    return str(key.default)


@pytest.mark.parametrize(("prefix", "keys"), TABLES)
def test_page_has_each_key_with_its_value_and_default(prefix, keys):
    rows = {row[:3] for row in ROW.findall(PAGE.read_text(encoding="utf-8"))}
    for key in keys:
        default = describe_default(key)
        if key.name == "objectives":
            default = "each key's own"
        assert (prefix + key.name, key.kind.expected, default) in rows


def test_page_has_no_other_key():
    shown = {row[0] for row in ROW.findall(PAGE.read_text(encoding="utf-8"))}
    known = {prefix + key.name for prefix, keys in TABLES for key in keys}
    assert shown == known
