"""The names of all commands, and where each one's module is.

Modules are imported when they are needed, so that a daemon doesn't hold the
libraries of every other command in memory.
"""

from dataclasses import dataclass
from importlib import import_module

from papayagw._internal.cli.base import Command

_COMMANDS = "papayagw._internal.cli.commands"


@dataclass(frozen=True, slots=True)
class CommandInfo:
    """A command as the list of commands shows it.

    Attributes
    ----------
    words : tuple of str
        What the operator types, such as ``("config", "check")``.
    module : str
        The module under ``commands``.
    summary : str
        One line of help.
    """

    words: tuple[str, ...]
    module: str
    summary: str

    def load(self) -> Command:
        """Import the command."""
        command: Command = import_module(f"{_COMMANDS}.{self.module}").COMMAND
        return command


COMMANDS = (
    CommandInfo(("balancer",), "balancer", "Hand packets to the agents."),
    CommandInfo(("agent",), "agent", "Own the flows of a backend server."),
    CommandInfo(("connect",), "connect", "Carry TCP connections as flows."),
    CommandInfo(("config", "check"), "config_check", "Check a site's files."),
    CommandInfo(("config", "diff"), "config_diff", "Show what a change changes."),
    CommandInfo(("config", "submit"), "config_submit", "Make files the next version."),
    CommandInfo(("config", "status"), "config_status", "Show the version in force."),
    CommandInfo(
        ("keys", "make"), "keys_make", "Make a development certificate and fleet key."
    ),
    CommandInfo(("status",), "status", "Show what nodes are doing; record it."),
    CommandInfo(("report", "burn"), "report_burn", "Report on service-level burn."),
    CommandInfo(
        ("platform", "balancer"),
        "platform_balancer",
        "Hand plain flows to the agents of the prepared platform.",
    ),
    CommandInfo(
        ("platform", "agent"),
        "platform_agent",
        "Own plain flows on the prepared platform.",
    ),
    CommandInfo(
        ("standin", "platform"), "standin_platform", "Hold keys and values in memory."
    ),
    CommandInfo(("load",), "load", "Put load on a site and report."),
    CommandInfo(("standin", "fabric"), "standin_fabric", "Spray packets at random."),
    CommandInfo(("standin", "backend"), "standin_backend", "Serve as a backend."),
)


def find_command(words: tuple[str, ...]) -> CommandInfo | None:
    """Return the command at the start of a command line, or None."""
    matches = (info for info in COMMANDS if words[: len(info.words)] == info.words)
    return next(matches, None)
