"""The contract of a command and the exit codes that all commands share."""

from collections.abc import Callable
from enum import IntEnum
from typing import Protocol


class ExitCode(IntEnum):
    """What a command's exit code says."""

    OK = 0
    REFUSED = 1
    """The request was understood and refused, or a check found a fault."""
    USAGE = 2
    """The command line or a settings file can't be used."""
    UNKNOWN = 3
    """No answer tells whether the request took effect."""
    FAILED = 4
    """An error arose while the command ran."""


class Command(Protocol):
    """One command of ``papayagw``, in a module of its own under ``commands``.

    A module holds one object of this type in ``COMMAND``. The parameters of `run`
    are the flags, and its docstring is the help page.
    """

    @property
    def run(self) -> Callable[..., int]:
        """Carry the command out and return an exit code."""
