"""Stand-ins for the outside systems, for the simulated world and the demo.

They run on any `Runtime`, so the same ones serve on a simulated network and on loopback.
"""
