"""Plain data: frozen data classes and the protocol types of time."""
