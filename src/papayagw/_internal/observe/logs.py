"""Structured logging through absl: one JSON object per line, on standard error.

Every line has ``time``, ``level``, ``message`` and ``node``, followed by the fields
of the call, such as ``step``, ``peer`` and ``flow``.
"""

import json
import logging as stdlib_logging
from typing import Any

from absl import flags
from absl import logging as absl_logging

from papayagw._internal.core.log_limiter import LogLimiter
from papayagw._internal.exceptions import PapayagwError
from papayagw._internal.models.clock import Clock
from papayagw._internal.observe.log_text import format_time, format_value

_FIELDS_ATTRIBUTE = "papayagw_fields"
_LEVELS = {
    "debug": absl_logging.DEBUG,
    "info": absl_logging.INFO,
    "warning": absl_logging.WARNING,
    "error": absl_logging.ERROR,
}
LEVEL_NAMES = tuple(_LEVELS)


class JsonLinesFormatter(stdlib_logging.Formatter):
    """Formats a log record as a JSON object on one line.

    Parameters
    ----------
    node : str
        The name of the node.
    """

    def __init__(self, node: str):
        super().__init__()
        self._node = node

    def format(self, record: stdlib_logging.LogRecord) -> str:
        """Return the JSON object, without a newline."""
        line: dict[str, Any] = {
            "time": format_time(record.created),
            "level": record.levelname.lower(),
            "message": record.getMessage(),
            "node": self._node,
        }
        if record.name != "absl":
            line["library"] = record.name
        fields = getattr(record, _FIELDS_ATTRIBUTE, {})
        # Fields of the call must not overwrite the standard fields.
        line.update({key: one for key, one in fields.items() if key not in line})
        if record.exc_info:
            line["traceback"] = self.formatException(record.exc_info)
        return json.dumps(line, default=format_value)


class Log:
    """Logger that writes messages with fields through absl.

    Parameters
    ----------
    clock : Clock
        The clock of the rate limit on messages that packets from outside may cause.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._limiter = LogLimiter()

    def debug(self, message: str, **fields: object) -> None:
        """Log a message that is of interest to developers only."""
        self._write("debug", message, fields)

    def info(self, message: str, **fields: object) -> None:
        """Log an ordinary event."""
        self._write("info", message, fields)

    def warning(self, message: str, **fields: object) -> None:
        """Log a problem that an operator should look into, but not urgently."""
        self._write("warning", message, fields)

    def error(self, message: str, **fields: object) -> None:
        """Log a problem that an operator should look into at once."""
        self._write("error", message, fields)

    def failure(self, error: PapayagwError, **fields: object) -> None:
        """Log an exception as an error, with its step, peer and remedy if present."""
        known = {"step": error.step, "peer": error.peer, "remedy": error.remedy}
        present = {key: value for key, value in known.items() if value}
        self._write("error", error.what, {**present, **fields})

    def exception(self, message: str, **fields: object) -> None:
        """Log the exception being handled, a bug in papayagw, with its traceback."""
        absl_logging.error(
            "%s", message, extra={_FIELDS_ATTRIBUTE: fields}, exc_info=True
        )

    def rate_limited_warning(self, message: str, **fields: object) -> None:
        """Log a warning, at a rate limited per `message`.

        Use it for messages that packets from outside can cause in large numbers.

        Parameters
        ----------
        message : str
            The key of the rate limit. It must be constant; variable parts go in
            `fields`.
        **fields : object
            Further fields of the line.
        """
        suppressed = self._limiter.admit(message, self._clock.now())
        if suppressed is None:
            return
        if suppressed:
            fields["suppressed"] = suppressed
        self._write("warning", message, fields)

    def flush_suppressed(self) -> None:
        """Log how many messages were suppressed in rate-limit windows that ended."""
        suppressed = self._limiter.pop_suppressed(self._clock.now())
        for message, count in suppressed.items():
            self._write("warning", message, {"suppressed": count})

    def _write(self, level: str, message: str, fields: dict[str, Any]) -> None:
        absl_logging.log(
            _LEVELS[level], "%s", message, extra={_FIELDS_ATTRIBUTE: fields}
        )


def configure_logging(node: str, clock: Clock, level: str = "info") -> Log:
    """Send all logs of this process to standard error as JSON lines.

    Messages of other libraries are written from level ``warning`` up.

    Parameters
    ----------
    node : str
        The name of the node.
    clock : Clock
        The clock of the rate limit; see `Log`.
    level : str
        The lowest level of papayagw's own messages that is written; one of
        `LEVEL_NAMES`.
    """
    if not flags.FLAGS.is_parsed():
        flags.FLAGS.mark_as_parsed()
    flags.FLAGS["logtostderr"].value = True
    absl_logging.use_absl_handler()
    absl_logging.get_absl_handler().setFormatter(JsonLinesFormatter(node))
    absl_logging.set_verbosity(_LEVELS[level])
    # absl sets the level of the root logger, which the loggers of other libraries
    # inherit.
    stdlib_logging.getLogger().setLevel(stdlib_logging.WARNING)
    absl_logging.get_absl_logger().setLevel(level.upper())
    return Log(clock)
