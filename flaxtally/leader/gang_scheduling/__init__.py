"""Gangs: all tasks at once or none, with reservations and the choice of a zone.

Owns the attempts of gangs. Begin with `gang_scheduler`, which places gangs and reacts to what
happens to their tasks: `gang_attempts` says where an attempt stands, `gang_machines` chooses
machines, `gang_stops` stops a gang as a whole. `gang_reservations` keeps machines for gangs that
have waited for long, `gang_zones` chooses the zone in which the autoscaler keeps capacity for them.
The decisions themselves are in `flaxtally/gangs/`.
"""
