"""The words and messages of the wire, and what makes tasks alike.

Imports nothing else of the project; everything else may import it. Start with `wire`.
"""
