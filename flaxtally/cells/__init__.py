"""A fleet divided into cells, each with a leader, term, ledger and state service of its own.

Zones and controllers never change their cell. A machine belongs to the cell of its zone, and a job
stays in one cell until it is finished. `map` defines the cells, `directory` records the cell of a
job, `gateway` forwards users' requests to that cell, and `quota_rebalancer` enforces the teams'
limits across all cells. `membership` wires these modules for a controller. `docs/scale.md` explains
why the design is safe.

Only a controller that is started with `--cells` imports this package; without that option it has no
effect.
"""
