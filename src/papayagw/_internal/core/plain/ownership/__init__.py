"""Which agent owns a flow: the agent's table, the balancer's cache and lookups."""
