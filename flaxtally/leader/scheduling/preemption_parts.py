"""Constructs preemption and the reclaim of borrowed quota, which share their state."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..reclaim.open_reclaims import OpenReclaims
from ..reclaim.quota_accounting import QuotaAccounting
from ..reclaim.quota_reclaim import QuotaReclaim
from ..reclaim.reclaim_admission import ReclaimAdmission
from ..reclaim.reclaimed_capacity import ReclaimedCapacity
from .lending_policy import LendingPolicy
from .preemption import Preemption
from .preemption_cost import PreemptionCost
from .preemption_policy import PreemptionPolicies, RankPolicy
from .reservations import Reservations
from .schedulable_machines import SchedulableMachines
from .victim_search import VictimSearch

if TYPE_CHECKING:
    from ...lending.feature import LendingFeature
    from ..commands import CommandSender
    from ..gang_scheduling.gang_scheduler import GangScheduler
    from ..jobs import JobRegistry
    from ..reclaim.reclaim_admission import PoolAvailability
    from ..reconciliation.reconciler import Reconciler
    from ..term import Term


@dataclass(frozen=True)
class PreemptionParts:
    """The objects that the scheduler and the leader use."""

    machines: SchedulableMachines
    reservations: Reservations
    quota_accounting: QuotaAccounting
    reclaimed_capacity: ReclaimedCapacity
    quota_reclaim: QuotaReclaim
    preemption: Preemption


def build_preemption(
    term: Term,
    jobs: JobRegistry,
    commands: CommandSender,
    gang_scheduler: GangScheduler,
    reconciler: Reconciler,
    pools: PoolAvailability,
    feature: LendingFeature | None,
) -> PreemptionParts:
    """Builds the objects for one term: state, then decisions, then their execution."""
    machines = SchedulableMachines(term, reconciler)
    open_reclaims = OpenReclaims(term.ledger)
    quota_accounting = QuotaAccounting(term, commands, open_reclaims, feature)
    admission = ReclaimAdmission(term, jobs, open_reclaims, pools, feature)
    reclaimed_capacity = ReclaimedCapacity(term, jobs, open_reclaims, reconciler)
    reservations = Reservations(term, jobs.queue, reconciler, reclaimed_capacity)

    cost = PreemptionCost(gang_scheduler, open_reclaims)
    policies = PreemptionPolicies(
        RankPolicy(term, jobs, cost, commands),
        LendingPolicy(term, jobs, quota_accounting, admission, open_reclaims, reclaimed_capacity),
        quota_accounting,
    )
    victim_search = VictimSearch(
        term, jobs, gang_scheduler, machines, policies, cost, reservations, reclaimed_capacity
    )

    quota_reclaim = QuotaReclaim(
        term,
        commands,
        gang_scheduler,
        open_reclaims,
        quota_accounting,
        admission,
        reclaimed_capacity,
        victim_search,
    )
    preemption = Preemption(
        term,
        commands,
        gang_scheduler,
        policies,
        victim_search,
        reservations,
        open_reclaims,
        quota_reclaim,
    )
    return PreemptionParts(
        machines, reservations, quota_accounting, reclaimed_capacity, quota_reclaim, preemption
    )
