"""Choice of the agent for each opening, and the openings in progress."""
