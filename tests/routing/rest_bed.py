"""Plain services that refuse and ask for rest, in virtual time, with the real choice of a service.

Boxes send requests to services with slots and a short queue. A service refuses what its queue does
not hold, or a share of all requests during a fault, and asks the box for rest. A refused request is
sent to the next service; where none is left, its caller is told when to come back, and does so
once, in the time that it has. Each box knows its own requests at once and the load that a service
told in its last answer, as the gateways do.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from ledgeladder.model.exchange import UpstreamLoad
from ledgeladder.model.registration import Registration
from ledgeladder.routing.forwarding_table import (
    ForwardedUpstream,
    apply_peer_load,
    estimated_requests,
    min_remaining_wait,
    record_full,
    record_load,
    record_success,
)
from ledgeladder.routing.load_sharing import report_interval
from ledgeladder.routing.service_choice import choose_service
from ledgeladder.routing.upstream_wishes import BackpressureTable, cap_requests, extend_backoff

from .virtual_time import VirtualTime

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

SLOTS: Final = 6
QUEUE: Final = 6
"""Requests that a service works on at once, and that wait beside."""

WORK_SECONDS: Final = 0.045
"""Time that a request takes, as on the users' sites."""

ONE_WAY_SECONDS: Final = (0.0002, 0.00095)
"""Time of a message inside a failure domain and between two."""

CONTROLS: Final = 3
"""Control boxes that add up loads."""

DEADLINE_SECONDS: Final = 2.5
"""How long a caller waits in all."""

REFUSED_RETRY_SECONDS: Final = 0.25
"""What a caller is told where services refused and asked for nothing."""

ON_THE_WAY_SECONDS: Final = 0.5
"""How long after it was asked for rest a box may still have requests on their way."""


@dataclass(kw_only=True)
class Fault:
    """A time in which some services refuse a share of all requests."""

    start: float
    end: float
    services: Sequence[int]
    share: float


@dataclass(kw_only=True)
class Request:
    """One caller's request, over both of its attempts."""

    arrived_at: float
    tried: set[str] = field(default_factory=set)
    attempts: int = 1


@dataclass(kw_only=True)
class Service:
    """One service."""

    number: int
    domain: str
    running: int = 0
    waiting: list[Callable[[], None]] = field(default_factory=list)


@dataclass(kw_only=True)
class Outcome:
    """What became of everybody."""

    served: int = 0
    """Requests that were served."""

    seconds: float = 0.0
    """Their times from arrival to answer, summed up."""

    came_back: int = 0
    """Requests whose caller was told to come back once."""

    lost: int = 0
    """Requests that were not served in the end."""

    refusals: int = 0
    """Requests that services refused."""

    in_rest: int = 0
    """Those that came while a service wanted nothing from their box."""


