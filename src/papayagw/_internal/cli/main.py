"""Entry of the command line."""

import sys
from collections.abc import Callable, Sequence
from functools import wraps

import fire

from papayagw import __version__
from papayagw._internal.cli.base import ExitCode
from papayagw._internal.cli.registry import COMMANDS, find_command
from papayagw._internal.exceptions import PapayagwError, SettingsError


def main(arguments: Sequence[str] | None = None) -> None:
    """Run the command that the command line names, and exit with its code."""
    words = tuple(sys.argv[1:] if arguments is None else arguments)
    if words[:1] == ("--version",):
        print(f"papayagw {__version__}")
        sys.exit(ExitCode.OK)
    if words[:1] in ((), ("--help",), ("-h",), ("help",)):
        print(format_overview())
        sys.exit(ExitCode.OK)
    info = find_command(words)
    if info is None:
        typed = " ".join(words[:2])
        print(f"papayagw: no command {typed!r}\n\n{format_overview()}", file=sys.stderr)
        sys.exit(ExitCode.USAGE)
    name = " ".join(("papayagw", *info.words))
    run = _exit_with_code(info.load().run)
    fire.Fire(run, command=list(words[len(info.words) :]), name=name)


def format_overview() -> str:
    """Return the list of all commands."""
    width = max(len(" ".join(info.words)) for info in COMMANDS)
    lines = [f"  {' '.join(one.words):{width}}  {one.summary}" for one in COMMANDS]
    head = "usage: papayagw COMMAND [--help] [flags]\n\ncommands:\n"
    return head + "\n".join(lines)


def _exit_with_code(run: Callable[..., int]) -> Callable[..., None]:
    @wraps(run)
    def run_and_exit(*args: object, **flags: object) -> None:
        try:
            code = run(*args, **flags)
        except SettingsError as error:
            print(f"papayagw: {error}", file=sys.stderr)
            sys.exit(ExitCode.USAGE)
        except PapayagwError as error:
            print(f"papayagw: {error}", file=sys.stderr)
            sys.exit(ExitCode.FAILED)
        except KeyboardInterrupt:
            sys.exit(ExitCode.FAILED)
        sys.exit(code)

    return run_and_exit
