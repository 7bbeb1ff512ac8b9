"""Settings files that the platform generates from the templates in ``deploy/``.

They are JSON with comments on separate lines and use the names of papayagw.
"""

import json
import os
from enum import Enum
from math import inf
from pathlib import Path
from typing import Any, TypeVar

from papayagw._internal.exceptions import SettingsError, Step
from papayagw._internal.models.clock import MILLIS_PER_SECOND, Millis
from papayagw._internal.models.endpoint import Endpoint
from papayagw._internal.models.plain.settings import (
    AdmissionOrder,
    Placement,
    PlainAgentSettings,
    PlainBalancerSettings,
)

Policy = TypeVar("Policy", bound=Enum)
"""An enumeration of policies."""

SETTINGS_VARIABLE = "PAPAYAGW_NODE_FILE"
"""Environment variable that holds the path of the settings file."""


def find_settings_file() -> Path:
    """Return the path that the environment variable `SETTINGS_VARIABLE` holds.

    Raises
    ------
    SettingsError
        If the environment variable isn't set.
    """
    path = os.environ.get(SETTINGS_VARIABLE)
    if not path:
        raise SettingsError(
            "the environment variable is not set",
            step=Step.SETTINGS,
            peer=SETTINGS_VARIABLE,
            remedy="set it to the path of the settings file",
        )
    return Path(path)


def load_balancer_settings(path: Path) -> PlainBalancerSettings:
    """Load the settings of a balancer.

    Raises
    ------
    SettingsError
        If the file isn't readable or a field is missing or invalid.
    """
    fields = _Fields(path)
    entry = fields.endpoint("entry")
    cold_overage = fields.bound("cold_overage")
    return PlainBalancerSettings(
        **fields.common_arguments(entry),
        entry=entry,
        admission=fields.policy("admission", AdmissionOrder.PRIORITY),
        placement=fields.policy("placement", Placement.default_for(cold_overage)),
        limits_cold_servers=cold_overage is not None,
    )


def load_agent_settings(path: Path) -> PlainAgentSettings:
    """Load the settings of an agent.

    Raises
    ------
    SettingsError
        If the file isn't readable or a field is missing or invalid.
    """
    fields = _Fields(path)
    return PlainAgentSettings(
        **fields.common_arguments(fields.endpoint("data")),
        service=fields.text("service"),
        backend=fields.endpoint("backend"),
        outbound=fields.endpoint("outbound"),
        reports=fields.endpoint("reports"),
        report_interval_ms=Millis(fields.integer("report_interval_ms")),
        cold_overage=fields.bound("cold_overage"),
        cold_slack=fields.bound("cold_slack"),
    )


class _Fields:
    """The fields of a settings file, validated on access."""

    def __init__(self, path: Path):
        self._path = path
        self._fields = _read_json_object(path)

    def common_arguments(self, data: Endpoint) -> dict[str, Any]:
        """Return the settings that both roles share, as keyword arguments.

        Parameters
        ----------
        data : Endpoint
            The endpoint at which the machine receives clients' packets. Clients receive
            packets at the same port.
        """
        ip = self.text("ip")
        evacuate_ms = self.bound("evacuate_ms")
        return {
            "name": self.text("name"),
            "zone": self.text("zone"),
            "inner": Endpoint(ip, self.integer("inner_port")),
            "client_port": data.port,
            "readiness": self.endpoint("readiness"),
            "metrics": Endpoint(ip, self.integer("metrics_port")),
            "store": self.endpoint("store"),
            "grace_ms": self.seconds("grace_s"),
            "flow_limit_ms": self.seconds("flow_limit_s"),
            "evacuation_ms": None
            if evacuate_ms is None
            else Millis(round(evacuate_ms)),
        }

    def text(self, name: str) -> str:
        """Return a field that is a non-empty string."""
        value = self._fields.get(name)
        if not isinstance(value, str) or not value:
            raise self._invalid_field(name, "a non-empty string")
        return value

    def integer(self, name: str) -> int:
        """Return a field that is an integer."""
        value = self._fields.get(name)
        if type(value) is not int:
            raise self._invalid_field(name, "a whole number")
        return value

    def policy(self, name: str, default: Policy) -> Policy:
        """Return a field that names a policy; `default` if it is absent or null."""
        value = self._fields.get(name)
        if value is None:
            return default
        policies = type(default)
        try:
            return policies(value)
        except ValueError as error:
            names = " or ".join(one.value for one in policies)
            raise self._invalid_field(name, names) from error

    def bound(self, name: str) -> float | None:
        """Return a bound that the deployment states, from 0; None if it states none."""
        bounds = self._fields.get("bounds")
        if bounds is None:
            return None
        if not isinstance(bounds, dict):
            raise self._invalid_field("bounds", "an object")
        value = bounds.get(name)
        if value is None:
            return None
        if not isinstance(value, int | float) or isinstance(value, bool):
            raise self._invalid_field("bounds", f"a number as {name}")
        if not 0 <= value < inf:
            raise self._invalid_field("bounds", f"a number from 0 as {name}")
        return float(value)

    def seconds(self, name: str) -> Millis:
        """Return a field that is given in seconds, converted to milliseconds."""
        value = self._fields.get(name)
        if not isinstance(value, int | float) or isinstance(value, bool):
            raise self._invalid_field(name, "a number of seconds")
        return Millis(round(value * MILLIS_PER_SECOND))

    def endpoint(self, name: str) -> Endpoint:
        """Return a field that is an endpoint, as ``ip:port``."""
        try:
            return Endpoint.parse(self.text(name))
        except ValueError as error:
            raise self._invalid_field(name, "ip:port") from error

    def _invalid_field(self, name: str, expected: str) -> SettingsError:
        """Return the error that a field is missing or isn't as expected."""
        found = self._fields.get(name)
        return SettingsError(
            f"{name}: expected {expected}, found {found!r}",
            step=Step.SETTINGS,
            peer=str(self._path),
            remedy="correct the template from which the file is generated",
        )


def _read_json_object(path: Path) -> dict[str, Any]:
    """Return the fields of a JSON file, in which lines may be ``//`` comments.

    Raises
    ------
    SettingsError
        If the file can't be read or doesn't hold a JSON object.
    """
    try:
        lines = path.read_text(encoding="utf-8").splitlines()
        kept = (line for line in lines if not line.lstrip().startswith("//"))
        value = json.loads("\n".join(kept))
    except (OSError, ValueError) as error:
        raise SettingsError(
            f"can't read the file as JSON with comments: {error}",
            step=Step.SETTINGS,
            peer=str(path),
            remedy="correct the template from which the file is generated",
        ) from error
    if not isinstance(value, dict):
        raise SettingsError(
            "expected a JSON object", step=Step.SETTINGS, peer=str(path)
        )
    return value
