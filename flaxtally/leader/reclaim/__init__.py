"""Reclaim of quota that teams lent to each other, where the feature `lending` is enabled.

`open_reclaims` holds the state, `quota_accounting` and `reclaim_admission` decide whether a reclaim
may start, and `quota_reclaim` carries it out: start there.
"""
