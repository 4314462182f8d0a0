"""What the ledger keeps of loans, for a successor that couldn't know it. Pure.

Loans themselves follow from placements and settings. Kept are the recalls under way, each with its
deadline and the tasks chosen to give way, and what the teams borrowed and lent so far.
Records, since format 3 (`protocol.formats`):

    R  no, lender, job, machine, at, deadline, tasks, [[job, task, attempt], …]
                                   a recall begins, or goes on elsewhere
    X  no                          a recall is over
    A  team, borrows since, borrowed core s, GPU s, lent core s, GPU s, met, late
                                   the account of a team, in place of its earlier one
"""

from __future__ import annotations

from dataclasses import astuple, dataclass, field, replace
from typing import TYPE_CHECKING, Any, NamedTuple

if TYPE_CHECKING:
    from .batch import Record

RECALL, RECALL_OVER, ACCOUNT = "R", "X", "A"
RECALL_BYTES, ACCOUNT_BYTES, BORROWED_BYTES = 90, 80, 16
"""About what records take in a page."""


class Borrowed(NamedTuple):
    """An attempt of a borrowed task that is to give way."""

    job: int
    task: int
    attempt: int


@dataclass(frozen=True)
class Reclaim:
    """Room that is made for a waiting task of a job. Times are of the day, in seconds."""

    number: int
    lender: str
    job: int
    machine: str
    decided_at: float
    deadline: float
    tasks: int
    """For how many tasks of the job: more than one of a gang."""
    borrowed: tuple[Borrowed, ...]

    @property
    def id(self) -> str:
        """Its name in log lines, from the demand to the room."""
        return f"recall_{self.number:06d}"

    def record(self) -> Record:
        """The record that begins it, or says that it goes on elsewhere."""
        return [
            RECALL,
            self.number,
            self.lender,
            self.job,
            self.machine,
            self.decided_at,
            self.deadline,
            self.tasks,
            [list(each) for each in self.borrowed],
        ]

    def over_record(self) -> Record:
        """The record that ends it."""
        return [RECALL_OVER, self.number]


@dataclass(frozen=True)
class LoanAccount:
    """What a team has borrowed and lent so far, and the recalls for its demand."""

    team: str
    borrows_since: float = 0.0
    """Since when it borrows without a break, as the time of day; 0: it does not."""
    borrowed_core_seconds: float = 0.0
    borrowed_gpu_seconds: float = 0.0
    lent_core_seconds: float = 0.0
    lent_gpu_seconds: float = 0.0
    met: int = 0
    late: int = 0

    def record(self) -> Record:
        """The record that takes the place of the team's earlier one."""
        return [ACCOUNT, self.team, *(round(figure, 1) for figure in astuple(self)[1:])]

    def counted(self, is_late: bool) -> LoanAccount:
        """The same with one more recall that is over."""
        return replace(self, met=self.met + (not is_late), late=self.late + is_late)


@dataclass
class LoanState:
    """The recalls that are not over, the accounts, and the pages that hold their records."""

    reclaims: dict[int, Reclaim] = field(default_factory=dict)
    accounts: dict[str, LoanAccount] = field(default_factory=dict)
    next_number: int = 1
    _homes: dict[int | str, int] = field(default_factory=dict)

    def begin(
        self,
        page: int,
        number: int,
        lender: str,
        job: int,
        machine: str,
        decided_at: float,
        deadline: float,
        tasks: int,
        borrowed: list[list[int]],
    ) -> None:
        """A recall begins, goes on elsewhere, or is said anew."""
        chosen = tuple(Borrowed(*each) for each in borrowed)
        self.reclaims[number] = Reclaim(
            number, lender, job, machine, decided_at, deadline, tasks, chosen
        )
        self.next_number = max(self.next_number, number + 1)
        self._homes[number] = page

    def end(self, page: int, number: int) -> None:
        """A recall is over. One that is not known began in a page that was cleaned since."""
        self.reclaims.pop(number, None)
        self._homes.pop(number, None)
        self.next_number = max(self.next_number, number + 1)

    def keep_account(self, page: int, team: str, *figures: Any) -> None:
        """The account of a team takes the place of its earlier one."""
        self.accounts[team] = LoanAccount(team, *figures)
        self._homes[team] = page

    def records_at_home(self, page: int) -> list[Record]:
        """What the records of a page still mean."""
        found = [recall for no, recall in self.reclaims.items() if self._homes[no] == page]
        kept = [account for team, account in self.accounts.items() if self._homes[team] == page]
        return [recall.record() for recall in found] + [account.record() for account in kept]

    def move_home(self, record: Record, page: int) -> None:
        """What the record says stands in that page from now on."""
        if record[0] in (RECALL, ACCOUNT):
            self._homes[record[1]] = page

    def snapshot_bytes(self) -> int:
        """About how many bytes the records of a snapshot would take."""
        borrowed = sum(len(recall.borrowed) for recall in self.reclaims.values())
        return (
            RECALL_BYTES * len(self.reclaims)
            + BORROWED_BYTES * borrowed
            + ACCOUNT_BYTES * len(self.accounts)
        )
