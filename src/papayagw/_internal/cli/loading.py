"""Reading of a process's settings for the commands that run one."""

from typing import TypeVar

import anyio
from returns.pipeline import is_successful
from returns.result import Result

from papayagw._internal.exceptions import Step
from papayagw._internal.models.configuration import Configuration
from papayagw._internal.models.settings import NodeSettings
from papayagw._internal.net.configuration import ConfigurationSource
from papayagw._internal.net.configuration_setup import make_source
from papayagw._internal.observe.logs import Log
from papayagw._internal.settings.problem import Problems, make_error

T = TypeVar("T")


def unwrap_settings(result: Result[T, Problems]) -> T:
    """Return settings that were read.

    Raises
    ------
    SettingsError
        If there are problems; it lists them all.
    """
    if is_successful(result):
        return result.unwrap()
    raise make_error(result.failure())


def start_configuration_source(
    node: NodeSettings, log: Log
) -> tuple[ConfigurationSource, Configuration]:
    """Return the configuration source of a node, started, and what is in force.

    Parameters
    ----------
    node : NodeSettings
        The node's settings.
    log : Log
        Where trouble with the platform is logged.
    """
    source = make_source(node, log.failure)
    log.info("waiting for a configuration", step=Step.START)
    return source, anyio.run(source.start)
