"""What can be wrong with a data folder."""

from __future__ import annotations

from ..model import Problem, ProblemError, ResultCode


class StorageError(ProblemError):
    """A fault of the data folder that ends the process."""


def storage_error(code: ResultCode, detail: str) -> StorageError:
    """Build a `StorageError` from a code and a sentence."""
    return StorageError(Problem(code=code, detail=detail))
