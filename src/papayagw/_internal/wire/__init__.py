"""Encoding of messages, and the driving of QUIC without input or output."""
