"""Files of service-level records: JSON lines, one record per line.

The files are on the machine where an operator runs ``papayagw status --record``,
never on the nodes, which have no disks.
"""

import json
from collections.abc import Iterable, Sequence
from contextlib import suppress
from dataclasses import dataclass
from io import BufferedWriter
from pathlib import Path

from returns.result import Failure, Result, Success

from papayagw._internal.exceptions import ReportError, Step
from papayagw._internal.models.report import LATENCY_BUCKETS, ServiceRecord
from papayagw._internal.observe.json_values import from_json_value, to_json_value


@dataclass(frozen=True, slots=True)
class InvalidLine:
    """Line of a file that is not a valid record.

    Attributes
    ----------
    file : str
        The path of the file.
    line : int
        The line number, starting at 1.
    reason : str
        Why the line is not a valid record.
    """

    file: str
    line: int
    reason: str

    def __str__(self) -> str:
        return f"{self.file}:{self.line}: {self.reason}"


@dataclass(frozen=True, slots=True)
class ParsedRecords:
    """Content of one or more record files.

    Attributes
    ----------
    records : tuple of ServiceRecord
        The valid records, in the order of the files and their lines.
    invalid_lines : tuple of InvalidLine
        The lines that were skipped.
    """

    records: tuple[ServiceRecord, ...]
    invalid_lines: tuple[InvalidLine, ...]


class RecordWriter:
    """Appends records to a file.

    Parameters
    ----------
    path : Path
        The file; it is created if it does not exist.
    """

    def __init__(self, path: Path):
        self._path = path
        self._file: BufferedWriter | None = None

    def start(self) -> None:
        """Open the file.

        Raises
        ------
        ReportError
            If the file cannot be opened for writing.
        """
        try:
            self._file = self._path.open("ab")
        except OSError as error:
            raise _make_file_error(self._path, error, "written to") from error
        if self._file.tell() and not _ends_with_newline(self._path):
            # An earlier process was interrupted while writing. Without a newline
            # its incomplete last line would make the first new record invalid.
            self._file.write(b"\n")

    def write(self, records: Iterable[ServiceRecord]) -> None:
        """Append records and flush them to the operating system.

        Raises
        ------
        ReportError
            If writing fails, for instance because the disk is full.
        """
        if self._file is None:
            return
        try:
            for record in records:
                self._file.write(encode_record(record))
            self._file.flush()
        except OSError as error:
            raise _make_file_error(self._path, error, "written to") from error

    def close(self) -> None:
        """Close the file."""
        if self._file is not None:
            # A failure to write buffered data, such as on a full disk, was already
            # raised by `write`.
            with suppress(OSError):
                self._file.close()
        self._file = None


def encode_record(record: ServiceRecord) -> bytes:
    """Return `record` as a JSON line."""
    return json.dumps(to_json_value(record), separators=(",", ":")).encode() + b"\n"


def read_records(paths: Sequence[Path]) -> Result[ParsedRecords, ReportError]:
    """Return the content of the files, or the error of the first unreadable one."""
    records: list[ServiceRecord] = []
    invalid_lines: list[InvalidLine] = []
    for path in paths:
        try:
            lines = path.read_bytes().splitlines(keepends=True)
        except OSError as error:
            return Failure(_make_file_error(path, error, "read"))
        for number, line in enumerate(lines, start=1):
            match _parse_line(line):
                case Success(record):
                    records.append(record)
                case Failure(reason):
                    invalid_lines.append(InvalidLine(str(path), number, reason))
    return Success(ParsedRecords(tuple(records), tuple(invalid_lines)))


def _parse_line(line: bytes) -> Result[ServiceRecord, str]:
    """Return the record of a JSON line, or the reason why it is invalid."""
    try:
        value = json.loads(line)
    except (ValueError, RecursionError):
        truncated = not line.endswith(b"\n")
        return Failure("cut off before its end" if truncated else "not JSON")
    match from_json_value(ServiceRecord, value):
        case Success(record):
            reason = _find_invalid_value(record)
            return Failure(reason) if reason else Success(record)
        case Failure(error):
            return Failure(str(error))
    raise AssertionError("a result is a success or a failure")


def _find_invalid_value(record: ServiceRecord) -> str:
    """Return which value of a record is invalid, or an empty string."""
    counts = record.counts
    numbers = (counts.opened, counts.refused, counts.cut, *counts.answered)
    if record.end_ms <= record.start_ms:
        return "ends before it starts: the recorder's clock was set back"
    if len(counts.answered) != LATENCY_BUCKETS:
        return f"expected {LATENCY_BUCKETS} buckets of latency"
    if min(*numbers, record.work_ms) < 0 or not 0 <= record.capacity < float("inf"):
        return "a count below zero"
    return ""


def _ends_with_newline(path: Path) -> bool:
    with path.open("rb") as file:
        file.seek(-1, 2)
        return file.read(1) == b"\n"


def _make_file_error(path: Path, error: OSError, verb: str) -> ReportError:
    return ReportError(
        f"the file can't be {verb}: {error.strerror}",
        step=Step.REPORT,
        peer=str(path),
        remedy="give a file that you may use",
    )
