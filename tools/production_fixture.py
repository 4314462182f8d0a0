"""Writes `tests/fixtures/production_ledger.json`: the rows that the version in production leaves at
the state service after a short simulated run, and how its own code reads them. Run it from the root
of a clone that has the commit in production: `python3 tools/production_fixture.py`.
"""

from __future__ import annotations

import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from tests import production
from tests.scenarios import change_leader, cut_controllers
from tests.simulated_cluster import batch, spec
from tests.simulated_upgrade import UpgradingCluster
from tests.test_formats import FIXTURE, get_job_contents


def run_production_cluster() -> UpgradingCluster:
    """Run services and arrays with cancellations, three leaders and a cut between controllers."""
    cluster = UpgradingCluster(seed=7)
    for number in range(10):
        cluster.submit(spec(f"j-{number:06d}", tasks=3), node=number)
        cluster.submit(batch(f"j-{100 + number:06d}", 12), run_time=9.0, node=number)
    cluster.run(40.0)
    for number in range(0, 10, 3):
        cluster.cancel(f"j-{number:06d}", number)
    change_leader(cluster)
    cluster.submit(batch("j-000200", 40), run_time=40.0)
    cluster.run(12.0)
    heal = cut_controllers(cluster)
    cluster.run(6.0)
    heal()
    change_leader(cluster)
    cluster.run(8.0)
    return cluster


def main() -> None:
    rows = {key: value for key, (value, _, _) in run_production_cluster().state.rows.items()}
    state = production.adapt_to_current_names(production.load_module("ledger.book").Book())
    for key in sorted(rows):
        if key.startswith("p/"):
            for record in rows[key]["r"]:
                state.replay(record, int(key[2:]))
    FIXTURE.parent.mkdir(exist_ok=True)
    fixture = {"commit": production.read_commit(), "rows": rows, "meaning": get_job_contents(state)}
    FIXTURE.write_text(json.dumps(fixture, indent=1, sort_keys=True) + "\n")
    print(f"{FIXTURE}: {len(rows)} keys, {len(fixture['meaning'])} jobs")


if __name__ == "__main__":
    main()
