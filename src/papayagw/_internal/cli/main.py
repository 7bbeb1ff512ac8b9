"""Entry point of the command line."""

import sys
from collections.abc import Callable, Iterator, Sequence
from functools import partial, wraps

import fire
from fire.helptext import HelpText
from fire.trace import FireTrace

from papayagw import __version__
from papayagw._internal.cli.base import ExitCode
from papayagw._internal.cli.registry import COMMANDS, CommandInfo, find_command
from papayagw._internal.exceptions import PapayagwError, SettingsError

_HELP_FLAG = "--help"


def main(arguments: Sequence[str] | None = None) -> None:
    """Run the command given by `arguments` or `sys.argv`, and exit with its code."""
    words = tuple(sys.argv[1:] if arguments is None else arguments)
    if words[:1] == ("--version",):
        print(f"papayagw {__version__}")
        sys.exit(ExitCode.OK)
    if words[:1] in ((), (_HELP_FLAG,), ("-h",), ("help",)):
        print(format_overview(COMMANDS))
        sys.exit(ExitCode.OK)
    info = find_command(words)
    if info is None:
        sys.exit(_print_group_or_error(words))
    rest = list(words[len(info.words) :])
    run = info.load().run
    if _HELP_FLAG in rest:
        print(format_help(info, run))
        sys.exit(ExitCode.OK)
    command = _DeferredCall(run)
    fire.Fire(command.capture, command=rest, name=_join(info.words))
    sys.exit(_run(command.call))


def format_overview(commands: Sequence[CommandInfo]) -> str:
    """Return the usage line and a table of commands with their summaries."""
    width = max(len(" ".join(info.words)) for info in commands)
    lines = [f"  {' '.join(info.words):{width}}  {info.summary}" for info in commands]
    head = "usage: papayagw COMMAND [--help] [flags]\n\ncommands:\n"
    return head + "\n".join(lines)


def format_help(info: CommandInfo, run: Callable[..., int]) -> str:
    """Return the help page of a command."""
    name = _join(info.words)
    page: str = HelpText(run, FireTrace(run, name=name))
    # fire quotes a name of several words as if it were a single shell word.
    return page.replace(f"'{name}'", name)


def _join(words: Sequence[str]) -> str:
    return " ".join(("papayagw", *words))


def _print_group_or_error(words: Sequence[str]) -> ExitCode:
    """Print the commands of the group that `words` name, and return OK.

    Otherwise, print an error with the available commands and return USAGE.
    """
    group = [info for info in COMMANDS if info.words[0] == words[0]]
    if group and words[1:2] in ((), (_HELP_FLAG,)):
        print(format_overview(group))
        return ExitCode.OK
    typed = " ".join(words[:2])
    overview = format_overview(group or COMMANDS)
    print(f"papayagw: unknown command {typed!r}\n\n{overview}", file=sys.stderr)
    return ExitCode.USAGE


class _DeferredCall:
    """Defers a command until the whole command line has been parsed.

    fire calls a command before it checks the remaining arguments, so it would
    report an unknown flag only after the command has run.
    """

    def __init__(self, run: Callable[..., int]):
        self._run = run
        self._call: Callable[[], int] = lambda: ExitCode.USAGE

    @property
    def capture(self) -> Callable[..., None]:
        """Function with the signature of the command that stores its arguments."""

        @wraps(self._run)
        def capture(*args: object, **flags: object) -> None:
            self._call = partial(self._run, *args, **flags)

        return capture

    def call(self) -> int:
        """Run the command with the stored arguments and return its exit code."""
        return self._call()


def _run(call: Callable[[], int]) -> int:
    """Call a command and return its exit code; print the errors that it raises."""
    try:
        return call()
    except PapayagwError as error:
        return _print_error(error)
    except BaseExceptionGroup as group:
        # Task groups of a daemon wrap exceptions in a group. A group that holds only
        # papayagw errors is printed as messages, without a traceback.
        papayagw_errors, other_errors = group.split(PapayagwError)
        if papayagw_errors is None or other_errors is not None:
            raise
        return max(_print_error(error) for error in _find_leaves(papayagw_errors))
    except KeyboardInterrupt:
        return ExitCode.FAILED


def _print_error(error: PapayagwError) -> ExitCode:
    print(f"papayagw: {error}", file=sys.stderr)
    if isinstance(error, SettingsError):
        return ExitCode.USAGE
    return ExitCode.FAILED


def _find_leaves(group: BaseExceptionGroup[PapayagwError]) -> Iterator[PapayagwError]:
    for error in group.exceptions:
        if isinstance(error, BaseExceptionGroup):
            yield from _find_leaves(error)
        else:
            yield error
