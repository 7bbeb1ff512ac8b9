"""Registry of all commands and their modules.

Modules are imported on demand, so that a daemon doesn't load the libraries of the
other commands into memory.
"""

from dataclasses import dataclass
from importlib import import_module

from papayagw._internal.cli.base import Command

_COMMANDS = "papayagw._internal.cli.commands"


@dataclass(frozen=True, slots=True)
class CommandInfo:
    """Entry of a command in the registry.

    Attributes
    ----------
    words : tuple of str
        Words of the command line that select it, such as ``("config", "check")``.
    module : str
        Name of the module under ``commands``.
    summary : str
        One-line description for the list of commands.
    """

    words: tuple[str, ...]
    module: str
    summary: str

    def load(self) -> Command:
        """Import the module of the command and return its ``COMMAND``."""
        command: Command = import_module(f"{_COMMANDS}.{self.module}").COMMAND
        return command


COMMANDS = (
    CommandInfo(("balancer",), "balancer", "Forward packets to the agents."),
    CommandInfo(("agent",), "agent", "Forward flows to a backend server."),
    CommandInfo(("connect",), "connect", "Forward TCP connections as flows."),
    CommandInfo(("config", "check"), "config_check", "Validate a site's files."),
    CommandInfo(
        ("config", "diff"),
        "config_diff",
        "Show the differences between configurations.",
    ),
    CommandInfo(
        ("config", "submit"),
        "config_submit",
        "Submit files as the next configuration version.",
    ),
    CommandInfo(
        ("config", "status"), "config_status", "Show the configuration in force."
    ),
    CommandInfo(
        ("keys", "make"), "keys_make", "Create a development certificate and fleet key."
    ),
    CommandInfo(("status",), "status", "Show or record the status of nodes."),
    CommandInfo(
        ("report", "burn"), "report_burn", "Report the burn rates of error budgets."
    ),
    CommandInfo(
        ("platform", "balancer"),
        "platform_balancer",
        "Forward plain flows to the agents of the prepared platform.",
    ),
    CommandInfo(
        ("platform", "agent"),
        "platform_agent",
        "Forward plain flows to a backend server of the prepared platform.",
    ),
    CommandInfo(
        ("standin", "platform"), "standin_platform", "Run an in-memory key-value store."
    ),
    CommandInfo(("load",), "load", "Generate load on a site and report the results."),
    CommandInfo(
        ("standin", "fabric"), "standin_fabric", "Forward packets to random balancers."
    ),
    CommandInfo(
        ("standin", "backend"), "standin_backend", "Run a test backend server."
    ),
)


def find_command(words: tuple[str, ...]) -> CommandInfo | None:
    """Return the command that `words` begin with, or None."""
    matches = (info for info in COMMANDS if words[: len(info.words)] == info.words)
    return next(matches, None)
