"""Routes that flows may still follow after a change of the configuration."""
