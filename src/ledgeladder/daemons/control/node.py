"""Drives one member of the replicated log: its disk, state machine and waiting callers."""

from __future__ import annotations

import logging
import random
from typing import TYPE_CHECKING, Final

import anyio
import msgspec
from returns.result import Failure, Result, Success

from ...coordination import raft
from ...coordination.state_machine import (
    COMMAND_DECODER,
    ClusterState,
    apply_command,
    decode_state,
    encode_command,
    encode_state,
)
from ...model import Problem, ResultCode
from ...storage import (
    NO_DESCRIPTOR_ERRORS,
    Identity,
    Journal,
    StorageError,
    box_of,
    load_snapshot,
    open_journal,
)
from .. import clock
from .members import next_members

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

    from ...coordination.commands import Command
    from ...coordination.commands import Result as CommandResult
    from ...coordination.raft import Envelope, LogEntry, Ready, Snapshot

logger = logging.getLogger(__name__)

MAX_TICK_INTERVAL_SECONDS: Final = 0.5
"""Maximum interval between ticks; messages wake the loop in between."""

SUBMIT_TIMEOUT_SECONDS: Final = 5.0
"""How long a caller waits for its command to be committed."""

DISK_RETRY_SECONDS: Final = 0.25
"""Interval at which a write to a full disk is retried; a failed write is cheap."""

SNAPSHOT_RETRY_SECONDS: Final = 5.0
"""Delay after which a snapshot is retried on a full disk, longer since it can be large."""

RETRY_AFTER_SECONDS: Final = 1.0
"""Retry delay that a refused caller receives."""


class Waiter(msgspec.Struct, kw_only=True):
    """A caller that waits for the command at one log index."""

    term: int
    """Term in which the command was proposed; another term at the index means that it was
    replaced."""

    done: anyio.Event = msgspec.field(default_factory=anyio.Event)
    """Set once the outcome is known."""

    result: CommandResult | None = None
    """Result of the command, or None if it is unknown whether it was committed."""


class ControlNode(msgspec.Struct, kw_only=True):
    """One control box's replica of the cluster state."""

    identity: Identity
    """Identity of the data folder."""

    replica: raft.Replica
    """The member of the replicated log."""

    journal: Journal
    """Its log on disk."""

    state: ClusterState
    """State machine as of `applied_index`."""

    applied_index: int
    """Index of the last applied entry."""

    snapshot_entries: int
    """Number of applied entries after which a snapshot is taken."""

    rng: random.Random
    """Random source of election timeouts."""

    send: Callable[[Envelope], None]
    """Sends a message to another member, or drops it if there is no link."""

    on_change: Callable[[], None]
    """Called when a new configuration or quarantine entry was applied."""

    choose_members: Callable[[raft.Replica, set[str], float], raft.Members | None] = next_members
    """Chooses the next membership change from the replica, the applicants and the time."""

    waiters: dict[int, Waiter] = msgspec.field(default_factory=dict)
    """Waiting callers by log index."""

    applicants: set[str] = msgspec.field(default_factory=set)
    """Members that requested to join since this box last became the leader."""

    wake: anyio.Event = msgspec.field(default_factory=anyio.Event)
    """Set when the loop has work."""

    logged_leader: tuple[int, str] = (0, "")
    """Term and leader in the last log line about them."""

    unwritten: Ready | None = None
    """Work that could not be written to a full disk yet. Until it is, the node pauses: it neither
    sends nor receives messages and does not lead. The applied state remains readable."""

    snapshot_retry_at: float = float("-inf")
    """Time before which no snapshot is attempted, on the monotonic clock."""

    syncs: int = 0
    """Number of synced writes, for the metrics page."""

    @property
    def disk_is_full(self) -> bool:
        """True while a write waits for disk space."""
        return self.unwritten is not None

    def receive(self, envelope: Envelope) -> None:
        """Pass a message of another member to the replica, or drop it while the disk is full."""
        if self.disk_is_full:
            return
        raft.receive(self.replica, envelope, clock.now(), self.rng)
        self.notify()

    def notify(self) -> None:
        """Wake the loop. All messages that arrive before it runs share one sync."""
        self.wake.set()

    def record_applicant(self, member_id: str) -> None:
        """Record that a box requests to join, under its newest member id only.

        A box whose disk was lost may have requested to join under its old id before. With both
        recorded, the leader would replace each with the other endlessly.
        """
        box = box_of(member_id)
        self.applicants = {other for other in self.applicants if box_of(other) != box}
        self.applicants.add(member_id)
        self.notify()

    @property
    def leader_box(self) -> str:
        """Box of the leader, or an empty string if it is unknown."""
        return box_of(self.replica.leader_id)


