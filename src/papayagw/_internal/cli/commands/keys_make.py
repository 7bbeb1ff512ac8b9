"""``papayagw keys make``: a development certificate and a fleet key."""

from collections.abc import Callable
from pathlib import Path

from papayagw._internal.cli.base import ExitCode
from papayagw._internal.cli.values import FlagList, split_list
from papayagw._internal.settings.development_keys import make_development_keys


class KeysMakeCommand:
    """Make a certificate authority, a server certificate and a fleet key."""

    @property
    def run(self) -> Callable[..., int]:
        """Carry the command out."""
        return make_keys


def make_keys(folder: str, names: FlagList = "order,drawings,ledger,intake") -> int:
    """Make a development certificate and a fleet key and print where they are.

    Production certificates come from your own authority. The files made here are
    for trials: the authority's key isn't kept.

    Parameters
    ----------
    folder : str
        Where the files go. It is made if it isn't there.
    names : list of str
        The services that the certificate is for, with commas between them.
    """
    keys = make_development_keys(Path(folder), split_list(names))
    print(f"authority:   {keys.authority}")
    print(f"certificate: {keys.certificate}")
    print(f"private key: {keys.private_key}")
    print(f"fleet key:   {keys.fleet_key}")
    return ExitCode.OK


COMMAND = KeysMakeCommand()
