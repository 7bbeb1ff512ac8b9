"""Small stand-ins for the systems that surround papayagw."""