def open_node(
    *,
    identity: Identity,
    folder: Path,
    initial_members: raft.Members,
    timing: raft.Timing,
    snapshot_entries: int,
    send: Callable[[Envelope], None],
    on_change: Callable[[], None],
    rng: random.Random,
) -> ControlNode:
    """Read the data folder and build the node.

    Args:
        identity: Identity of the folder.
        folder: Data folder.
        initial_members: Members of a cluster without a snapshot; empty for a box that must join.
        timing: Intervals of the replicated log.
        snapshot_entries: Number of applied entries after which a snapshot is taken.
        send: Sends a message to another member.
        on_change: Called when a new configuration or quarantine entry was applied.
        rng: Random source of election timeouts.

    Returns:
        The node.

    Raises:
        StorageError: If the folder is damaged or the disk fails.
    """
    journal, recovered = open_journal(folder)
    if recovered.torn_bytes:
        logger.warning("torn tail removed", extra={"bytes": recovered.torn_bytes})
    snapshot = recovered.snapshot
    replica = raft.restore_replica(
        member_id=identity.member_id,
        timing=timing,
        hard_state=recovered.hard_state,
        snapshot=snapshot,
        entries=recovered.entries,
        initial_members=initial_members,
        now=clock.now(),
        rng=rng,
    )
    return ControlNode(
        identity=identity,
        replica=replica,
        journal=journal,
        state=decode_state(snapshot.data) if snapshot else ClusterState(),
        applied_index=snapshot.index if snapshot else 0,
        snapshot_entries=snapshot_entries,
        rng=rng,
        send=send,
        on_change=on_change,
    )


async def run_log(node: ControlNode) -> None:
    """Drive the replicated log until cancelled.

    The sync blocks the event loop on purpose. A leader whose disk hangs must stop sending
    heartbeats; otherwise it would keep the leadership without being able to commit.

    Args:
        node: The node.
    """
    while True:
        wait = raft.next_due(node.replica) - clock.now()
        with anyio.move_on_after(min(max(wait, 0.0), MAX_TICK_INTERVAL_SECONDS)):
            await node.wake.wait()
        node.wake = anyio.Event()
        while node.disk_is_full:
            await anyio.sleep(DISK_RETRY_SECONDS)
            process_ready(node)
        now = clock.now()
        raft.tick(node.replica, now, node.rng)
        _change_members(node, now)
        raft.flush(node.replica, now)
        process_ready(node)


def process_ready(node: ControlNode) -> None:
    """Process the replica's pending work until there is none or the disk is full."""
    while True:
        ready = node.unwritten or raft.take_ready(node.replica)
        if not _has_work(ready) or not _try_write(node, ready):
            break
        for envelope in ready.messages:
            node.send(envelope)
        for entry in ready.committed:
            _apply(node, entry)
        for target in ready.snapshot_targets:
            snapshot = _read_snapshot(node)
            if snapshot is not None:
                raft.send_snapshot(node.replica, target, snapshot)
        raft.record_synced(node.replica, ready, clock.now(), node.rng)
    _log_leader_change(node)
    if not node.replica.is_leader:
        _release_waiters(node)
    if not node.disk_is_full:
        _take_snapshot_if_due(node)


def _read_snapshot(node: ControlNode) -> Snapshot | None:
    """Read the snapshot of this box; None if there is none or no descriptor is left to read it.

    The leader sends a snapshot that was not acknowledged again after a timeout.
    """
    try:
        return load_snapshot(node.journal.folder)
    except OSError as error:
        if error.errno not in NO_DESCRIPTOR_ERRORS:
            raise
        logger.warning("snapshot not read", extra={"detail": str(error)})
        return None


def _try_write(node: ControlNode, ready: Ready) -> bool:
    """Write the replica's pending work, and retain it for a retry if the disk is full.

    Returns:
        False if the disk is full. The node then gives up the leadership and asks the member with
        the longest log to start an election. If that message is lost, an election follows after
        the timeout.

    Raises:
        StorageError: If the disk fails otherwise.
    """
    try:
        _write(node, ready)
    except StorageError as error:
        if error.problem.code is not ResultCode.DISK_FULL:
            raise
        if not node.disk_is_full:
            logger.error("disk is full", extra={"detail": error.problem.detail})
            request = raft.step_down(node.replica, clock.now(), node.rng)
            if request is not None:
                node.send(request)
        node.unwritten = ready
        return False
    if node.disk_is_full:
        logger.warning("disk has space again", extra={"index": node.replica.log.last_index})
    node.unwritten = None
    return True


def _log_leader_change(node: ControlNode) -> None:
    """Log a change of the leader; an empty name means that none is known."""
    current = (node.replica.term, node.replica.leader_id)
    if current == node.logged_leader:
        return
    before = node.logged_leader[1]
    node.logged_leader = current
    if current[1] == before == "":
        return
    logger.info(
        "leader changed", extra={"term": current[0], "leader": current[1], "before": before}
    )


