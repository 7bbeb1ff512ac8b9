"""Client of the platform's key-value service, behind the `Store` protocol."""
