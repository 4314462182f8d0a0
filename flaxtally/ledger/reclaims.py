"""What the ledger keeps of loans, for a successor that couldn't know it. Pure.

Loans themselves follow from placements and settings. Kept are the reclaims of borrowed quota under
way, each with its deadline and the attempts chosen to be stopped, and what the teams borrowed and
lent so far. Their records exist since format 3 (`protocol.formats`).
"""

from __future__ import annotations

from dataclasses import astuple, dataclass, field, replace
from typing import NamedTuple

from .records import LoanAccountStored, ReclaimFinished, ReclaimStarted

RECLAIM_BYTES = 90
"""About what the record of a reclaim takes in a page beside its attempts."""
ACCOUNT_BYTES = 80
"""About what the record of an account takes in a page."""
BORROWED_BYTES = 16
"""About what an attempt of a reclaim takes in a page."""


class BorrowedAttempt(NamedTuple):
    """An attempt of a borrowed task that is to be stopped."""

    job: int
    task: int
    attempt: int


@dataclass(frozen=True)
class Reclaim:
    """Capacity that is freed for a waiting task of a job. Times are of the day, in seconds."""

    number: int
    lender: str
    job: int
    machine: str
    decided_at: float
    deadline: float
    tasks: int
    """For how many tasks of the job: more than one only of a gang."""
    borrowed: tuple[BorrowedAttempt, ...]

    @property
    def id(self) -> str:
        """Its name in log lines, from the demand to the freed capacity."""
        return f"recall_{self.number:06d}"

    @classmethod
    def from_record(cls, record: ReclaimStarted) -> Reclaim:
        """The reclaim that the record says."""
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

    def record(self) -> ReclaimStarted:
        """The record that begins it, or says that it goes on elsewhere."""
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
        """The record that ends it."""
        return ReclaimFinished(self.number)


@dataclass(frozen=True)
class LoanAccount:
    """What a team has borrowed and lent so far, and the reclaims for its demand."""

    team: str
    borrows_since: float = 0.0
    """Since when it borrows without a break, as the time of day; 0: it does not."""
    borrowed_core_seconds: float = 0.0
    borrowed_gpu_seconds: float = 0.0
    lent_core_seconds: float = 0.0
    lent_gpu_seconds: float = 0.0
    met: int = 0
    late: int = 0

    @classmethod
    def from_record(cls, record: LoanAccountStored) -> LoanAccount:
        """The account that the record says."""
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

    def record(self) -> LoanAccountStored:
        """The record that takes the place of the team's earlier one; figures are rounded."""
        return LoanAccountStored(self.team, *(round(figure, 1) for figure in astuple(self)[1:]))

    def with_reclaim_counted(self, *, is_late: bool) -> LoanAccount:
        """The same with one more reclaim that is over."""
        return replace(self, met=self.met + (not is_late), late=self.late + is_late)


@dataclass
class LoanState:
    """The reclaims that are not over, the accounts, and the pages that hold their records."""

    reclaims: dict[int, Reclaim] = field(default_factory=dict)
    accounts: dict[str, LoanAccount] = field(default_factory=dict)
    next_number: int = 1
    _home_pages: dict[int | str, int] = field(default_factory=dict)
    """By the number of a reclaim or the name of a team."""

    def start_reclaim(self, page: int, record: ReclaimStarted) -> None:
        """A reclaim begins, goes on elsewhere, or is rewritten."""
        number = record.number
        self.reclaims[number] = Reclaim.from_record(record)
        self.next_number = max(self.next_number, number + 1)
        self._home_pages[number] = page

    def finish_reclaim(self, page: int, record: ReclaimFinished) -> None:
        """A reclaim is over. One that is not known began in a page that was compacted since."""
        number = record.number
        self.reclaims.pop(number, None)
        self._home_pages.pop(number, None)
        self.next_number = max(self.next_number, number + 1)

    def store_account(self, page: int, record: LoanAccountStored) -> None:
        """The account of a team takes the place of its earlier one."""
        self.accounts[record.team] = LoanAccount.from_record(record)
        self._home_pages[record.team] = page

    def records_of_page(self, page: int) -> list[ReclaimStarted | LoanAccountStored]:
        """What the records of a page still mean."""
        pages = self._home_pages
        records: list[ReclaimStarted | LoanAccountStored] = []
        for number, reclaim in self.reclaims.items():
            if pages[number] == page:
                records.append(reclaim.record())
        for team, account in self.accounts.items():
            if pages[team] == page:
                records.append(account.record())
        return records

    def relocate_reclaim(self, number: int, page: int) -> None:
        """The record of the reclaim stands in that page from now on."""
        self._home_pages[number] = page

    def relocate_account(self, team: str, page: int) -> None:
        """The account of the team stands in that page from now on."""
        self._home_pages[team] = page

    def snapshot_bytes(self) -> int:
        """About how many bytes the records of a snapshot would take."""
        borrowed_count = sum(len(reclaim.borrowed) for reclaim in self.reclaims.values())
        return (
            RECLAIM_BYTES * len(self.reclaims)
            + BORROWED_BYTES * borrowed_count
            + ACCOUNT_BYTES * len(self.accounts)
        )
