"""Tests of the templates in deploy/ and of loading the generated settings."""

import json
import re
from pathlib import Path

import pytest

from papayagw._internal.exceptions import SettingsError
from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.models.plain.settings import AdmissionOrder, Placement
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
def test_placement_follows_the_bounds(tmp_path, bounds, placement):
    machine = {**TEMPLATE_VALUES, "bounds": TEMPLATE_VALUES["bounds"] | bounds}
    text = render("balancer.jsonc", machine)
    settings = load_balancer_settings(write_settings(tmp_path, text))
    assert settings.placement is placement


def test_unknown_placement_is_refused(tmp_path):
    text = render("balancer.jsonc").replace("{", '{ "placement": "random",', 1)
    with pytest.raises(SettingsError, match="placement: expected least_wait or even"):
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
    ("bounds", "limit"),
    [
        ({}, (None, None)),
        ({"cold_overage": None, "cold_slack": None}, (None, None)),
        ({"cold_overage": 1.5, "cold_slack": 5}, (1.5, 5.0)),
    ],
)
def test_limit_on_cold_servers(tmp_path, bounds, limit):
    machine = TEMPLATE_VALUES | {"bounds": TEMPLATE_VALUES["bounds"] | bounds}
    path = write_settings(tmp_path, render("agent.jsonc", machine))
    settings = load_agent_settings(path)
    assert (settings.cold_overage, settings.cold_slack) == limit


@pytest.mark.parametrize(
    ("setting", "order"),
    [
        ("", AdmissionOrder.PRIORITY),
        ('"admission": null,', AdmissionOrder.PRIORITY),
        ('"admission": "priority",', AdmissionOrder.PRIORITY),
        ('"admission": "deadline",', AdmissionOrder.DEADLINE),
    ],
)
def test_order_of_waiting_openings(tmp_path, setting, order):
    text = render("balancer.jsonc").replace("{", "{" + setting, 1)
    settings = load_balancer_settings(write_settings(tmp_path, text))
    assert settings.admission is order


def test_an_unknown_order_of_waiting_openings_is_refused(tmp_path):
    text = render("balancer.jsonc").replace("{", '{"admission": "x",', 1)
    with pytest.raises(SettingsError, match="admission: expected priority or deadline"):
        load_balancer_settings(write_settings(tmp_path, text))


@pytest.mark.parametrize("value", ['"1.5"', "true", "-1", "NaN"])
def test_an_invalid_limit_on_cold_servers_is_refused(tmp_path, value):
    text = render("agent.jsonc").replace(
        '"bounds": {', f'"bounds": {{"cold_overage": {value}, '
    )
    expected = "bounds: expected a number.* as cold_overage"
    with pytest.raises(SettingsError, match=expected):
        load_agent_settings(write_settings(tmp_path, text))


@pytest.mark.parametrize(
    ("field", "value", "found"),
    [
        ("entry", '"10.1.0.12"', "entry: expected ip:port"),
        ("entry", "7", "entry: expected a non-empty string"),
        ("inner_port", '"7720"', "inner_port: expected a whole number"),
        ("grace_s", "true", "grace_s: expected a number of seconds"),
        ("name", '""', "name: expected a non-empty string"),
        ("bounds", "[]", "bounds: expected an object"),
        ("bounds", '{"evacuate_ms": "5"}', "bounds: expected a number as evacuate_ms"),
        ("bounds", '{"evacuate_ms": -1}', "bounds: expected a number from 0"),
    ],
)
def test_errors_name_the_field(tmp_path, field, value, found):
    text = re.sub(
        rf'(?m)^( *"{field}"): .*?(,?)$', rf"\1: {value}\2", render("balancer.jsonc")
    )
    with pytest.raises(SettingsError, match=found):
        load_balancer_settings(write_settings(tmp_path, text))


@pytest.mark.parametrize(
    ("name", "load"),
    [("balancer.jsonc", load_balancer_settings), ("agent.jsonc", load_agent_settings)],
)
@pytest.mark.parametrize(
    ("bounds", "found"),
    [({}, None), ({"evacuate_ms": None}, None), ({"evacuate_ms": 5_000}, 5_000)],
)
def test_evacuations_are_on_only_where_they_have_a_limit(
    tmp_path, name, load, bounds, found
):
    bounds = {**TEMPLATE_VALUES["bounds"], **bounds}
    text = render(name, {**TEMPLATE_VALUES, "bounds": bounds})
    assert load(write_settings(tmp_path, text)).evacuation_ms == found


@pytest.mark.parametrize("text", ["", "[]", "{", "node_name: x"])
def test_invalid_settings_file(tmp_path, text):
    with pytest.raises(SettingsError):
        load_balancer_settings(write_settings(tmp_path, text))


def test_missing_settings_file(tmp_path):
    with pytest.raises(SettingsError, match="No such file"):
        load_agent_settings(tmp_path / "absent.jsonc")
