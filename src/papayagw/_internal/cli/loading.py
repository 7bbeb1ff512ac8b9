"""Reading of a process's settings for the commands that run one."""

from pathlib import Path
from typing import TypeVar

from returns.pipeline import is_successful
from returns.result import Result

from papayagw._internal.models.configuration import Configuration
from papayagw._internal.models.node import NodeSettings
from papayagw._internal.settings.problem import Problems, make_error
from papayagw._internal.settings.site import load_site

T = TypeVar("T")


def unwrap(result: Result[T, Problems]) -> T:
    """Return settings that were read.

    Raises
    ------
    SettingsError
        If there are problems; it lists them all.
    """
    if is_successful(result):
        return result.unwrap()
    raise make_error(result.failure())


def load_file_configuration(node: NodeSettings) -> Configuration:
    """Return the configuration of the files that a node's settings name."""
    overlay = None if node.overlay is None else Path(node.overlay)
    return Configuration(0, unwrap(load_site(Path(node.base or ""), overlay)))
