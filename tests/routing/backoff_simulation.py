"""Simulates plain services that refuse requests and ask for back-off, with the real service choice.

A service refuses requests beyond its queue, or a share of all requests during a fault, and asks the
box for back-off. The box then sends a refused request to the next service. If none is left, the
caller retries once within its deadline. As in a gateway, a box knows its own requests in flight and
the load that a service reported in its last answer.
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
QUEUE_SLOTS: Final = 6
"""Requests that a service queues beyond those that it runs concurrently."""

WORK_SECONDS: Final = 0.045
"""Time that a service takes to run a request."""

ONE_WAY_SECONDS: Final = (0.0002, 0.00095)
"""Latency of a message within a failure domain and between two."""

CONTROLS: Final = 3
"""Number of control boxes, which aggregate loads."""

DEADLINE_SECONDS: Final = 2.5
"""How long a caller waits in total."""

REFUSED_RETRY_SECONDS: Final = 0.25
"""Retry time for a caller when no service asked for back-off."""

IN_TRANSIT_SECONDS: Final = 0.5
"""How long requests of a box may still be in transit after it was asked for back-off."""


@dataclass(kw_only=True)
class Fault:
    """A period in which some services refuse a share of all requests."""

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
    """A plain service with its running and queued requests."""

    number: int
    domain: str
    running: int = 0
    waiting: list[Callable[[], None]] = field(default_factory=list)


@dataclass(kw_only=True)
class Outcome:
    """Counts of what happened to requests."""

    served: int = 0
    """Requests that were served."""

    seconds: float = 0.0
    """Sum of their times from arrival to answer."""

    retried: int = 0
    """Requests that their callers retried."""

    unserved: int = 0
    """Requests that were never served."""

    refusals: int = 0
    """Requests that services refused."""

    during_backoff: int = 0
    """Requests that reached a service during the back-off of their box."""


class BackoffSimulation(VirtualTime):
    """Simulates requests, refusals and back-offs."""

    def __init__(
        self,
        *,
        boxes: int,
        services: int,
        rate: Callable[[float], float],
        faults: Sequence[Fault] = (),
        backoff_seconds: float = 3.0,
        honors_backoff: bool = True,
        caps_requests: bool = True,
        seed: int = 0,
    ) -> None:
        super().__init__()
        self.rng = random.Random(seed)
        self.services = [
            Service(number=number, domain=f"d{number % 3}") for number in range(services)
        ]
        self.views = [self.build_view() for _ in range(boxes)]
        self.tables = [BackpressureTable() for _ in range(boxes)]
        self.backoffs: dict[tuple[int, int], tuple[float, float]] = {}
        self.rate, self.faults = rate, faults
        self.backoff_seconds, self.honors_backoff, self.caps_requests = (
            backoff_seconds,
            honors_backoff,
            caps_requests,
        )
        self.outcome = Outcome()
        self.at(0.0, self.arrive)
        self.at(0.0, self.broadcast_loads)

    def broadcast_loads(self) -> None:
        """Broadcast the total load of each service to all boxes."""
        self.at(self.now + report_interval(len(self.views), CONTROLS), self.broadcast_loads)
        for item in self.services:
            total = sum(pool[item.number].in_flight for pool in self.views)
            for pool in self.views:
                pool[item.number].reported_in_flight = pool[item.number].in_flight
                apply_peer_load(pool[item.number], total, 0.0, self.now)

    def build_view(self) -> list[ForwardedUpstream]:
        """Return the services as one box knows them."""
        return [
            ForwardedUpstream(
                registration=Registration(
                    instance=str(item.number),
                    sequence=1,
                    address=f"{item.number}:1",
                    failure_domain=item.domain,
                    slots=SLOTS,
                ),
                last_seen_at=float("inf"),
            )
            for item in self.services
        ]

    def simulate(self, seconds: float) -> Outcome:
        """Run the simulation up to a time and return the outcome."""
        self.run_until(seconds)
        return self.outcome

    def arrive(self) -> None:
        """Start a request at a random box."""
        self.at(self.now + self.rng.expovariate(self.rate(self.now)), self.arrive)
        self.send(self.rng.randrange(len(self.views)), Request(arrived_at=self.now))

    def send(self, box: int, request: Request) -> None:
        """Send a request to the best service not yet tried, or refuse it."""
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
        latency = ONE_WAY_SECONDS[service.domain != f"d{box % 3}"]
        self.at(self.now + latency, lambda: self.receive(box, chosen, service, request, latency))

    def receive(
        self, box: int, view: ForwardedUpstream, service: Service, request: Request, latency: float
    ) -> None:
        """Run, queue or refuse a request at a service."""
        requested_at, until = self.backoffs.get((box, service.number), (0.0, 0.0))
        self.outcome.during_backoff += requested_at + IN_TRANSIT_SECONDS < self.now < until

        def work() -> None:
            service.running += 1
            self.at(self.now + WORK_SECONDS, done)

        def done() -> None:
            service.running -= 1
            if service.waiting:
                service.waiting.pop(0)()
            self.at(self.now + latency, lambda: self.handle_answer(view, service, request))

        if self.is_refused(service):
            self.backoffs[box, service.number] = (self.now, self.now + self.backoff_seconds)
            self.outcome.refusals += 1
            self.at(self.now + latency, lambda: self.handle_refusal(box, view, service, request))
        elif service.running < SLOTS:
            work()
        else:
            service.waiting.append(work)

    def is_refused(self, service: Service) -> bool:
        """Return whether a service refuses the request that has arrived."""
        if len(service.waiting) >= QUEUE_SLOTS:
            return True
        return any(
            fault.start <= self.now < fault.end
            and service.number in fault.services
            and self.rng.random() < fault.share
            for fault in self.faults
        )

    def handle_answer(self, view: ForwardedUpstream, service: Service, request: Request) -> None:
        """Handle a successful answer."""
        view.in_flight -= 1
        record_success(view)
        self.record_service_load(view, service)
        self.outcome.served += 1
        self.outcome.seconds += self.now - request.arrived_at

    def handle_refusal(
        self, box: int, view: ForwardedUpstream, service: Service, request: Request
    ) -> None:
        """Handle a refusal, and send the request to the next service."""
        view.in_flight -= 1
        record_full(view, self.now)
        self.record_service_load(view, service)
        if self.honors_backoff:
            if self.caps_requests:
                estimated = estimated_requests(view, self.now, len(self.views))
                cap_requests(view.backpressure, estimated, SLOTS, self.backoff_seconds, self.now)
            extend_backoff(
                self.tables[box],
                view.registration,
                view.backpressure,
                self.backoff_seconds,
                self.now,
            )
        self.send(box, request)

    def record_service_load(self, view: ForwardedUpstream, service: Service) -> None:
        load = UpstreamLoad(running=service.running, waiting=len(service.waiting), slots=SLOTS)
        record_load(view, load, self.now)

    def refuse(self, request: Request, wait_seconds: float | None) -> None:
        """Refuse a request, which its caller retries once at any box if its deadline allows."""
        wait = REFUSED_RETRY_SECONDS if wait_seconds is None else wait_seconds
        remaining = request.arrived_at + DEADLINE_SECONDS - self.now
        if request.attempts > 1 or wait > remaining:
            self.outcome.unserved += 1
            return
        self.outcome.retried += 1
        request.attempts += 1
        request.tried = set()
        box = self.rng.randrange(len(self.views))
        self.at(self.now + wait, lambda: self.send(box, request))
