"""The messages of the wire protocol, one struct each, and the resource shape of tasks.

The only package that knows the field names of the wire: each struct names its fields as the rest of
the project does and renames them for the wire. It imports nothing else of the project; everything
else may import it. `jobs`, `workers`, `cloud` and `store` hold the messages by the party that they
are exchanged with, `vocabulary` the values of fields, `paths` the HTTP paths, `formats` the format
versions, and `wire` re-exports the messages, values and paths.
"""
