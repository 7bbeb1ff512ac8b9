"""Encoding of messages, and QUIC connections without input or output."""
