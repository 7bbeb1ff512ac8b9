"""A layer-4 load balancer whose packets carry the state of their flow.

The public surface is this module: the caller library (`Caller`, `Flow`), its errors
and the version. Everything under ``papayagw._internal`` may change.
"""

from importlib import import_module

from papayagw._internal.exceptions import (
    FlowRefusedError,
    FlowUnknownError,
    PapayagwError,
)

__version__ = "0.1.0"

__all__ = [
    "Caller",
    "Flow",
    "FlowRefusedError",
    "FlowUnknownError",
    "PapayagwError",
    "__version__",
]

_LAZY_NAMES = ("Caller", "Flow")


def __getattr__(name: str) -> object:
    # Imported on demand, so that a balancer doesn't load the caller library.
    if name in _LAZY_NAMES:
        return getattr(import_module("papayagw._internal.net.caller"), name)
    raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
