"""The typed problem that travels in place of an exception."""

from __future__ import annotations

import msgspec

from .codes import CODE_TABLE, Execution, ResultCode


class Problem(msgspec.Struct, frozen=True, kw_only=True):
    """Why something was refused or given up on."""

    code: ResultCode
    """The numbered result code."""

    detail: str = ""
    """One sentence for a person, saying what to do where that helps."""

    execution: Execution | None = None
    """Whether the work was done, where it differs from the code's usual meaning."""

    retry_after: float | None = None
    """Seconds after which coming back helps, or None if it would not."""

    @property
    def status(self) -> int:
        """The HTTP status that carries this problem."""
        return CODE_TABLE[self.code].status

    @property
    def known_execution(self) -> Execution:
        """What is known about the work, falling back on the code's usual meaning."""
        return self.execution or CODE_TABLE[self.code].execution


class ProblemError(Exception):
    """Carries a `Problem` through code that must unwind, such as a task group."""

    def __init__(self, problem: Problem) -> None:
        super().__init__(f"{problem.code.value} {problem.code.name}: {problem.detail}")
        self.problem = problem
        """The problem being carried."""
