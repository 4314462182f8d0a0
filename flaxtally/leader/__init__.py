"""The leader's duties, one actor each, wired for a term by `leader`.

Imports all below it; users' and workers' sides import it. Start with `leader`, then `scheduler`.
"""