def _has_work(ready: Ready) -> bool:
    return bool(
        ready.hard_state
        or ready.snapshot
        or ready.entries
        or ready.messages
        or ready.committed
        or ready.snapshot_targets
    )


def _write(node: ControlNode, ready: Ready) -> None:
    if ready.snapshot is not None:
        node.journal.save_snapshot(ready.snapshot, node.replica.hard_state, ready.entries)
        _restore(node, ready.snapshot)
        node.syncs += 1
        return
    if ready.hard_state is not None or ready.entries:
        node.journal.write(ready.hard_state, ready.entries)
        node.syncs += 1


def _restore(node: ControlNode, snapshot: Snapshot) -> None:
    node.state = decode_state(snapshot.data)
    node.applied_index = snapshot.index
    logger.info("restored the state from a snapshot of the leader", extra={"index": snapshot.index})
    node.on_change()


def _state_versions(state: ClusterState) -> tuple[int, int, int]:
    """Return the versions of the parts of the state that are pushed to other boxes."""
    return state.configuration.version, state.published.version, state.quarantine.changes


def _apply(node: ControlNode, entry: LogEntry) -> None:
    node.applied_index = entry.index
    result = None
    if entry.kind is raft.EntryKind.COMMAND:
        before = _state_versions(node.state)
        result = apply_command(node.state, COMMAND_DECODER.decode(entry.data))
        if before != _state_versions(node.state):
            node.on_change()
    waiter = node.waiters.pop(entry.index, None)
    if waiter is not None:
        waiter.result = result if waiter.term == entry.term else None
        waiter.done.set()


def _release_waiters(node: ControlNode) -> None:
    for waiter in node.waiters.values():
        waiter.done.set()
    node.waiters.clear()


def _take_snapshot_if_due(node: ControlNode) -> None:
    log = node.replica.log
    if node.applied_index - log.base_index < node.snapshot_entries:
        return
    if clock.now() < node.snapshot_retry_at:
        return
    term = log.term_at(node.applied_index)
    if term is None:
        return
    snapshot = raft.Snapshot(
        index=node.applied_index,
        term=term,
        members=log.members_at(node.applied_index),
        data=encode_state(node.state),
    )
    following = log.between(node.applied_index + 1, log.last_index)
    try:
        node.journal.save_snapshot(snapshot, node.replica.hard_state, following)
    except StorageError as error:
        if error.problem.code is not ResultCode.DISK_FULL:
            raise
        logger.error("snapshot not taken", extra={"detail": error.problem.detail})
        node.snapshot_retry_at = clock.now() + SNAPSHOT_RETRY_SECONDS
        return
    log.compact(node.applied_index)
    logger.info("snapshot taken", extra={"index": snapshot.index, "bytes": len(snapshot.data)})


def _change_members(node: ControlNode, now: float) -> None:
    if not node.replica.is_leader:
        node.applicants.clear()
        return
    node.applicants.difference_update(node.replica.log.members.all_ids)
    members = node.choose_members(node.replica, node.applicants, now)
    if members is not None and raft.propose_members(node.replica, members):
        extra = {"voters": members.voters, "learners": members.learners}
        logger.info("members change", extra=extra)


async def submit(node: ControlNode, command: Command) -> Result[CommandResult, Problem]:
    """Commit a command through the replicated log.

    Args:
        node: The node, which must be the leader.
        command: The command.

    Returns:
        The command's result. A problem with code NOT_LEADER or DISK_FULL means that nothing was
        proposed; with CHANGE_UNKNOWN, that the command may still be committed.
    """
    if node.disk_is_full:
        return Failure(Problem(code=ResultCode.DISK_FULL, retry_after=RETRY_AFTER_SECONDS))
    index = raft.propose(node.replica, encode_command(command))
    if index is None:
        return Failure(
            Problem(
                code=ResultCode.NOT_LEADER,
                detail=f"the leader is {node.leader_box or 'not known'}",
                retry_after=RETRY_AFTER_SECONDS,
            )
        )
    waiter = Waiter(term=node.replica.term)
    node.waiters[index] = waiter
    node.notify()
    with anyio.move_on_after(SUBMIT_TIMEOUT_SECONDS):
        await waiter.done.wait()
    node.waiters.pop(index, None)
    if waiter.result is None:
        return Failure(
            Problem(
                code=ResultCode.CHANGE_UNKNOWN,
                detail="not confirmed by a majority in time; resend it under the same id",
                retry_after=RETRY_AFTER_SECONDS,
            )
        )
    return Success(waiter.result)
