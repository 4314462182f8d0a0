"""Fakes of the external systems (cloud, state service, workers) for tests, emulator and demo.

They run on any `Runtime`, so the same fakes work on a simulated network and on loopback.
"""