class RestBed(VirtualTime):
    """Plays requests, refusals and rests."""

    def __init__(
        self,
        *,
        boxes: int,
        services: int,
        rate: Callable[[float], float],
        faults: Sequence[Fault] = (),
        rest_seconds: float = 3.0,
        obeys: bool = True,
        bounds: bool = True,
        seed: int = 0,
    ) -> None:
        super().__init__()
        self.rng = random.Random(seed)
        self.services = [
            Service(number=number, domain=f"d{number % 3}") for number in range(services)
        ]
        self.views = [self.view_of_all() for _ in range(boxes)]
        self.books = [BackpressureTable() for _ in range(boxes)]
        self.asked: dict[tuple[int, int], tuple[float, float]] = {}
        self.rate, self.faults = rate, faults
        self.rest_seconds, self.obeys, self.bounds = rest_seconds, obeys, bounds
        self.outcome = Outcome()
        self.at(0.0, self.arrive)
        self.at(0.0, self.tell_loads)

    def tell_loads(self) -> None:
        """Tell all boxes what the requests of all of them take on each service."""
        self.at(self.now + report_interval(len(self.views), CONTROLS), self.tell_loads)
        for item in self.services:
            total = sum(pool[item.number].in_flight for pool in self.views)
            for pool in self.views:
                pool[item.number].reported_in_flight = pool[item.number].in_flight
                apply_peer_load(pool[item.number], total, 0.0, self.now)

    def view_of_all(self) -> list[ForwardedUpstream]:
        """Return what one box knows of the services."""
        return [
            ForwardedUpstream(
                registration=Registration(
                    instance=str(item.number),
                    sequence=1,
                    address=f"{item.number}:1",
                    failure_domain=item.domain,
                    slots=SLOTS,
                ),
                last_seen=float("inf"),
            )
            for item in self.services
        ]

    def play(self, seconds: float) -> Outcome:
        """Play until a moment."""
        self.run_until(seconds)
        return self.outcome

    def arrive(self) -> None:
        """Begin a request at any box."""
        self.at(self.now + self.rng.expovariate(self.rate(self.now)), self.arrive)
        self.send(self.rng.randrange(len(self.views)), Request(arrived_at=self.now))

    def send(self, box: int, request: Request) -> None:
        """Send a request to the best service that is left, or refuse it."""
        pool = self.views[box]
        chosen = choose_service(
            pool,
            self.now,
            tried=request.tried,
            failure_domain=f"d{box % 3}",
            sharers=len(self.views),
            rng=self.rng,
        )
        if chosen is None:
            self.refuse(request, min_remaining_wait(pool, self.now))
            return
        request.tried.add(chosen.registration.instance)
        chosen.in_flight += 1
        service = self.services[int(chosen.registration.instance)]
        way = ONE_WAY_SECONDS[service.domain != f"d{box % 3}"]
        self.at(self.now + way, lambda: self.reach(box, chosen, service, request, way))

    def reach(
        self, box: int, view: ForwardedUpstream, service: Service, request: Request, way: float
    ) -> None:
        """Have a service take a request, let it wait, or refuse it."""
        asked_at, until = self.asked.get((box, service.number), (0.0, 0.0))
        self.outcome.in_rest += asked_at + ON_THE_WAY_SECONDS < self.now < until

        def work() -> None:
            service.running += 1
            self.at(self.now + WORK_SECONDS, done)

        def done() -> None:
            service.running -= 1
            if service.waiting:
                service.waiting.pop(0)()
            self.at(self.now + way, lambda: self.answer(view, service, request))

        if self.is_refused(service):
            self.asked[box, service.number] = (self.now, self.now + self.rest_seconds)
            self.outcome.refusals += 1
            self.at(self.now + way, lambda: self.take_refusal(box, view, service, request))
        elif service.running < SLOTS:
            work()
        else:
            service.waiting.append(work)

    def is_refused(self, service: Service) -> bool:
        """Tell whether a service refuses the request that has come."""
        if len(service.waiting) >= QUEUE:
            return True
        return any(
            fault.start <= self.now < fault.end
            and service.number in fault.services
            and self.rng.random() < fault.share
            for fault in self.faults
        )

    def answer(self, view: ForwardedUpstream, service: Service, request: Request) -> None:
        """Take in a good answer."""
        view.in_flight -= 1
        record_success(view)
        self.take_load(view, service)
        self.outcome.served += 1
        self.outcome.seconds += self.now - request.arrived_at

    def take_refusal(
        self, box: int, view: ForwardedUpstream, service: Service, request: Request
    ) -> None:
        """Take in a refusal, and send the request on."""
        view.in_flight -= 1
        record_full(view, self.now)
        self.take_load(view, service)
        if self.obeys:
            if self.bounds:
                held = estimated_requests(view, self.now, len(self.views))
                cap_requests(view.backpressure, held, SLOTS, self.rest_seconds, self.now)
            extend_backoff(
                self.books[box], view.registration, view.backpressure, self.rest_seconds, self.now
            )
        self.send(box, request)

    def take_load(self, view: ForwardedUpstream, service: Service) -> None:
        load = UpstreamLoad(running=service.running, waiting=len(service.waiting), slots=SLOTS)
        record_load(view, load, self.now)

    def refuse(self, request: Request, rest: float | None) -> None:
        """Tell a caller to come back, which it does once, to any box, if it has the time."""
        wait = REFUSED_RETRY_SECONDS if rest is None else rest
        left = request.arrived_at + DEADLINE_SECONDS - self.now
        if request.attempts > 1 or wait > left:
            self.outcome.lost += 1
            return
        self.outcome.came_back += 1
        request.attempts += 1
        request.tried = set()
        box = self.rng.randrange(len(self.views))
        self.at(self.now + wait, lambda: self.send(box, request))
