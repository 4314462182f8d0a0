"""The record queue: which page a record goes to, and how a lowered size limit affects pages."""

from __future__ import annotations

from flaxtally.ledger.pages import MIN_PAGE_BYTES, PageLimits, page_key, page_of_key
from flaxtally.ledger.record_queue import RecordQueue
from flaxtally.ledger.records import AttemptEnded, BatchPiece, JobCancelled, Record, record_size
from flaxtally.settings import StateLimits

LIMITS = StateLimits(write_rps=100.0, value_bytes=1024, txn_ops=32)
CANCELLATION_COUNT = 5


def make_end_records(count: int) -> list[Record]:
    """Returns records of equal size."""
    return [AttemptEnded(1, 100 + task, 1, is_done=False) for task in range(count)]


def propose(queue: RecordQueue, record: Record) -> None:
    """Queues the record as a proposal does."""
    size = record_size(record)
    queue.open_next_page_if_full(size)
    queue.append(record, size, None)


def propose_cancellations(queue: RecordQueue) -> None:
    """Fills a part of the first page, so that a full page of records no longer fits into it."""
    for job in range(CANCELLATION_COUNT):
        propose(queue, JobCancelled(job))


def pop_bytes_by_page(queue: RecordQueue) -> dict[int, int]:
    """Empties the queue; returns the bytes of its records by page."""
    sizes: dict[int, int] = {}
    while queue:
        record, page, _ = queue.popleft()
        sizes[page] = sizes.get(page, 0) + record_size(record)
    return sizes


def test_records_fill_a_page_before_the_next_is_opened() -> None:
    # The store refuses pages above the size limit, and pages that are opened too early cost
    # additional writes.
    limits = PageLimits(LIMITS)
    assert limits.page_bytes == 896
    queue = RecordQueue(limits)
    for record in make_end_records(130):
        propose(queue, record)
    assert queue.first_page == 1
    assert queue.page_count == 3
    sizes = pop_bytes_by_page(queue)
    assert list(sizes) == [1, 2, 3]
    size = record_size(make_end_records(1)[0])
    assert all(896 - size < sizes[page] <= 896 for page in (1, 2))
    assert queue.page_count == 0


def test_a_batch_that_fits_into_a_page_is_not_split() -> None:
    # A split batch takes effect only when all its pieces are committed. One that fits into a page
    # must go to the next page as a whole.
    queue = RecordQueue(PageLimits(LIMITS))
    propose_cancellations(queue)
    first_page = queue.append_batch(
        make_end_records(896 // record_size(make_end_records(1)[0])), None
    )
    assert first_page == 2
    assert queue.page_count == 2
    for _ in range(CANCELLATION_COUNT):
        queue.popleft()
    assert queue.first_page == 2
    assert queue.page_count == 1


def test_a_larger_batch_is_split_and_its_callback_follows_the_last_piece() -> None:
    # A callback after an earlier piece would report records as committed that may never take
    # effect.
    queue = RecordQueue(PageLimits(LIMITS))
    calls: list[int] = []
    propose_cancellations(queue)
    assert queue.append_batch(make_end_records(120), lambda: calls.append(1)) == 2
    for _ in range(CANCELLATION_COUNT):
        queue.popleft()
    queued = [queue.popleft() for _ in range(len(queue))]
    pieces = [each.record for each in queued]
    assert [each.page for each in queued] == [2, 3, 4]
    assert all(isinstance(piece, BatchPiece) for piece in pieces)
    assert [each.on_committed is not None for each in queued] == [False, False, True]
    assert calls == []


def test_the_callback_of_the_last_record_is_replaced() -> None:
    # Compaction deletes the old pages in this callback: called after an earlier record, it would
    # delete records whose copies are not committed yet.
    queue = RecordQueue(PageLimits(LIMITS))
    calls: list[int] = []
    for record in make_end_records(2):
        propose(queue, record)
    queue.set_last_callback(lambda: calls.append(1))
    assert queue.popleft().on_committed is None
    on_committed = queue.popleft().on_committed
    assert on_committed is not None
    on_committed()
    assert calls == [1]


def test_halved_limits_apply_at_once_and_have_a_minimum() -> None:
    # If the store accepts less than the settings say, the next pages and transactions must be
    # smaller, but never too small for a record.
    limits = PageLimits(StateLimits(write_rps=100.0, value_bytes=8192, txn_ops=32))
    queue = RecordQueue(limits)
    assert (limits.page_bytes, limits.transaction_pages) == (7168, 7)
    limits.halve()
    assert (limits.page_bytes, limits.transaction_pages) == (3584, 3)
    for record in make_end_records(400):
        propose(queue, record)
    assert max(pop_bytes_by_page(queue).values()) <= 3584
    for _ in range(5):
        limits.halve()
    assert (limits.page_bytes, limits.transaction_pages) == (MIN_PAGE_BYTES, 1)


def test_keys_of_pages_sort_by_page_number() -> None:
    # Pages are replayed in the order of their keys, which must be the order in which they were
    # written.
    assert page_key(7) == "p/00000007"
    assert page_of_key(page_key(12345)) == 12345
    assert page_key(9) < page_key(10)
