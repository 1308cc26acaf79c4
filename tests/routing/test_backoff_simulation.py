"""Back-off of services: no requests arrive during it, and load returns without a thundering herd.

Guards against failures under a service that refuses everything, partial refusals and bursts.
"""

from __future__ import annotations

from collections.abc import Callable

import pytest

from .backoff_simulation import SLOTS, WORK_SECONDS, BackoffSimulation, Fault, Outcome

SIZES = [(8, 3), (60, 4)]
SEEDS = range(2)
BURST = (10.0, 15.0)
"""Start and end of the burst, in seconds."""

SETTLED_SECONDS = 24.0
"""Three back-offs after the end of the burst, when the usual load must be served again."""

END_SECONDS = 30.0


def load(services: int, share: float, burst: float = 1.0) -> Callable[[float], float]:
    """Return the request rate by time, from a share of the capacity of the services."""
    usual = share * services * SLOTS / WORK_SECONDS
    return lambda at: usual * (burst if BURST[0] <= at < BURST[1] else 1.0)


def sum_outcomes(outcomes: list[Outcome]) -> Outcome:
    names = Outcome.__dataclass_fields__
    return Outcome(**{name: sum(getattr(item, name) for item in outcomes) for name in names})


@pytest.mark.parametrize(("boxes", "services"), SIZES)
@pytest.mark.parametrize("share", [0.1, 0.4])
def test_few_requests_fail_when_one_service_refuses_everything(
    boxes: int, services: int, share: float
) -> None:
    fault = Fault(start=5.0, end=14.0, services=[0], share=1.0)
    simulations = [
        BackoffSimulation(
            boxes=boxes, services=services, rate=load(services, share), faults=[fault], seed=seed
        )
        for seed in SEEDS
    ]
    total = sum_outcomes([simulation.simulate(END_SECONDS) for simulation in simulations])
    assert total.during_backoff == 0
    # The other services have enough capacity for the load.
    assert total.unserved <= total.served * 0.01


@pytest.mark.parametrize(("boxes", "services"), SIZES)
@pytest.mark.parametrize("share", [0.1, 0.5])
def test_no_request_arrives_during_backoff_when_all_services_refuse_a_share(
    boxes: int, services: int, share: float
) -> None:
    """Callers may fail, as a back-off also applies to requests that would have been served."""
    fault = Fault(start=5.0, end=10.0, services=range(services), share=0.4)
    simulation = BackoffSimulation(
        boxes=boxes, services=services, rate=load(services, share), faults=[fault]
    )
    assert simulation.simulate(END_SECONDS).during_backoff == 0
    assert simulation.outcome.retried > 0


@pytest.mark.parametrize(("boxes", "services"), SIZES)
def test_cap_on_requests_to_a_full_service_serves_more_callers(boxes: int, services: int) -> None:
    """Without a cap, the load of all boxes returns to the first service whose back-off ends and
    overloads it again, even after the burst."""

    def simulate(*, caps_requests: bool) -> Outcome:
        rate = load(services, 0.65, burst=2.0)
        simulations = [
            BackoffSimulation(
                boxes=boxes, services=services, rate=rate, caps_requests=caps_requests, seed=seed
            )
            for seed in SEEDS
        ]
        return sum_outcomes([simulation.simulate(END_SECONDS) for simulation in simulations])

    capped, uncapped = simulate(caps_requests=True), simulate(caps_requests=False)
    assert capped.during_backoff == uncapped.during_backoff == 0
    assert capped.served > uncapped.served * 1.1
    assert capped.refusals < uncapped.refusals
    assert capped.unserved < uncapped.unserved


def test_usual_load_is_served_again_after_a_burst() -> None:
    boxes, services = SIZES[0]
    rate = load(services, 0.65, burst=2.0)
    simulation = BackoffSimulation(boxes=boxes, services=services, rate=rate)
    simulation.simulate(SETTLED_SECONDS)
    unserved, served = simulation.outcome.unserved, simulation.outcome.served
    total = simulation.simulate(END_SECONDS)
    assert total.unserved - unserved <= (total.served - served) * 0.05
