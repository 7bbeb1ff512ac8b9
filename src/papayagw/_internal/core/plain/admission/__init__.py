"""Whether the local backend server can receive another opening."""
