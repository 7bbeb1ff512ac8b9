"""Translation between papayagw and the prepared platform.

The platform's names of fields, paths and headers are only used in this package. The
package makes no decisions, keeps no state and retries nothing.
"""
