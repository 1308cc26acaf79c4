"""Services that ask for rest: nothing reaches them meanwhile, and load returns without a herd.

The patterns: one service that refuses everything for seconds, all services that refuse a share, and
a burst beyond what all of them hold. Sizes are those of the users' sites: 8 boxes before 3 services
and 60 before 4, each of 6 slots with a short queue, 45 ms a request, 3 s of rest.
"""

from __future__ import annotations

from collections.abc import Callable

import pytest

from .rest_bed import SLOTS, WORK_SECONDS, Fault, Outcome, RestBed

SIZES = [(8, 3), (60, 4)]
SEEDS = range(2)
BURST = (10.0, 15.0)
"""When the burst begins and ends, in seconds."""

SETTLED_SECONDS = 24.0
"""Three rests after the end of the burst: from then on the usual load is to be served again."""

END_SECONDS = 30.0


def load(services: int, share: float, burst: float = 1.0) -> Callable[[float], float]:
    """Return requests a second at a moment, as a share of what the services can do."""
    usual = share * services * SLOTS / WORK_SECONDS
    return lambda at: usual * (burst if BURST[0] <= at < BURST[1] else 1.0)


def added(outcomes: list[Outcome]) -> Outcome:
    names = Outcome.__dataclass_fields__
    return Outcome(**{name: sum(getattr(item, name) for item in outcomes) for name in names})


@pytest.mark.parametrize(("boxes", "services"), SIZES)
@pytest.mark.parametrize("share", [0.1, 0.4])
def test_one_service_that_refuses_everything_costs_callers_next_to_nothing(
    boxes: int, services: int, share: float
) -> None:
    fault = Fault(start=5.0, end=14.0, services=[0], share=1.0)
    beds = [
        RestBed(
            boxes=boxes, services=services, rate=load(services, share), faults=[fault], seed=seed
        )
        for seed in SEEDS
    ]
    whole = added([bed.play(END_SECONDS) for bed in beds])
    assert whole.in_rest == 0
    # 99 in 100 are served, as the others have the room.
    assert whole.lost <= whole.served * 0.01


@pytest.mark.parametrize(("boxes", "services"), SIZES)
@pytest.mark.parametrize("share", [0.1, 0.5])
def test_no_request_reaches_services_that_rest_while_all_refuse_a_share(
    boxes: int, services: int, share: float
) -> None:
    """Callers lose here what obeying costs: a service that refuses four in ten rests for all."""
    fault = Fault(start=5.0, end=10.0, services=range(services), share=0.4)
    bed = RestBed(boxes=boxes, services=services, rate=load(services, share), faults=[fault])
    assert bed.play(END_SECONDS).in_rest == 0
    assert bed.outcome.came_back > 0


@pytest.mark.parametrize(("boxes", "services"), SIZES)
def test_bound_on_what_a_full_service_is_sent_again_serves_more_callers(
    boxes: int, services: int
) -> None:
    """Without it the load of all boxes comes back to whichever service rested first, which asks for
    rest again, and so on after the burst is over."""

    def play(*, bounds: bool) -> Outcome:
        rate = load(services, 0.65, burst=2.0)
        beds = [
            RestBed(boxes=boxes, services=services, rate=rate, bounds=bounds, seed=seed)
            for seed in SEEDS
        ]
        return added([bed.play(END_SECONDS) for bed in beds])

    with_bound, without = play(bounds=True), play(bounds=False)
    assert with_bound.in_rest == without.in_rest == 0
    assert with_bound.served > without.served * 1.1
    assert with_bound.refusals < without.refusals
    assert with_bound.lost < without.lost


def test_usual_load_is_served_again_after_a_burst() -> None:
    boxes, services = SIZES[0]
    rate = load(services, 0.65, burst=2.0)
    bed = RestBed(boxes=boxes, services=services, rate=rate)
    bed.play(SETTLED_SECONDS)
    lost, served = bed.outcome.lost, bed.outcome.served
    whole = bed.play(END_SECONDS)
    assert whole.lost - lost <= (whole.served - served) * 0.05
