"""The implementation. Nothing here is public."""
