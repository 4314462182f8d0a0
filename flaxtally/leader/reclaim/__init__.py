"""Reclaim of quota that teams lent to each other, as the feature `lending` enables it.

Owns the open reclaims and the accounts of lent and borrowed time. Start with `quota_reclaim`.
"""
