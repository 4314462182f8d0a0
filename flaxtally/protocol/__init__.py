"""The messages of the wire, one struct each, and what makes tasks alike.

The only package that knows the wire's words: each struct names its fields as the rest of the
project does and renames them for the wire. Imports nothing else of the project; everything else may
import it. `jobs`, `workers`, `cloud` and `store` hold the messages by the party that they are
exchanged with, `vocabulary` the words that are values of fields, `paths` the HTTP paths, and
`wire` gives all of these under one name.
"""
