"""The controller's endpoints: heartbeats of workers, users' requests, relayed commands.

This package imports the leader; only the cells and the controller import it. Start with `job_api`.
"""
