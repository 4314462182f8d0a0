"""How many machines of which type there are: scale-out, scale-in and consolidation.

Owns the forecasts of demand and capacity, the provisioning and termination requests under way,
and the machines that are being emptied. Begin with `autoscaler`: each step of it asks `forecast`
what will lack capacity, has `scale_out` provision that, and gives `scale_in` what nobody needs.
`consolidation` moves replicas so that thinly used machines become idle.
"""
