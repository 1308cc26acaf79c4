"""Data model shared by all packages: configuration objects, routes, problems and result codes."""

from __future__ import annotations

from .codes import CODE_TABLE, EXECUTION_HEADER, CodeEntry, Execution, ResultCode
from .configuration import Configuration, apply_objects, digest, find_problems
from .documents import (
    ChangeDocument,
    ClientAccount,
    Kind,
    ObjectReference,
    ObjectSet,
    Pipeline,
    Policy,
    Priority,
    Upstream,
    UpstreamKind,
)
from .problem import MALFORMED_ERRORS, Problem, ProblemError, find_problem
from .route import LayerSpan, Route, Stage, covers_once

__all__ = [
    "CODE_TABLE",
    "ChangeDocument",
    "ClientAccount",
    "CodeEntry",
    "Configuration",
    "EXECUTION_HEADER",
    "Execution",
    "MALFORMED_ERRORS",
    "Problem",
    "ProblemError",
    "Kind",
    "LayerSpan",
    "ObjectReference",
    "ObjectSet",
    "Pipeline",
    "Policy",
    "Priority",
    "ResultCode",
    "Route",
    "Stage",
    "Upstream",
    "UpstreamKind",
    "apply_objects",
    "covers_once",
    "digest",
    "find_problem",
    "find_problems",
]
