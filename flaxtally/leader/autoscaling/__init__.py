"""Decides the number and types of machines in the fleet: scale-out, scale-in and consolidation.

Owns the forecasts of demand and capacity, the provisioning and termination requests in flight,
and the machines that are being emptied. Begin with `autoscaler`: each of its planning steps asks
`forecast` which demand will lack capacity, has `scale_out` provision machines for it, and has
`scale_in` terminate machines that are not needed. `consolidation` moves replicas so that
underutilized machines become idle.
"""
