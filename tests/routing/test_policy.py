"""Invalid policies are rejected with line and column before they take effect."""

from __future__ import annotations

import re

import pytest
from returns.result import Failure

from ledgeladder.model import (
    Configuration,
    ObjectSet,
    Pipeline,
    Policy,
    ResultCode,
    apply_objects,
)
from ledgeladder.routing.policy import (
    RequestFacts,
    compile_policy,
    evaluate_policy,
    validate_policies,
)

FACTS = RequestFacts(
    pipeline="p", account="a", priority="", max_tokens=10, failure_domain="domain-a"
)


@pytest.mark.parametrize(
    ("source", "part"),
    [
        ("def decide(request", "line 1 column"),
        ("def decide(request):\n    return nothing_here\n", "line 2 column 12"),
        ("def decide(request):\n    return 7\n", "result"),
        ('def decide(request):\n    return {"allow": "yes"}\n', "allow"),
        ('def decide(request):\n    return {"alow": True}\n', "alow"),
        ('def decide(request):\n    return {"upstreams": ["gone"]}\n', "unknown upstream gone"),
        ('def decide(request):\n    return {"priority": "gone"}\n', "unknown priority gone"),
        ("def other(request):\n    return {}\n", "decide"),
        ("def decide(request):\n    for i in range(10000000):\n        pass\n", "cancelled"),
        ("def decide(request):\n    return decide(request)\n", "overflow"),
        ('load("x", "y")\n', "load"),
        ("for i in range(10000000):\n    pass\ndef decide(request):\n    return {}\n", ""),
    ],
)
def test_invalid_policies_are_rejected(source: str, part: str) -> None:
    put = ObjectSet(
        policies=(Policy(name="bad", source=source),),
        pipelines=(Pipeline(name="p", model="m", layers=4, policy="bad"),),
    )
    problems = validate_policies(apply_objects(Configuration(), put, ()))
    assert problems
    assert problems[0].code is ResultCode.POLICY_INVALID
    assert part in problems[0].detail
    assert re.match(r"policy bad line \d+ column \d+: ", problems[0].detail)


def test_valid_policy_returns_decision() -> None:
    source = (
        "def decide(request):\n"
        '    if request["max_tokens"] > 100:\n'
        '        return {"allow": False, "reason": "too long"}\n'
        '    return {"failure_domains": [request["failure_domain"]], "max_tokens": 5}\n'
    )
    policy = compile_policy("good", source).unwrap()
    decision = evaluate_policy(policy, FACTS).unwrap()
    assert decision.allow
    assert decision.failure_domains == ["domain-a"]
    assert decision.max_tokens == 5


def test_step_budget_applies_to_each_call() -> None:
    source = "def decide(request):\n    for i in range(50000):\n        pass\n    return {}\n"
    policy = compile_policy("long", source).unwrap()
    assert not any(isinstance(evaluate_policy(policy, FACTS), Failure) for _ in range(20))
