"""Creation of the configuration source that a node's settings specify."""

from collections.abc import Callable
from pathlib import Path

from papayagw._internal.core.configuration import ConfigurationLog
from papayagw._internal.exceptions import PapayagwError
from papayagw._internal.models.settings import NodeSettings
from papayagw._internal.net.configuration import (
    ConfigurationSource,
    FileConfigurationSource,
)
from papayagw._internal.net.configuration_peer import (
    ConfigurationServer,
    PeerConfigurationSource,
)
from papayagw._internal.net.configuration_platform import PlatformConfigurationSource
from papayagw._internal.net.configuration_store import ConfigurationStore
from papayagw._internal.store.etcd import EtcdStore


def make_source(
    node: NodeSettings, on_failure: Callable[[PapayagwError], None]
) -> ConfigurationSource:
    """Create the configuration source that the settings of a node specify.

    This is the platform if both it and the site are set, otherwise files.

    Parameters
    ----------
    node : NodeSettings
        Settings of the node.
    on_failure : callable
        Called with each error that is to be logged.
    """
    if not node.platform or node.site is None:
        overlay = None if node.overlay is None else Path(node.overlay)
        return FileConfigurationSource(Path(node.base or ""), overlay)
    log = ConfigurationLog()
    return PlatformConfigurationSource(
        ConfigurationStore(EtcdStore(node.platform), node.site),
        log,
        PeerConfigurationSource(log, node.keys),
        seeds=tuple(peer for peer in node.peers if peer != node.inner),
        server=ConfigurationServer(node.inner, log),
        on_failure=on_failure,
    )
