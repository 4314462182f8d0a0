"""Fakes of the external systems (cloud, key-value store, workers) for tests, emulator and demo.

They run on any `Runtime`: on the simulated network of the tests, and on loopback.
"""
