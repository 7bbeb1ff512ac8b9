"""Which agents and balancers exist, and what is known of each."""
