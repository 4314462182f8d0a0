"""The state of loans that a new leader could not derive, kept in the ledger. Performs no I/O.

Loans themselves follow from placements and settings. The ledger keeps the reclaims of borrowed
quota in progress, each with its deadline and the attempts chosen to be stopped, and what the teams
borrowed and lent so far. Their records exist since format 3 (`protocol.formats`).
"""

from __future__ import annotations

from dataclasses import astuple, dataclass, field, replace
from typing import NamedTuple

from .records import LoanAccountStored, ReclaimFinished, ReclaimStarted

RECLAIM_BYTES = 90
"""Approximate size of the record of a reclaim in a page, without its attempts."""
ACCOUNT_BYTES = 80
"""Approximate size of the record of an account in a page."""
BORROWED_ATTEMPT_BYTES = 16
"""Approximate size of one attempt in the record of a reclaim in a page."""


class BorrowedAttempt(NamedTuple):
    """An attempt that uses borrowed quota and is to be stopped."""

    job: int
    task: int
    attempt: int


@dataclass(frozen=True)
class Reclaim:
    """Capacity that is freed for a pending task of a job. Times are wall-clock, in seconds."""

    number: int
    lender: str
    job: int
    machine: str
    decided_at: float
    deadline: float
    tasks: int
    """Number of tasks of the job that it serves; more than one only for a gang."""
    borrowed: tuple[BorrowedAttempt, ...]

    @property
    def id(self) -> str:
        """The id that all its log lines have, from the demand to the freed capacity."""
        return f"recall_{self.number:06d}"

    @classmethod
    def from_record(cls, record: ReclaimStarted) -> Reclaim:
        """Creates the reclaim that the record describes."""
        return cls(
            record.number,
            record.lender,
            record.job,
            record.machine,
            record.decided_at,
            record.deadline,
            record.tasks,
            tuple(BorrowedAttempt(*attempt) for attempt in record.attempts),
        )

    def to_record(self) -> ReclaimStarted:
        """Returns the record that starts it, or moves it to another machine."""
        return ReclaimStarted(
            self.number,
            self.lender,
            self.job,
            self.machine,
            self.decided_at,
            self.deadline,
            self.tasks,
            self.borrowed,
        )

    def to_finished_record(self) -> ReclaimFinished:
        """Returns the record that finishes it."""
        return ReclaimFinished(self.number)


@dataclass(frozen=True)
class LoanAccount:
    """What a team has borrowed and lent so far, and how many reclaims served its demand.

    `met` counts the reclaims that finished by their deadline, `late` those that finished after it.
    """

    team: str
    borrows_since: float = 0.0
    """Wall-clock time since which it borrows without interruption; 0 if it does not."""
    borrowed_core_seconds: float = 0.0
    borrowed_gpu_seconds: float = 0.0
    lent_core_seconds: float = 0.0
    lent_gpu_seconds: float = 0.0
    met: int = 0
    late: int = 0

    @classmethod
    def from_record(cls, record: LoanAccountStored) -> LoanAccount:
        """Creates the account that the record describes."""
        return cls(
            record.team,
            record.borrows_since,
            record.borrowed_core_seconds,
            record.borrowed_gpu_seconds,
            record.lent_core_seconds,
            record.lent_gpu_seconds,
            record.met,
            record.late,
        )

    def to_record(self) -> LoanAccountStored:
        """Returns the record that replaces the team's earlier one; figures are rounded."""
        return LoanAccountStored(self.team, *(round(figure, 1) for figure in astuple(self)[1:]))

    def with_reclaim_counted(self, *, is_late: bool) -> LoanAccount:
        """Returns the account with one more finished reclaim."""
        return replace(self, met=self.met + (not is_late), late=self.late + is_late)


@dataclass
class LoanState:
    """The unfinished reclaims, the accounts, and the pages that hold their records."""

    reclaims: dict[int, Reclaim] = field(default_factory=dict)
    accounts: dict[str, LoanAccount] = field(default_factory=dict)
    next_number: int = 1
    _record_pages: dict[int | str, int] = field(default_factory=dict)
    """Page of the record, by the number of a reclaim or the name of a team."""

    def start_reclaim(self, page: int, record: ReclaimStarted) -> None:
        """Applies a record that starts, moves or rewrites a reclaim."""
        number = record.number
        self.reclaims[number] = Reclaim.from_record(record)
        self.next_number = max(self.next_number, number + 1)
        self._record_pages[number] = page

    def finish_reclaim(self, page: int, record: ReclaimFinished) -> None:
        """Removes a finished reclaim; an unknown one began in a page that was compacted since."""
        number = record.number
        self.reclaims.pop(number, None)
        self._record_pages.pop(number, None)
        self.next_number = max(self.next_number, number + 1)

    def store_account(self, page: int, record: LoanAccountStored) -> None:
        """Replaces the account of a team."""
        self.accounts[record.team] = LoanAccount.from_record(record)
        self._record_pages[record.team] = page

    def records_of_page(self, page: int) -> list[ReclaimStarted | LoanAccountStored]:
        """Returns the records of the page that are still in effect."""
        pages = self._record_pages
        records: list[ReclaimStarted | LoanAccountStored] = []
        for number, reclaim in self.reclaims.items():
            if pages[number] == page:
                records.append(reclaim.to_record())
        for team, account in self.accounts.items():
            if pages[team] == page:
                records.append(account.to_record())
        return records

    def relocate_reclaim(self, number: int, page: int) -> None:
        """Notes that the record of the reclaim is now in the page."""
        self._record_pages[number] = page

    def relocate_account(self, team: str, page: int) -> None:
        """Notes that the account of the team is now in the page."""
        self._record_pages[team] = page

    def snapshot_bytes(self) -> int:
        """Returns the approximate size of the records in a snapshot."""
        borrowed_count = sum(len(reclaim.borrowed) for reclaim in self.reclaims.values())
        return (
            RECLAIM_BYTES * len(self.reclaims)
            + BORROWED_ATTEMPT_BYTES * borrowed_count
            + ACCOUNT_BYTES * len(self.accounts)
        )
