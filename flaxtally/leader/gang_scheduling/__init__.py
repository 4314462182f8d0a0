"""Gangs: all tasks at once or none, with reservations and the choice of a zone.

Owns the attempts of gangs. Start with `gang_scheduler`.
"""
