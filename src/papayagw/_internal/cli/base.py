"""Command protocol, and the exit codes of all commands."""

from collections.abc import Callable
from enum import IntEnum
from typing import Protocol


class ExitCode(IntEnum):
    """Exit code of a command."""

    OK = 0
    REFUSED = 1
    """The request was valid but refused, or a check found a problem."""
    USAGE = 2
    """The command line or a settings file is invalid."""
    UNKNOWN = 3
    """No response confirms whether the request took effect."""
    FAILED = 4
    """The command failed with an error."""


class Command(Protocol):
    """A command of ``papayagw``, in a module of its own under ``commands``.

    The module assigns an instance to ``COMMAND``. The parameters of `run` become the
    flags, and its docstring becomes the help page.
    """

    @property
    def run(self) -> Callable[..., int]:
        """Function that executes the command and returns an exit code."""
