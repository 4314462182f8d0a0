"""A fleet divided into cells, each with a leader, term, ledger and state service of its own.

A cell owns zones and controllers for good; a machine belongs to the cell of its zone, a job to one
cell for life. `map` says which cells there are, `directory` which cell a job belongs to, `gateway`
passes users' questions to that cell, `quota_rebalancer` keeps the team limits over all cells. `membership`
wires them for a controller; `docs/scale.md` argues why they are safe.

Imported only by a controller that is started with `--cells`; without it nothing changes.
"""
