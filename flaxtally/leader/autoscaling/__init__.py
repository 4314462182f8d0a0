"""How many machines of which type there are: scale-out, scale-in and consolidation.

Owns the forecasts of demand and capacity and the requests to the cloud that are under way. Start
with `autoscaler`.
"""
