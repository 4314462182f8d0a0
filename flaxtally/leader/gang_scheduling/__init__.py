"""Gang scheduling: all tasks of a gang are placed at once or none.

Owns the attempts of gangs. Begin with `gang_scheduler`, which places gangs and reacts to changes of
their tasks: `gang_attempts` derives the phase of an attempt, `gang_machines` chooses machines,
`gang_stops` stops a gang as a whole. `gang_reservations` reserves machines for gangs that have been
pending for long, `gang_zones` chooses the zone in which the autoscaler keeps capacity for them.
The decisions themselves are made in `flaxtally/gangs/`.
"""
