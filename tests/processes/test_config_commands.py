import json
import signal
import subprocess
import sys

import httpx
import pytest

from tests.lib.processes import environment, running
from tests.lib.settings import BASE, OVERLAY, SettingsFolder, change
from tests.lib.stores import find_free_endpoint


@pytest.fixture(scope="module")
def folder(tmp_path_factory):
    folder = SettingsFolder(tmp_path_factory.mktemp("site"))
    folder.write("base.jsonc", BASE)
    folder.write("bad.jsonc", change(BASE, "services.order.id", 0))
    folder.write("site.jsonc", OVERLAY)
    folder.write("changed.jsonc", change(OVERLAY, "services.order.max_flows", 7))
    moved = change(OVERLAY, "services.order.address", "127.0.1.1:4409")
    folder.write("moved.jsonc", moved)
    return folder


@pytest.fixture(scope="module")
def platform():
    listen = find_free_endpoint()
    with running("standin", "platform", "--listen", listen) as process:
        yield f"http://{listen}"
        process.send_signal(signal.SIGTERM)
        assert json.loads(process.stdout.readline())["kv_txn"] > 0
        assert process.wait() == 0


SITE = ("base.jsonc", "--overlay", "site.jsonc")


def run(folder, *words):
    done = subprocess.run(
        [sys.executable, "-m", "papayagw", "config", *words],
        cwd=folder.path,
        env=environment(),
        capture_output=True,
        text=True,
        timeout=60,
    )
    return done.returncode, done.stdout + done.stderr


@pytest.mark.parametrize(
    ("words", "code", "texts"),
    [
        (("check", *SITE), 0, ["no problems"]),
        (("check", "base.jsonc"), 2, ["name", "control_address", "order.address"]),
        (("check", "bad.jsonc", "--overlay", "site.jsonc"), 2, ["order.id"]),
        (("check", "nowhere.jsonc"), 2, ["No such file"]),
        (("diff", *SITE), 2, ["--platform"]),
        (("submit", *SITE), 2, ["--platform"]),
        (
            ("submit", *SITE, "--platform", "http://x", "--expect-version", "new"),
            *(2, ["--expect_version"]),
        ),
        (("status", "ee-north", "--platform", "http://127.0.0.1:1"), 4, ["no answer"]),
    ],
)
def test_command_without_platform(folder, words, code, texts):
    returned, output = run(folder, *words)
    assert returned == code
    assert all(text in output for text in texts)
    assert "Traceback" not in output


def test_change_from_submission_to_status(folder, platform):
    to = ("--platform", platform)
    site, changed, moved = (
        ("base.jsonc", "--overlay", f"{name}.jsonc")
        for name in ("site", "changed", "moved")
    )
    steps = [
        (("status", "ee-north", *to), 4, "was ever submitted"),
        (("submit", *site, *to, "--expect-version", "4"), 1, "version 0 is in force"),
        (("submit", *site, *to), 0, "accepted: version 1"),
        (("diff", *site, *to), 0, ""),
        (("diff", *changed, *to), 1, "services.order.max_flows: 2000 -> 7"),
        (("submit", *changed, *to, "--expect-version", "1"), 0, "version 2"),
        (("submit", *site, *to, "--expect-version", "1"), 1, "version 2 is in force"),
        (("submit", *moved, *to), 1, "would break"),
        (("submit", *moved, *to, "--allow-breaking"), 0, "version 3"),
        (("status", "ee-north", *to), 0, "version 3"),
        (("status", "ee-north", *to, "--nodes", "127.0.0.1:1"), 1, "no answer"),
    ]
    for words, code, text in steps:
        returned, output = run(folder, *words)
        assert (words, returned) == (words, code), output
        assert text in output


@pytest.mark.parametrize(
    ("faults", "code", "text"),
    [
        ({"lost_answers": 2}, 0, "accepted"),
        ({"lost_answers": 1000}, 3, "unknown"),
        ({"outage": True}, 1, "refused"),
    ],
)
def test_operator_is_told_the_truth_through_faults(
    folder, platform, faults, code, text
):
    overlay = change(OVERLAY, "name", f"site-{code}")
    folder.write("fault.jsonc", overlay)
    httpx.post(f"{platform}/standin/faults", json=faults, trust_env=False)
    try:
        returned, output = run(
            folder,
            *("submit", "base.jsonc", "--overlay", "fault.jsonc"),
            *("--platform", platform, "--limit_ms", "3000"),
        )
    finally:
        httpx.post(f"{platform}/standin/faults", json={}, trust_env=False)
    assert returned == code
    assert text in output
