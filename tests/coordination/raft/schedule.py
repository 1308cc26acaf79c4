"""Runs members of the replicated log under a seeded schedule and checks invariants at each step.

The schedule loses, duplicates and reorders messages, crashes members with or without their last
unsynced writes, freezes them, lets their clocks drift, and wipes disks.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import Any

import msgspec

from ledgeladder.coordination import raft


class InvariantError(AssertionError):
    """A violated invariant."""


@dataclass(kw_only=True)
class Disk:
    """Storage of a member; a crash loses `unsynced`."""

    hard_state: raft.HardState = field(default_factory=raft.HardState)
    snapshot: raft.Snapshot | None = None
    entries: list[raft.LogEntry] = field(default_factory=list)
    unsynced: list[raft.Ready] = field(default_factory=list)

    def write(self, ready: raft.Ready) -> None:
        self.unsynced.append(ready)

    def sync(self) -> None:
        for ready in self.unsynced:
            self.store(ready)
        self.unsynced.clear()

    def store(self, ready: raft.Ready) -> None:
        if ready.hard_state is not None:
            self.hard_state = ready.hard_state
        if ready.snapshot is not None:
            self.snapshot = ready.snapshot
            self.entries = []
        for entry in ready.entries:
            self.entries = [stored for stored in self.entries if stored.index < entry.index]
            self.entries.append(entry)


@dataclass(kw_only=True)
class Member:
    """One member with its disk, its clock and its applied commands."""

    replica: raft.Replica
    disk: Disk
    clock_rate: float
    applied: list[bytes] = field(default_factory=list)
    applied_index: int = 0
    up: bool = True
    frozen_until: float = 0.0


@dataclass(kw_only=True)
class Schedule:
    """A cluster, its messages in flight, and its leaders and committed entries so far."""

    seed: int
    voters: int = 3
    observers: int = 0
    """Learners that are never promoted."""
    fault_rate: float = 0.04
    """Fraction of steps that crash, freeze, compact, transfer leadership or change members."""
    skip_sync: bool = False
    """Injects a bug: half of the syncs do nothing."""

    rng: random.Random = field(init=False)
    now: float = 0.0
    in_flight: list[raft.Envelope] = field(default_factory=list)
    members: dict[str, Member] = field(default_factory=dict)
    leaders: dict[int, str] = field(default_factory=dict)
    committed: dict[int, tuple[int, bytes]] = field(default_factory=dict)
    wiped_disks: int = 0
    proposals: int = 0
    initial: raft.Members = field(init=False)

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        voter_ids = tuple(f"box{number}/initial" for number in range(self.voters))
        observer_ids = tuple(f"watch{number}/initial" for number in range(self.observers))
        self.initial = raft.Members(voters=voter_ids, learners=observer_ids)
        for member_id in voter_ids + observer_ids:
            self.start(member_id, Disk(), self.initial)

    def start(self, member_id: str, disk: Disk, initial: raft.Members) -> None:
        clock_rate = self.rng.uniform(0.95, 1.05)
        replica = raft.restore_replica(
            member_id=member_id,
            timing=raft.Timing(),
            hard_state=disk.hard_state,
            snapshot=disk.snapshot,
            entries=list(disk.entries),
            initial_members=initial,
            now=self.now * clock_rate,
            rng=self.rng,
        )
        member = Member(replica=replica, disk=disk, clock_rate=clock_rate)
        if disk.snapshot is not None:
            member.applied = msgspec.msgpack.decode(disk.snapshot.data, type=list[bytes])
            member.applied_index = disk.snapshot.index
        self.members[member_id] = member

    def restart(self, member: Member) -> None:
        member_id = member.replica.member_id
        known = member_id in self.initial.all_ids
        self.start(member_id, member.disk, self.initial if known else raft.Members(voters=()))

    def clock(self, member: Member) -> float:
        return self.now * member.clock_rate

    def active(self, member: Member) -> bool:
        return member.up and member.frozen_until <= self.now

    def process_ready(self, member: Member) -> None:
        """Process the pending work of a member as a daemon does."""
        while True:
            ready = raft.take_ready(member.replica)
            work = (ready.hard_state, ready.snapshot, ready.entries, ready.messages)
            if not any(work) and not ready.committed and not ready.snapshot_targets:
                return
            member.disk.write(ready)
            if self.rng.random() < 0.002:
                self.crash(member)
                return
            if not (self.skip_sync and self.rng.random() < 0.5):
                member.disk.sync()
            self.in_flight.extend(ready.messages)
            if ready.snapshot is not None:
                member.applied = msgspec.msgpack.decode(ready.snapshot.data, type=list[bytes])
                member.applied_index = ready.snapshot.index
            for entry in ready.committed:
                self.apply(member, entry)
            for target in ready.snapshot_targets:
                if member.disk.snapshot is not None:
                    raft.send_snapshot(member.replica, target, member.disk.snapshot)
            raft.record_synced(member.replica, ready, self.clock(member), self.rng)

    def apply(self, member: Member, entry: raft.LogEntry) -> None:
        if entry.index != member.applied_index + 1:
            raise InvariantError(f"{entry.index} applied after {member.applied_index}")
        seen = self.committed.setdefault(entry.index, (entry.term, entry.data))
        if seen != (entry.term, entry.data):
            raise InvariantError(f"committed entry {entry.index} was replaced")
        member.applied_index = entry.index
        if entry.kind is raft.EntryKind.COMMAND:
            member.applied.append(entry.data)

    def crash(self, member: Member) -> None:
        if member.disk.unsynced and self.rng.random() < 0.5 and not self.skip_sync:
            member.disk.sync()
        member.disk.unsynced.clear()
        member.up = False

    def step(self) -> None:
        """Execute one random event, then check the invariants."""
        self.now += self.rng.uniform(0.0, 0.02)
        draw = self.rng.random()
        if draw < 0.62:
            self.deliver()
        elif draw < 0.94 - self.fault_rate:
            self.tick_all()
        elif draw < 1.0 - self.fault_rate:
            self.propose()
        else:
            self.inject_fault()
        self.check()

    def deliver(self) -> None:
        for _ in range(min(len(self.in_flight), 6)):
            position = self.rng.randrange(min(len(self.in_flight), 12))
            envelope = self.in_flight.pop(position)
            chance = self.rng.random()
            if chance < 0.04:
                continue
            if chance < 0.08:
                self.in_flight.append(envelope)
            member = self.members.get(envelope.target)
            if member is None or not member.up:
                continue
            if not self.active(member):
                self.in_flight.append(envelope)
                continue
            raft.receive(member.replica, envelope, self.clock(member), self.rng)
            self.process_ready(member)
        del self.in_flight[:-400]

    def tick_all(self) -> None:
        for member in list(self.members.values()):
            if self.active(member):
                raft.tick(member.replica, self.clock(member), self.rng)
                self.process_ready(member)

    def propose(self) -> None:
        for member in list(self.members.values()):
            if self.active(member) and member.replica.is_leader:
                self.proposals += 1
                raft.propose(member.replica, b"command-%d" % self.proposals)
                raft.flush(member.replica, self.clock(member))
                self.process_ready(member)

    def inject_fault(self) -> None:
        member = self.rng.choice(list(self.members.values()))
        draw = self.rng.random()
        if not member.up:
            if draw < 0.15:
                self.wipe_disk(member)
            else:
                self.restart(member)
            return
        if draw < 0.15:
            self.crash(member)
        elif draw < 0.30:
            member.frozen_until = self.now + self.rng.uniform(0.1, 3.0)
        elif draw < 0.50:
            self.compact(member)
        elif draw < 0.60 and self.active(member) and member.replica.is_leader:
            target = self.rng.choice(member.replica.log.members.voters)
            raft.transfer_leadership(member.replica, target, self.clock(member))
            self.process_ready(member)
        else:
            self.change_members()

    def wipe_disk(self, member: Member) -> None:
        """Replace a member by an empty one under a new id, unless a majority would be lost."""
        if member.replica.member_id.startswith("watch"):
            return
        intact = set(self.members) - {member.replica.member_id}
        for other in self.members.values():
            for members in (other.replica.log.members, other.replica.log.base_members):
                remaining = sum(1 for voter in members.voters if voter in intact)
                if remaining < raft.quorum(len(members.voters)) and members.voters:
                    return
        del self.members[member.replica.member_id]
        self.wiped_disks += 1
        box = member.replica.member_id.partition("/")[0]
        self.start(f"{box}/r{self.wiped_disks}", Disk(), raft.Members(voters=()))

    def change_members(self) -> None:
        for member in list(self.members.values()):
            if not self.active(member) or not member.replica.is_leader:
                continue
            changed = next_members(member.replica, set(self.members))
            if changed is not None:
                raft.propose_members(member.replica, changed)
                self.process_ready(member)

    def compact(self, member: Member) -> None:
        if not self.active(member) or member.disk.unsynced:
            return
        log = member.replica.log
        index = member.applied_index
        term = log.term_at(index)
        if term is None or index <= log.base_index:
            return
        snapshot = raft.Snapshot(
            index=index,
            term=term,
            members=log.members_at(index),
            data=msgspec.msgpack.encode(member.applied),
        )
        member.disk.snapshot = snapshot
        member.disk.entries = [entry for entry in member.disk.entries if entry.index > index]
        log.compact(index)

    def check(self) -> None:
        lease_holders = []
        for member_id, member in self.members.items():
            if not member.up:
                continue
            replica = member.replica
            if replica.is_leader and self.leaders.setdefault(replica.term, member_id) != member_id:
                raise InvariantError(f"two leaders in term {replica.term}")
            if raft.holds_lease(replica, self.clock(member)):
                lease_holders.append(member_id)
        if len(lease_holders) > 1:
            raise InvariantError(f"leases held by {lease_holders}")

    def settle(self) -> None:
        """Start all members, stop the faults, and expect one command to reach every member."""
        for member in list(self.members.values()):
            member.frozen_until = 0.0
            if not member.up:
                self.restart(member)
        marker = b"last"
        proposed_at = 0.0
        for _ in range(6000):
            self.now += 0.01
            self.tick_all()
            self.deliver()
            self.change_members()
            self.check()
            for member in self.members.values():
                if member.replica.is_leader and self.now > proposed_at + 2.0:
                    raft.propose(member.replica, marker)
                    proposed_at = self.now
            if all(marker in member.applied for member in self.members.values() if member.up):
                return
            for member in list(self.members.values()):
                if not member.up:
                    self.restart(member)
        raise InvariantError("no progress after the faults stopped")


def next_members(replica: raft.Replica, present: set[str]) -> raft.Members | None:
    """Replace lost voters by learners, and promote learners that caught up."""
    members = replica.log.members
    for learner in members.learners:
        progress = replica.progress.get(learner)
        if learner.startswith("watch"):
            continue
        if learner in present and progress and progress.match_index == replica.log.last_index:
            remaining = tuple(other for other in members.learners if other != learner)
            return raft.Members(voters=(*members.voters, learner), learners=remaining)
    known = set(members.all_ids)
    for new_member in sorted(present - known):
        box = new_member.partition("/")[0]
        voters = tuple(v for v in members.voters if not v.startswith(f"{box}/"))
        learners = tuple(m for m in members.learners if not m.startswith(f"{box}/"))
        return raft.Members(voters=voters, learners=(*learners, new_member))
    return None


def run(seed: int, *, steps: int = 1200, **options: Any) -> Schedule:
    """Run one schedule to its end; `options` are fields of `Schedule`."""
    schedule = Schedule(seed=seed, **options)
    for _ in range(steps):
        schedule.step()
    schedule.settle()
    return schedule
