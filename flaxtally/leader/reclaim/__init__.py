"""Reclaim of quota that teams lent to each other, if the feature `lending` is enabled.

Start with `quota_reclaim`, which carries reclaims out. `open_reclaims` holds their state, and
`quota_accounting` and `reclaim_admission` decide whether one may start.
"""
