"""Policies: short Starlark programs that decide which requests are allowed and where they may run.

A policy defines `decide(request)`. It receives a dict with the keys of `RequestFacts` and returns a
dict with any of the keys of `Decision`. The language has no clock, files or random numbers, and its
work is limited by interpreter steps, so every box reaches the same decision.
"""

from __future__ import annotations

import re
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Annotated, Any, ClassVar, Final

import msgspec
import starlark
from pydantic import ConfigDict, Field, TypeAdapter, ValidationError
from returns.result import Failure, Result, Success

from ..model import ClientAccount, Configuration, Problem, ResultCode

MAX_CANCEL_CHECKS: Final = 100
"""Maximum number of cancellation checks per evaluation; the interpreter makes one about every 1,000
steps."""

MAX_CALL_DEPTH: Final = 50
"""Maximum call depth."""

MAX_SAMPLE_ACCOUNTS: Final = 20
"""Maximum number of client accounts that a policy is validated with."""

_POSITION_PATTERN: Final = re.compile(r":(\d+):(\d+)")


class RequestFacts(msgspec.Struct, frozen=True, kw_only=True):
    """Input of a policy."""

    pipeline: str
    """Name of the requested pipeline."""

    account: str
    """Name of the client account."""

    priority: str
    """Priority of the account, or empty."""

    max_tokens: int
    """Requested maximum number of tokens; 0 for a plain service."""

    failure_domain: str
    """Failure domain of the entry box."""


@dataclass(frozen=True, kw_only=True)
class Decision:
    """Result of a policy. Every field is optional."""

    __pydantic_config__: ClassVar[ConfigDict] = ConfigDict(extra="forbid")

    allow: Annotated[bool, Field(strict=True)] = True
    """False denies the request."""

    reason: Annotated[str, Field(max_length=200)] = ""
    """Sent to the caller of a denied request."""

    upstreams: Annotated[list[str], Field(max_length=1000)] | None = None
    """Names of the upstreams that may be used; None for all."""

    failure_domains: Annotated[list[str], Field(max_length=100)] | None = None
    """Failure domains whose upstreams may be used; None for all."""

    priority: str | None = None
    """Priority that replaces the account's."""

    max_tokens: Annotated[int, Field(ge=1, strict=True)] | None = None
    """Upper bound on the number of tokens."""


class CompiledPolicy(msgspec.Struct, frozen=True, kw_only=True):
    """A policy that is ready for evaluation."""

    name: str
    """Name of the policy."""

    module: Any
    """The frozen Starlark module."""

    decide_line: int
    """Line on which `decide` is defined, reported if its result is invalid."""


_DECISION: Final = TypeAdapter(Decision)


def _eval_options() -> starlark.EvalOptions:
    checks = 0

    def is_over_budget() -> bool:
        nonlocal checks
        checks += 1
        return checks > MAX_CANCEL_CHECKS

    return starlark.EvalOptions(check_cancelled=is_over_budget, max_callstack_size=MAX_CALL_DEPTH)


def _problem(name: str, text: str, line: int = 1) -> Problem:
    position = _POSITION_PATTERN.search(text)
    location = f"line {position[1]} column {position[2]}" if position else f"line {line} column 1"
    lines = [line.strip() for line in text.splitlines() if line.strip()]
    cause = next((line for line in lines if line.startswith("error:")), lines[0] if lines else "")
    detail = f"policy {name} {location}: {cause}"
    return Problem(code=ResultCode.POLICY_INVALID, detail=detail[:500])


def compile_policy(name: str, source: str) -> Result[CompiledPolicy, Problem]:
    """Parse, type-check and load a policy.

    Args:
        name: Name of the policy, for error messages.
        source: Program text.

    Returns:
        The compiled policy, or a problem with line and column if available.
    """
    dialect = starlark.Dialect.standard()
    dialect.enable_types = starlark.DialectTypes.ENABLE
    dialect.enable_f_strings = True
    dialect.enable_load = False
    globals_ = starlark.Globals.standard()
    try:
        tree = starlark.parse(name, source, dialect)
        errors, _, _ = tree.typecheck(globals_, {})
        if errors:
            return Failure(_problem(name, str(errors[0])))
        module = starlark.Module()
        starlark.eval_with(_eval_options(), module, tree, globals_)
        frozen = module.freeze()
    except starlark.StarlarkError as error:
        return Failure(_problem(name, str(error)))
    return Success(CompiledPolicy(name=name, module=frozen, decide_line=_decide_line(source)))


def _decide_line(source: str) -> int:
    r"""Return the line that defines `decide`, or 1 if there is none.

    >>> _decide_line("x = 1\ndef decide(request):\n    return {}")
    2
    """
    lines = enumerate(source.splitlines(), start=1)
    return next((number for number, line in lines if line.startswith("def decide(")), 1)


def evaluate_policy(policy: CompiledPolicy, facts: RequestFacts) -> Result[Decision, Problem]:
    """Evaluate a policy for one request.

    Args:
        policy: The policy.
        facts: Its input.

    Returns:
        The decision, or a problem if the policy failed, exceeded its step limit or returned an
        invalid result.
    """
    try:
        answer = policy.module.call_with(
            _eval_options(), "decide", msgspec.structs.asdict(facts)
        ).value
    except starlark.StarlarkError as error:
        return Failure(_problem(policy.name, str(error), policy.decide_line))
    try:
        return Success(_DECISION.validate_python(answer))
    except ValidationError as error:
        first = error.errors()[0]
        field = ".".join(str(part) for part in first["loc"]) or "result"
        text = f"decide returned {field}: {first['msg']}"
        return Failure(_problem(policy.name, text, policy.decide_line))


def validate_policies(configuration: Configuration) -> list[Problem]:
    """Compile every policy and evaluate it on sample requests of the pipelines that use it.

    Args:
        configuration: The proposed configuration.

    Returns:
        One problem for each invalid policy.
    """
    problems: list[Problem] = []
    for policy in configuration.policies.values():
        compiled = compile_policy(policy.name, policy.source)
        if isinstance(compiled, Failure):
            problems.append(compiled.failure())
            continue
        problem = _first_failure(configuration, compiled.unwrap())
        if problem is not None:
            problems.append(problem)
    return problems


def _first_failure(configuration: Configuration, policy: CompiledPolicy) -> Problem | None:
    for facts in _sample_requests(configuration, policy.name):
        outcome = evaluate_policy(policy, facts)
        if isinstance(outcome, Failure):
            return outcome.failure()
        decision = outcome.unwrap()
        for name in decision.upstreams or []:
            if name not in configuration.upstreams:
                return _problem(policy.name, f"unknown upstream {name}", policy.decide_line)
        if decision.priority and decision.priority not in configuration.priorities:
            text = f"unknown priority {decision.priority}"
            return _problem(policy.name, text, policy.decide_line)
    return None


def _sample_requests(configuration: Configuration, policy_name: str) -> list[RequestFacts]:
    pipelines = [
        pipeline.name
        for pipeline in configuration.pipelines.values()
        if pipeline.policy == policy_name
    ]
    accounts: Sequence[ClientAccount | None] = list(configuration.accounts.values())
    domains = sorted({item.failure_domain for item in configuration.upstreams.values()})
    return [
        RequestFacts(
            pipeline=pipeline,
            account=account.name if account else "sample",
            priority=(account.priority or "") if account else "",
            max_tokens=tokens,
            failure_domain=domain,
        )
        for pipeline in pipelines or ["sample"]
        for account in accounts[:MAX_SAMPLE_ACCOUNTS] or [None]
        for domain in domains or ["sample"]
        for tokens in (0, 16, 4096)
    ]
