"""Commands of ``papayagw``, one module each."""
