from pathlib import Path
from shutil import copytree

import pytest
from returns.result import Success

from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.models.service import Service, ServiceId
from papayagw._internal.settings.development_keys import make_development_keys
from papayagw._internal.settings.node import load_agent, load_balancer, load_connect
from papayagw._internal.settings.site import load_site
from tests.lib.settings import (
    AGENT,
    BASE,
    CONNECT,
    NODE,
    OVERLAY,
    SettingsFolder,
    change,
)

EXAMPLES = Path(__file__).resolve().parent.parent.parent / "examples"


@pytest.fixture(scope="module")
def settings_folder(tmp_path_factory):
    return SettingsFolder(tmp_path_factory.mktemp("settings"))


def read_site(folder, base=BASE, overlay=OVERLAY):
    return load_site(
        folder.write("base.jsonc", base),
        None if overlay is None else folder.write("ee-north.jsonc", overlay),
    )


def describe(result):
    """Return the file name, the key path and the message of each problem."""
    assert not isinstance(result, Success)
    return [
        (Path(problem.file).name, problem.path, str(problem))
        for problem in result.failure()
    ]


def test_overlay_changes_only_what_differs(settings_folder):
    site = read_site(settings_folder).unwrap()
    assert site.name == "ee-north"
    assert site.services == (
        Service("order", ServiceId(1), Endpoint("127.0.1.1", 4401)),
        Service("drawings", ServiceId(2), Endpoint("127.0.1.2", 4402)),
    )
    assert [key.key_id for key in site.keys] == [1]


@pytest.mark.parametrize(
    ("path", "value", "text"),
    [
        ("services.order.adress", "x", "did you mean address?"),
        ("services.order.idle_timeout_s", 60, "write idle_timeout_ms"),
        ("services.order.idle_timeout", 60, "write idle_timeout_ms"),
        ("services.order.idle_timeout_ms", "60s", "number of ms"),
        ("services.order.idle_timeout_ms", 1.5, "number of ms"),
        ("services.order.idle_timeout_ms", 1, "from 1000 to 86400000"),
        ("services.order.probe_interval_ms", 50_000, "half of idle_timeout_ms"),
        ("services.order.idempotent", "yes", "true or false"),
        ("services.order.max_flows", True, "whole number"),
        ("services.order.address", "order.example:4401", "host names aren't resolved"),
        ("services.order.address", "127.0.1.1:65536", "IPv4 address and a port"),
        ("services.drawings.address", "127.0.1.1:4401", "same port as services.order"),
        ("services.drawings.address", "127.0.1.9:4400", "same port as control_add"),
        ("services.drawings.id", 1, "which service order already has"),
        ("services.drawings.id", 65_536, "from 1 to 65535"),
        ("services.order.objectives", {"availability": 1.2}, "from 0 to 1"),
        ("services.Order", {"id": 3, "address": "127.0.1.3:4403"}, "small letters"),
        ("services", [], "at least one name"),
        ("services", {}, "at least one name"),
        ("zones", [], "a list of at least 1"),
        ("zones", ["a", "a"], "a more than once"),
        ("keys", [{"id": 1, "file": "nowhere.key"}], "no readable file at"),
        ("keys", [{"id": 1, "file": "keys/ca.pem"}], "32 bytes in hexadecimal"),
        ("control_address", None, "found nothing"),
    ],
)
def test_problem_names_file_key_and_remedy(settings_folder, path, value, text):
    base = {**BASE, "name": "all", "control_address": "127.0.1.100:4400"}
    base = change(base, "services.order.address", "127.0.1.1:4401")
    found = describe(read_site(settings_folder, change(base, path, value), None))
    files, paths, texts = zip(*found, strict=True)
    assert set(files) == {"base.jsonc"}
    assert any(found_path.startswith(path) for found_path in paths)
    assert any(text in found_text for found_text in texts)


