"""``papayagw keys make``: create a development certificate and a fleet key."""

from collections.abc import Callable
from pathlib import Path

from papayagw._internal.cli.base import ExitCode
from papayagw._internal.cli.values import FlagList, split_list
from papayagw._internal.settings.development_keys import make_development_keys


class KeysMakeCommand:
    """Create a certificate authority, a server certificate and a fleet key."""

    @property
    def run(self) -> Callable[..., int]:
        """Function that executes the command."""
        return make_keys


def make_keys(folder: str, names: FlagList = "order,drawings,ledger,intake") -> int:
    """Create a development certificate and a fleet key, and print their paths.

    These files are for trials only: the private key of the authority isn't saved.
    In production, use certificates of your own authority.

    Parameters
    ----------
    folder : str
        Folder for the files; it is created if it doesn't exist.
    names : list of str
        Services for which the certificate is valid, separated by commas.
    """
    keys = make_development_keys(Path(folder), split_list(names))
    print(f"authority:   {keys.authority}")
    print(f"certificate: {keys.certificate}")
    print(f"private key: {keys.private_key}")
    print(f"fleet key:   {keys.fleet_key}")
    return ExitCode.OK


COMMAND = KeysMakeCommand()
