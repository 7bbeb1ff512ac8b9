"""Stand-ins for the platform's services, its fabric and the backend servers."""
