"""Small stand-ins of the platform, the fabric and the backend servers."""
