"""The controller's endpoints: heartbeats of workers, users' requests, relayed commands.

Imports the leader; only cells and the controller import it. Start with `job_api`.
"""
