"""Load generator: open-loop arrivals of customers' workloads over TCP."""
