"""A layer-4 load balancer whose packets carry the state of their flow.

The public surface is this module: the caller library (:func:`open_flow`), the
version and the errors. Everything under ``papayagw._internal`` may change.
"""

__version__ = "0.1.0"

__all__ = ["__version__"]
