"""Development scripts: start fleets of processes and run the tests."""
