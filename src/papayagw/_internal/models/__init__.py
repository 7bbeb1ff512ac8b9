"""Data models: frozen data classes, and the protocol of the clock."""
