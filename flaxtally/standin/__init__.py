"""Stand-ins for the outside systems, by their protocol: for the tests' simulated world and the
demo.

They run on any `Runtime`, so the same ones serve on a simulated network and on loopback.
"""
