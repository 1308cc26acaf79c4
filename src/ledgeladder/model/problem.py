"""Typed problems, which functions return instead of raising exceptions."""

from __future__ import annotations

from typing import Final

import msgspec

from .codes import CODE_TABLE, Execution, ResultCode

MALFORMED_ERRORS: Final = (msgspec.DecodeError, UnicodeDecodeError, RecursionError)
"""Errors of decoding what another process wrote; the last one if it is nested too deeply."""


class Problem(msgspec.Struct, frozen=True, kw_only=True):
    """Why a request, change or command was refused or failed."""

    code: ResultCode
    """The numeric result code."""

    detail: str = ""
    """One sentence for people, with a remedy if there is one."""

    execution: Execution | None = None
    """Execution of the request, if it differs from the one that the code implies."""

    retry_after: float | None = None
    """Seconds after which a retry may succeed, or None if it would not."""

    @property
    def status(self) -> int:
        """The HTTP status of answers with this problem."""
        return CODE_TABLE[self.code].status

    @property
    def known_execution(self) -> Execution:
        """Execution of the request; defaults to the one that the code implies."""
        return self.execution or CODE_TABLE[self.code].execution


class ProblemError(Exception):
    """Raises a `Problem` through code that must unwind, such as a task group."""

    def __init__(self, problem: Problem) -> None:
        super().__init__(f"{problem.code.value} {problem.code.name}: {problem.detail}")
        self.problem = problem
        """The problem."""


def find_problem(error: BaseException) -> Problem | None:
    """Return the problem of an error, or the first one in an error group; None without any."""
    if isinstance(error, ProblemError):
        return error.problem
    if isinstance(error, BaseExceptionGroup):
        found = (find_problem(inner) for inner in error.exceptions)
        return next((problem for problem in found if problem is not None), None)
    return None
