"""Event loop, timers, streams, actors and HTTP: the only code that uses sockets and clocks.

Imports no other package of the project; every other package may import it. Start with `loop`.
"""
