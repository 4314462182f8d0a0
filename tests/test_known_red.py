"""CI tolerates exactly the failures that KNOWN-RED.txt lists, and only while those tests fail."""

from __future__ import annotations

from pathlib import Path

import pytest

pytest_plugins = ["pytester"]

ROOT = Path(__file__).resolve().parent.parent

TESTS = """
def test_red():
    assert False

def test_green():
    pass

def test_other():
    assert not RED
"""
RED = "test_it.py::test_red, not mended yet, issue 1"


@pytest.mark.parametrize(
    ("listed", "other_fails", "exit_code", "expected_text"),
    [
        ([RED], False, 0, "known red: test_it.py::test_red, not mended yet, issue 1"),
        ([], False, 1, "1 failed"),
        ([RED], True, 1, "test_other"),
        ([RED, "test_it.py::test_green, it passes, issue 1"], False, 1, "strict"),
        ([RED, "test_it.py::test_gone, never was, issue 1"], False, 4, "no such test"),
        ([RED] * 4, False, 4, "4 lines, 3 at most"),
        ([RED] * 2, False, 4, "twice"),
        (["test_it.py::test_red"], False, 4, "not `test, cause, issue`"),
    ],
)
def test_only_listed_tests_may_fail(
    pytester: pytest.Pytester,
    listed: list[str],
    other_fails: bool,
    exit_code: int,
    expected_text: str,
) -> None:
    # CI would hide a fault if it tolerated a failure that is not listed, and the list would become
    # outdated if it could contain tests that pass or do not exist.
    pytester.makepyfile(test_it=f"RED = {other_fails}\n{TESTS}")
    if listed:
        pytester.path.joinpath("KNOWN-RED.txt").write_text("\n".join(listed) + "\n")
    result = pytester.runpytest_inprocess("-p", "tests.known_red", "-p", "no:cacheprovider")
    assert result.ret == exit_code
    assert expected_text in result.stdout.str() + result.stderr.str()


@pytest.mark.real_processes
@pytest.mark.parametrize(
    ("listed", "exit_code", "expected_text"),
    [
        ([RED], 0, "1 passed, 1 xfailed"),
        ([], 1, "1 failed, 1 passed"),
        ([RED, "test_it.py::test_green, it passes, issue 1"], 1, "strict"),
        ([RED, "test_it.py::test_other, of the other command, issue 1"], 0, "1 passed, 1 xfailed"),
        ([RED, "test_it.py::test_gone, never was, issue 1"], 4, "no such test"),
        (["test_it.py::test_red"], 4, "not `test, cause, issue`"),
    ],
)
def test_only_listed_tests_may_fail_with_parallel_workers_and_deselected_tests(
    pytester: pytest.Pytester,
    monkeypatch: pytest.MonkeyPatch,
    listed: list[str],
    exit_code: int,
    expected_text: str,
) -> None:
    # The same must hold with parallel workers. A listed test that this command deselects belongs to
    # another command of CI and must not count as unknown.
    pytester.makepyfile(test_it=f"RED = True\n{TESTS}")
    if listed:
        pytester.path.joinpath("KNOWN-RED.txt").write_text("\n".join(listed) + "\n")
    # Lets the subprocess and its workers import the plugin from the test's temporary folder.
    monkeypatch.setenv("PYTHONPATH", str(ROOT))
    for name in ("PYTEST_XDIST_WORKER", "PYTEST_XDIST_WORKER_COUNT", "PYTEST_XDIST_TESTRUNUID"):
        monkeypatch.delenv(name, raising=False)
    args = ("-p", "tests.known_red", "-p", "no:cacheprovider", "-n", "2", "-k", "not test_other")
    result = pytester.runpytest_subprocess(*args)
    assert result.ret == exit_code
    assert expected_text in result.stdout.str() + result.stderr.str()
    if exit_code == 0:
        assert f"known red: {listed[0]}" in result.stdout.str()
