"""What an agent knows of the evacuation of its zone."""

from papayagw._internal.models.plain.entry_store import StoreRevision
from papayagw._internal.models.plain.frame import EvacuationFrame
from papayagw._internal.models.plain.instance import Availability


class AgentEvacuation:
    """Whether the agent's zone is evacuated, by the newest frame of any balancer.

    An agent that has received no frame takes its zone to be in service. Balancers that
    know of an evacuation don't choose it, and answer its first load report.

    Parameters
    ----------
    is_enabled : bool
        Whether zones are evacuated in this deployment; otherwise frames are ignored.
    """

    def __init__(self, is_enabled: bool):
        self._is_enabled = is_enabled
        self._is_evacuated = False
        self._revision: StoreRevision | None = None

    @property
    def is_evacuated(self) -> bool:
        """Whether the agent's zone is evacuated."""
        return self._is_evacuated

    def apply(self, frame: EvacuationFrame) -> bool:
        """Apply a frame if it is newer than the last one.

        Returns
        -------
        bool
            Whether the evacuation of the zone began or ended.
        """
        if not self._is_enabled:
            return False
        if self._revision is not None and frame.revision <= self._revision:
            return False
        self._revision = frame.revision
        has_changed = frame.is_evacuated is not self._is_evacuated
        self._is_evacuated = frame.is_evacuated
        return has_changed

    def limit(self, availability: Availability) -> Availability:
        """Return the availability to report, given that of the backend server.

        An evacuation takes precedence over the server's state, so that balancers can
        tell from any report whether the agent knows of it.
        """
        if self._is_evacuated and availability is not Availability.LEAVING:
            return Availability.EVACUATED
        return availability
