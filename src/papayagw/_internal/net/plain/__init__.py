"""Sockets and timers of the plain UDP front end, around `core.plain`.

The processes use their own event loop, because importing anyio and its backend takes
0.15 s of processor time and 21 MB. That is the whole start-up budget of a process
here. See docs/PLATFORM.md.
"""
