"""Simulated network for the membership protocol, with loss, partitions and crashed boxes."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

import msgspec

from ledgeladder.coordination import membership as swim

STEP_SECONDS = 0.05


@dataclass(kw_only=True)
class Network:
    """Boxes of several failure domains on one virtual clock."""

    seed: int
    domains: int = 3
    per_domain: int = 3
    loss: float = 0.0
    rng: random.Random = field(init=False)
    boxes: dict[str, swim.Membership] = field(default_factory=dict)
    in_flight: list[tuple[float, str, swim.Datagram]] = field(default_factory=list)
    down: set[str] = field(default_factory=set)
    partitioned: set[str] = field(default_factory=set)
    """Failure domains that are partitioned from all others."""
    now: float = 0.0
    bytes_sent: int = 0

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        names = [f"d{d}-b{b}" for d in range(self.domains) for b in range(self.per_domain)]
        for name in names:
            box = swim.Membership(
                name=name,
                failure_domain=name.split("-")[0],
                address=name,
                seeds=tuple(names),
                incarnation=1,
            )
            self.boxes[name] = box
            self.send(name, swim.join(box))

    def send(self, source: str, datagrams: list[swim.Datagram]) -> None:
        for datagram in datagrams:
            self.bytes_sent += len(msgspec.msgpack.encode(datagram.message))
            target = datagram.address
            if self.rng.random() < self.loss or not self.reachable(source, target):
                continue
            copies = 2 if self.rng.random() < self.loss / 2 else 1
            for _ in range(copies):
                delay = self.rng.uniform(0.001, 0.02)
                self.in_flight.append((self.now + delay, target, datagram))

    def reachable(self, source: str, target: str) -> bool:
        origin, destination = source.split("-")[0], target.split("-")[0]
        return origin == destination or not self.partitioned & {origin, destination}

    def run(self, seconds: float) -> None:
        until = self.now + seconds
        while self.now < until:
            self.now += STEP_SECONDS
            arrived = [item for item in self.in_flight if item[0] <= self.now]
            self.in_flight = [item for item in self.in_flight if item[0] > self.now]
            self.rng.shuffle(arrived)
            for _, target, datagram in arrived:
                if target not in self.down:
                    box = self.boxes[target]
                    self.send(target, swim.receive(box, datagram.message, self.now))
            for name, box in self.boxes.items():
                if name not in self.down:
                    self.send(name, swim.tick(box, self.now, self.rng))

    def seen_by(self, name: str) -> set[str]:
        return {update.name for update in swim.alive(self.boxes[name])}

    @property
    def up(self) -> set[str]:
        return set(self.boxes) - self.down
