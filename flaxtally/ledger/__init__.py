"""The ledger: what is committed about jobs, tasks, attempts and placements."""
