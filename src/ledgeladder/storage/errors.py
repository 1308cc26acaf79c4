"""Errors of a data folder."""

from __future__ import annotations

from ..model import Problem, ProblemError, ResultCode


class StorageError(ProblemError):
    """A data folder that is damaged, belongs to another box, or cannot be written."""


def storage_error(code: ResultCode, detail: str) -> StorageError:
    """Build a `StorageError` from a result code and a detail text."""
    return StorageError(Problem(code=code, detail=detail))
