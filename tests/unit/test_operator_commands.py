import json
import time

import pytest

from papayagw._internal.cli.main import main
from papayagw._internal.cli.registry import COMMANDS
from papayagw._internal.exceptions import StatusError, Step
from papayagw._internal.observe.records import encode_record
from papayagw._internal.observe.status_text import format_status
from tests.lib.reports import make_record, make_status

UNREACHABLE = "127.0.0.1:1"


def run(capsys, *words):
    """Return the exit code, stdout and stderr of a command."""
    with pytest.raises(SystemExit) as raised:
        main([str(word) for word in words])
    printed = capsys.readouterr()
    return raised.value.code, printed.out, printed.err


def write_records(path, *records):
    """Write records, given as pairs of end (ms from now) and other fields."""
    now = int(time.time() * 1_000)
    lines = [
        encode_record(make_record(now + end, **changes)) for end, changes in records
    ]
    path.write_bytes(b"".join(lines))
    return path


@pytest.mark.parametrize(
    ("words", "code", "message"),
    [
        (["status"], 2, "no node is given; give the admin endpoint"),
        (["status", "localhost:1"], 2, "expected an IPv4 address, found 'localhost'"),
        (["status", UNREACHABLE], 1, f"(peer {UNREACHABLE}); check that the node runs"),
        (["status", UNREACHABLE, "--json"], 1, '"no_answer": [{"peer": "127.0.0.1:1"'),
        (["status", UNREACHABLE, "--every=0"], 2, "give --every a number above 0"),
        (["status", UNREACHABLE, "--every=x"], 2, "expected seconds, found 'x'"),
        (
            ["status", UNREACHABLE, "--every=0.01", "--rounds=2"],
            1,
            "check that the node",
        ),
        (["status", UNREACHABLE, "--colour"], 2, "Could not consume arg: --colour"),
        (["status", UNREACHABLE, "--record=/", "--rounds=1"], 4, "can't be written to"),
        (["report", "burn"], 2, "no record file is given"),
        (["report", "burn", "/none"], 4, "can't be read: No such file"),
        (["report", "burn", "/"], 4, "can't be read: Is a directory"),
        (["report", "burn", "/dev/null"], 4, "no usable records (peer /dev/null)"),
        (["report", "burn", "/dev/null", "--settings=/none"], 2, "/none"),
    ],
)
def test_command_line_that_fails_says_why(capsys, words, code, message):
    found, out, err = run(capsys, *words)
    assert found == code
    assert message in out + err
    assert "Traceback" not in err


@pytest.mark.parametrize(
    ("words", "code", "message"),
    [
        ([], 0, "  report burn  "),
        (["--help"], 0, "  report burn  "),
        (["--version"], 0, "papayagw 0."),
        (["config"], 0, "  config submit  "),
        (["config", "--help"], 0, "  config submit  "),
        (["config", "sumbit"], 2, "unknown command 'config sumbit'"),
        (["sing"], 2, "unknown command 'sing'"),
        *(
            ([*info.words, "--help"], 0, f"papayagw {' '.join(info.words)} - ")
            for info in COMMANDS
        ),
    ],
)
def test_help_names_every_command(capsys, words, code, message):
    found, out, err = run(capsys, *words)
    assert (found, bool(out), bool(err)) == (code, code == 0, code != 0)
    assert message in out + err


@pytest.mark.parametrize(
    ("records", "code", "message"),
    [
        ([(0, {})], 0, "all objectives are met"),
        ([(0, {"broken": 1})], 1, "order, availability: 1 of 100 flows broken, 1000%"),
        ([(10_000, {}), (0, {})], 0, "all objectives are met"),
        ([(0, {}), (-60_000, {"broken": 1})], 1, "BUDGET SPENT"),
        ([(0, {}), (0, {})], 0, "(overlapping earlier records): 1"),
        (
            [(0, {}), (600_000, {"broken": 1})],
            0,
            "ending in the future, a clock is wrong",
        ),
    ],
)
def test_burn_report_judges_records(capsys, tmp_path, records, code, message):
    path = write_records(tmp_path / "records", *records)
    found, out, _ = run(capsys, "report", "burn", path)
    assert (found, message in out) == (code, True)


@pytest.mark.parametrize(
    ("records", "message"),
    [
        ([(600_000, {})], "ending in the future"),
        ([(-40 * 86_400_000, {})], "older than 30 d"),
    ],
)
def test_no_usable_records_says_why(capsys, tmp_path, records, message):
    path = write_records(tmp_path / "records", *records)
    found, _, err = run(capsys, "report", "burn", path)
    assert (found, message in err) == (4, True)


def test_cut_off_record_is_noted(capsys, tmp_path):
    path = write_records(tmp_path / "records", (-10_000, {}), (0, {}))
    path.write_bytes(path.read_bytes()[:-20])
    found, out, _ = run(capsys, "report", "burn", path)
    assert found == 0
    assert f"skipped {path}:2: cut off before its end" in out


def test_burn_report_as_json_and_picture(capsys, tmp_path):
    path = write_records(tmp_path / "records", (0, {"broken": 1}))
    picture = tmp_path / "burn.png"
    found, out, _ = run(capsys, "report", "burn", path, "--json", "--picture", picture)
    (service,) = json.loads(out)["services"]
    assert found == 1
    assert (service["service"], service["objectives"][0]["risk"]) == ("order", "spent")
    assert picture.read_bytes().startswith(b"\x89PNG")


@pytest.mark.parametrize(
    ("instances", "first", "rest"),
    [(24, "order-0", ""), (40, "order-7", "and 16 more, with fewer cut flows")],
)
def test_many_backend_servers_show_the_worst(capsys, tmp_path, instances, first, rest):
    records = [
        (0, {"instance": f"order-{number}", "work": 10, "broken": int(number == 7)})
        for number in range(instances)
    ]
    path = write_records(tmp_path / "records", *records)
    _, out, _ = run(capsys, "report", "burn", path)
    lines = out.splitlines()
    head = next(index for index, line in enumerate(lines) if line.startswith("BACKEND"))
    assert lines[head + 1].split()[0] == first
    assert ("and " in out, rest in out) == (bool(rest), True)


def test_picture_that_cannot_be_written_is_named(capsys, tmp_path):
    path = write_records(tmp_path / "records", (0, {}))
    found, _, err = run(capsys, "report", "burn", path, "--picture=/none/x.png")
    assert (found, "/none/x.png" in err) == (4, True)


def test_status_tables_show_every_part():
    other = make_status(node="order-2", configuration_version=8, services=())
    error = StatusError("silent", step=Step.STATUS, peer=UNREACHABLE, remedy="start it")
    lines = format_status([make_status(), other], [error], full=True).splitlines()
    squeezed = [" ".join(line.split()) for line in lines]
    for line in (
        "NODE ROLE ZONE STATE UP CONFIG FLOWS VERSION",
        "order-1 agent a ready 1 min 30 s 7 12 0.1.0",
        "order-1 order 12 100 0 0 0 1.0 64",
        "order-1 127.0.0.10:4300 balancer up 40",
        "order-2 127.0.1.2:4310 order a ready 64 12",
        "order-1 agent.drop.bad-tag 2",
        f"no answer: status: silent (peer {UNREACHABLE}); start it",
        "configuration versions differ: 7, 8; see docs/OPERATING.md",
    ):
        assert line in squeezed
