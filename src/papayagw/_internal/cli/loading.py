"""Loading of settings and configuration by commands that run a process."""

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
    """Return the settings in a result of loading them.

    Raises
    ------
    SettingsError
        If the settings are invalid; it lists every problem.
    """
    if is_successful(result):
        return result.unwrap()
    raise make_error(result.failure())


def start_configuration_source(
    node: NodeSettings, log: Log
) -> tuple[ConfigurationSource, Configuration]:
    """Start the configuration source of a node.

    Parameters
    ----------
    node : NodeSettings
        Settings of the node.
    log : Log
        Log for errors of the platform.

    Returns
    -------
    source : ConfigurationSource
        The started source.
    configuration : Configuration
        The configuration in force; the call waits until there is one.
    """
    source = make_source(node, log.failure)
    log.info("waiting for a configuration", step=Step.START)
    return source, anyio.run(source.start)
