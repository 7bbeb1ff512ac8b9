"""Tests of the templates in deploy/ and of loading the generated settings."""

import json
import re
from pathlib import Path

import pytest

from papayagw._internal.exceptions import SettingsError
from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.models.plain.settings import Placement
from papayagw.platform.settings import load_agent_settings, load_balancer_settings

DEPLOY = Path(__file__).resolve().parents[2] / "deploy"
TEMPLATE_VALUES = {
    "node_name": "side-a-1",
    "zone": "a",
    "ip": "10.1.0.12",
    "listen": {
        "datagram_addr": "10.1.0.12:8172",
        "outbound": "10.1.0.12:8162",
        "readiness_addr": "10.1.0.12:8167",
        "control": "10.1.0.12:8166",
    },
    "port_range": [7720, 7735],
    "heartbeat_ms": 1200,
    "bounds": {"grace_s": 6, "max_flow_s": 60.5},
    "app": "10.1.0.12:8165",
    "service": "huvo11a",
    "platform": {"address": "10.200.1.7:8169"},
}


def render(name, machine=TEMPLATE_VALUES):
    """Fill in a template as the platform does."""

    def fill(match):
        value = machine
        for part in match[1].split("."):
            value = value[int(part)] if part.isdigit() else value[part]
        return json.dumps(value) if match[2] else str(value)

    text = (DEPLOY / name).read_text(encoding="utf-8")
    # A section is rendered only if its value is present.
    sections = re.compile(r"\{\{#bounds\.(\w+)\}\}(.*?)\{\{/bounds\.\1\}\}")
    bounds = machine["bounds"]
    text = sections.sub(
        lambda match: match[2] if bounds.get(match[1]) is not None else "", text
    )
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", fill, text)


def write_settings(tmp_path, text):
    path = tmp_path / "settings.jsonc"
    path.write_text(text, encoding="utf-8")
    return path


def test_balancer(tmp_path):
    settings = load_balancer_settings(
        write_settings(tmp_path, render("balancer.jsonc"))
    )
    assert settings.name == "side-a-1"
    assert settings.entry == Endpoint("10.1.0.12", 8172)
    assert settings.inner == Endpoint("10.1.0.12", 7720)
    assert settings.client_port == 8172
    assert (settings.grace_ms, settings.flow_limit_ms) == (6_000, 60_500)


@pytest.mark.parametrize(
    ("bounds", "placement"),
    [
        ({}, Placement.LEAST_WAIT),
        ({"cold_overage": None}, Placement.LEAST_WAIT),
        ({"cold_overage": 1.5}, Placement.EVEN),
    ],
)
def test_placement_is_set_by_the_template(tmp_path, bounds, placement):
    machine = {**TEMPLATE_VALUES, "bounds": TEMPLATE_VALUES["bounds"] | bounds}
    text = render("balancer.jsonc", machine)
    settings = load_balancer_settings(write_settings(tmp_path, text))
    assert settings.placement is placement


def test_unknown_placement_is_refused(tmp_path):
    text = render("balancer.jsonc").replace("{", '{ "placement": "random",', 1)
    with pytest.raises(SettingsError, match="expected 'least_wait' or 'even'"):
        load_balancer_settings(write_settings(tmp_path, text))


def test_agent(tmp_path):
    settings = load_agent_settings(write_settings(tmp_path, render("agent.jsonc")))
    assert settings.service == "huvo11a"
    assert settings.backend == Endpoint("10.1.0.12", 8165)
    assert settings.outbound == Endpoint("10.1.0.12", 8162)
    assert settings.reports == Endpoint("10.1.0.12", 8166)
    assert settings.report_interval_ms == 1_200
    assert settings.store == Endpoint("10.200.1.7", 8169)


@pytest.mark.parametrize(
    ("field", "value", "found"),
    [
        ("entry", '"10.1.0.12"', "entry: expected ip:port"),
        ("entry", "7", "entry: expected a non-empty string"),
        ("inner_port", '"7720"', "inner_port: expected a whole number"),
        ("grace_s", "true", "grace_s: expected a number of seconds"),
        ("name", '""', "name: expected a non-empty string"),
    ],
)
def test_errors_name_the_field(tmp_path, field, value, found):
    text = re.sub(
        rf'"{field}": .*?(,?)\n', rf'"{field}": {value}\1\n', render("balancer.jsonc")
    )
    with pytest.raises(SettingsError, match=found):
        load_balancer_settings(write_settings(tmp_path, text))


@pytest.mark.parametrize("text", ["", "[]", "{", "node_name: x"])
def test_invalid_settings_file(tmp_path, text):
    with pytest.raises(SettingsError):
        load_balancer_settings(write_settings(tmp_path, text))


def test_missing_settings_file(tmp_path):
    with pytest.raises(SettingsError, match="No such file"):
        load_agent_settings(tmp_path / "absent.jsonc")
