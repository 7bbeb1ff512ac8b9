"""Small helpers, each with a single purpose."""
