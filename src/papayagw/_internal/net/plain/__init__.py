"""Sockets and timers round the core of the plain UDP front end.

These processes run on a loop of their own: to import anyio with its backend takes
0.15 s of processor time and 21 MB, as much as a whole process here may take until
it serves. See docs/PLATFORM.md.
"""