@pytest.mark.parametrize(
    ("overlay", "file", "path"),
    [
        (change(OVERLAY, "services.order.address", 7), "ee-north.jsonc", "address"),
        (change(OVERLAY, "services.order.address", None), "base.jsonc", "address"),
        (change(OVERLAY, "services.order.id", "1"), "ee-north.jsonc", "id"),
        (change(OVERLAY, "services.odrer", {}), "ee-north.jsonc", "services.odrer"),
        (change(OVERLAY, "colour", 1), "ee-north.jsonc", "colour"),
    ],
)
def test_problem_names_the_file_that_holds_it(settings_folder, overlay, file, path):
    found = describe(read_site(settings_folder, overlay=overlay))
    assert any(row[0] == file and row[1].endswith(path) for row in found)


def test_every_problem_is_reported(settings_folder):
    base = change(change(BASE, "zones", "a"), "services.drawings.id", 0)
    overlay = change(OVERLAY, "services.order.address", "x")
    paths = {row[1] for row in describe(read_site(settings_folder, base, overlay))}
    assert paths == {"zones", "services.drawings.id", "services.order.address"}


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ('{"name": "a",\n "zones": }', "line 2"),
        ('{"name": "a", "name": "b"}', "a duplicate key"),
        ("[]", "expected an object"),
        ("", "JSON with comments"),
    ],
)
def test_bad_document_is_refused(settings_folder, text, expected):
    found = describe(read_site(settings_folder, text, None))
    assert any(expected in row[2] for row in found)


def test_missing_files_are_each_reported(tmp_path):
    found = describe(load_site(tmp_path / "base.jsonc", tmp_path / "over.jsonc"))
    assert [row[0] for row in found] == ["base.jsonc", "over.jsonc"]


@pytest.mark.parametrize(
    ("load", "document", "path", "value", "problem"),
    [
        (load_balancer, NODE, "platform", None, "platform"),
        (load_balancer, NODE, "base", "nowhere.jsonc", "base"),
        (load_balancer, NODE, "platform", ["127.0.0.1:2379"], "platform.0"),
        (load_balancer, NODE, "admin", "127.0.0.11:4300", "admin"),
        (load_balancer, NODE, "log_level", "loud", "log_level"),
        (load_balancer, NODE, "stop_limit", 3, "stop_limit"),
        (load_agent, AGENT, "backend", "127.0.0.11:4300", "backend"),
        (load_agent, AGENT, "certificate", "nowhere.pem", "certificate"),
        (load_agent, AGENT, "certificate", "keys/key.pem", "certificate"),
        (load_agent, AGENT, "certificate", "keys/ca.pem", "private_key"),
        (load_agent, AGENT, "private_key", "keys/cert.pem", "private_key"),
        (load_agent, AGENT, "service", None, "service"),
        (load_connect, CONNECT, "authority", "keys/key.pem", "authority"),
        (load_connect, CONNECT, "listeners", CONNECT["listeners"] * 2, "listen"),
        (load_connect, CONNECT, "listeners.0.entry", "entry", "listeners.0.entry"),
    ],
)
def test_node_problem_is_reported(
    settings_folder, load, document, path, value, problem
):
    file = settings_folder.write("node.jsonc", change(document, path, value))
    assert [row[1].endswith(problem) for row in describe(load(file))] == [True]


@pytest.mark.parametrize(
    ("load", "document"),
    [(load_balancer, NODE), (load_agent, AGENT), (load_connect, CONNECT)],
)
def test_node_settings_load(settings_folder, load, document):
    assert load(settings_folder.write("node.jsonc", document)).unwrap()


@pytest.mark.parametrize(
    ("folder", "overlay"), [("valukoja", "ee-north"), ("norrbo", "se-mid")]
)
def test_examples_load(tmp_path, folder, overlay):
    make_development_keys(tmp_path / "keys", ("order",))
    files = Path(copytree(EXAMPLES / folder, tmp_path / folder))
    loaders = {"balancer": load_balancer, "agent": load_agent, "connect": load_connect}
    for kind, load in loaders.items():
        for file in files.glob(f"{kind}*.jsonc"):
            assert load(file).unwrap()
    assert load_site(files / "base.jsonc", files / f"{overlay}.jsonc").unwrap()
