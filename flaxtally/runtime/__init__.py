"""The loop, timers, streams, actors and HTTP: all that knows of sockets and clocks.

Imports nothing else of the project; everything else may import it. Start with `loop`.
"""
