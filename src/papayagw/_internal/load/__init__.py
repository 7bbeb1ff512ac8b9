"""The load tool: open-loop arrivals of the users' workloads over TCP."""
