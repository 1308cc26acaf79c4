"""Sans-IO core of the membership protocol.

Within a failure domain, boxes probe each other in turn, first directly, then through other boxes. A
box that does not answer is suspected before it is declared dead ("SWIM: Scalable Weakly-consistent
Infection-style Process Group Membership Protocol", Das, Gupta and Motivala, 2002). Between failure
domains, one representative of each compares fingerprints with a random box of each other domain.
The cost for a box therefore does not grow with the number of boxes in other domains.
"""

from __future__ import annotations

import hashlib
import random
import zlib
from typing import Final

from .gossip import fingerprint, full_state, merge, merge_member, pop_gossip
from .messages import (
    Ack,
    Datagram,
    Digest,
    Gossip,
    MembershipMessage,
    MemberStatus,
    MemberUpdate,
    Ping,
    ProbeRequest,
    Summary,
)
from .state import Membership, Probe, alive, own_update

INDIRECT_PROBES: Final = 2
"""Maximum number of boxes that receive a request for an indirect probe."""

SEEDS_PER_JOIN: Final = 4
"""Maximum number of seeds contacted per call of `join`."""

PROBE_TIMEOUT_SHARE: Final = 0.95
"""Fraction of the probe interval after which an unanswered probe has failed."""

EXPIRY_CHECK_SECONDS: Final = 0.25
"""Time between checks for expired suspicions and dead boxes."""

DIGEST_CHUNK_SIZE: Final = 16
"""Maximum number of updates, and of reports, per datagram of a digest."""


def join(membership: Membership) -> list[Datagram]:
    """Request the membership state of a few seeds; each call selects the next ones.

    Contacting all seeds would make every box send a digest to every other box when many boxes start
    together.

    Args:
        membership: Membership state of this box.

    Returns:
        Datagrams to send.
    """
    gossip = Gossip(members=(own_update(membership),))
    digest = Digest(sender=membership.name, gossip=gossip, reply_to=membership.address)
    seeds = [seed for seed in membership.seeds if seed != membership.address]
    first = zlib.crc32(membership.name.encode()) + membership.sequence_number * SEEDS_PER_JOIN
    membership.sequence_number += 1
    chosen = {seeds[(first + step) % len(seeds)] for step in range(SEEDS_PER_JOIN) if seeds}
    return [Datagram(address=seed, message=digest) for seed in sorted(chosen)]


def leave(membership: Membership) -> list[Datagram]:
    """Announce to the boxes of the local failure domain that this box leaves."""
    membership.left = True
    gossip = Gossip(members=(own_update(membership),))
    digest = Digest(sender=membership.name, gossip=gossip)
    neighbours = _neighbours(membership)
    return [Datagram(address=update.address, message=digest) for update in neighbours]


def tick(membership: Membership, now: float, rng: random.Random) -> list[Datagram]:
    """Process elapsed time: send probes, expire suspicions, compare summaries.

    Args:
        membership: Membership state of this box.
        now: Monotonic time in seconds.
        rng: Random source for the choice of boxes.

    Returns:
        Datagrams to send.
    """
    sent: list[Datagram] = []
    if now >= membership.expiry_due:
        membership.expiry_due = now + EXPIRY_CHECK_SECONDS
        _expire_members(membership, now)
    if membership.probe is not None:
        sent += _check_probe(membership, membership.probe, now, rng)
    if now >= membership.probe_due:
        membership.probe_due = now + membership.timing.probe_interval
        sent += _start_probe(membership, now, rng)
    if now >= membership.summary_due:
        membership.summary_due = now + membership.timing.summary_interval * rng.uniform(0.8, 1.2)
        sent += _send_summaries(membership, rng)
    return sent


def next_due(membership: Membership) -> float:
    """Return the latest monotonic time at which `tick` must be called next."""
    due = min(membership.probe_due, membership.summary_due, membership.expiry_due)
    probe = membership.probe
    if probe is None:
        return due
    timing = membership.timing
    timeout = timing.probe_interval * PROBE_TIMEOUT_SHARE if probe.indirect else timing.ack_timeout
    return min(due, probe.sent_at + timeout)


def receive(membership: Membership, message: MembershipMessage, now: float) -> list[Datagram]:
    """Handle one datagram.

    Args:
        membership: Membership state of this box.
        message: Content of the datagram.
        now: Monotonic time in seconds.

    Returns:
        Datagrams to send.
    """
    match message:
        case Ping():
            return _handle_ping(membership, message, now)
        case Ack():
            return _handle_ack(membership, message, now)
        case ProbeRequest():
            gossip = pop_gossip(membership)
            ping = Ping(
                sender=membership.name,
                sequence_number=message.sequence_number,
                gossip=gossip,
                on_behalf_of=message.reply_to,
            )
            return [Datagram(address=message.target, message=ping)]
        case Summary():
            if message.fingerprint == fingerprint(membership):
                return []
            return _digest_chunks(membership, message.reply_to, request_reply=True)
        case Digest():
            merge(membership, message.gossip, now)
            if not message.reply_to:
                return []
            return _digest_chunks(membership, message.reply_to, request_reply=False)


def _handle_ping(membership: Membership, ping: Ping, now: float) -> list[Datagram]:
    merge(membership, ping.gossip, now)
    address = ping.on_behalf_of or _address_of(membership, ping.sender)
    if not address or membership.left:
        return []
    ack = Ack(
        sender=membership.name, sequence_number=ping.sequence_number, gossip=pop_gossip(membership)
    )
    return [Datagram(address=address, message=ack)]


def _handle_ack(membership: Membership, ack: Ack, now: float) -> list[Datagram]:
    merge(membership, ack.gossip, now)
    probe = membership.probe
    if probe is not None and (probe.target, probe.sequence_number) == (
        ack.sender,
        ack.sequence_number,
    ):
        membership.probe = None
    return []


def _address_of(membership: Membership, name: str) -> str:
    view = membership.members.get(name)
    return view.update.address if view is not None else ""


def _neighbours(membership: Membership) -> list[MemberUpdate]:
    domain_boxes = alive(membership, membership.failure_domain)
    return [update for update in domain_boxes if update.name != membership.name]


def _start_probe(membership: Membership, now: float, rng: random.Random) -> list[Datagram]:
    if membership.left:
        return []
    names = {update.name: update for update in _neighbours(membership)}
    membership.probe_order = [name for name in membership.probe_order if name in names]
    if not membership.probe_order:
        membership.probe_order = list(names)
        rng.shuffle(membership.probe_order)
    if not membership.probe_order:
        return join(membership)
    target = names[membership.probe_order.pop()]
    membership.sequence_number += 1
    membership.probe = Probe(
        target=target.name, sequence_number=membership.sequence_number, sent_at=now
    )
    # Include the update about the target, so a suspected box can refute it.
    gossip = pop_gossip(membership)
    gossip = Gossip(
        members=(*gossip.members, target, own_update(membership)), reports=gossip.reports
    )
    ping = Ping(sender=membership.name, sequence_number=membership.sequence_number, gossip=gossip)
    return [Datagram(address=target.address, message=ping)]


def _check_probe(
    membership: Membership, probe: Probe, now: float, rng: random.Random
) -> list[Datagram]:
    waited = now - probe.sent_at
    timing = membership.timing
    if waited >= timing.probe_interval * PROBE_TIMEOUT_SHARE:
        membership.probe = None
        _suspect(membership, probe.target, now)
        return []
    if waited < timing.ack_timeout or probe.indirect:
        return []
    probe.indirect = True
    target = membership.members.get(probe.target)
    relays = [update for update in _neighbours(membership) if update.name != probe.target]
    if target is None or not relays:
        return []
    request = ProbeRequest(
        sender=membership.name,
        sequence_number=probe.sequence_number,
        reply_to=membership.address,
        target=target.update.address,
    )
    chosen = rng.sample(relays, min(INDIRECT_PROBES, len(relays)))
    return [Datagram(address=relay.address, message=request) for relay in chosen]


def _suspect(membership: Membership, name: str, now: float) -> None:
    view = membership.members.get(name)
    if view is None or view.update.status is not MemberStatus.ALIVE:
        return
    _set_status(membership, view.update, MemberStatus.SUSPECT, now)


def _set_status(
    membership: Membership, update: MemberUpdate, status: MemberStatus, now: float
) -> None:
    changed = MemberUpdate(
        name=update.name,
        failure_domain=update.failure_domain,
        address=update.address,
        incarnation=update.incarnation,
        status=status,
    )
    merge_member(membership, changed, now)


def _expire_members(membership: Membership, now: float) -> None:
    timing = membership.timing
    for name, view in list(membership.members.items()):
        age = now - view.since
        if view.update.status is MemberStatus.SUSPECT and age >= timing.suspicion_timeout:
            _set_status(membership, view.update, MemberStatus.DEAD, now)
        elif view.update.status >= MemberStatus.DEAD and age >= timing.dead_retention:
            del membership.members[name]


def is_representative(membership: Membership) -> bool:
    """Return whether this box represents its failure domain to the others."""
    neighbours = alive(membership, membership.failure_domain)
    return bool(neighbours) and neighbours[0].name == membership.name


def _send_summaries(membership: Membership, rng: random.Random) -> list[Datagram]:
    if membership.left or not is_representative(membership):
        return []
    summary = Summary(
        sender=membership.name,
        reply_to=membership.address,
        fingerprint=fingerprint(membership),
    )
    sent: list[Datagram] = []
    others = alive(membership)
    for failure_domain in sorted({update.failure_domain for update in others}):
        candidates = [update for update in others if update.failure_domain == failure_domain]
        if failure_domain != membership.failure_domain:
            sent.append(Datagram(address=rng.choice(candidates).address, message=summary))
    return sent + _contact_missing_seeds(membership, rng)


def _contact_missing_seeds(membership: Membership, rng: random.Random) -> list[Datagram]:
    """Request the state of one seed that is not alive here, to rejoin after a partition heals."""
    known = {update.address for update in alive(membership)}
    missing = [seed for seed in membership.seeds if seed not in known]
    if not missing:
        return []
    digest = Digest(
        sender=membership.name,
        gossip=Gossip(members=(own_update(membership),)),
        reply_to=membership.address,
    )
    return [Datagram(address=rng.choice(missing), message=digest)]


def _digest_chunks(membership: Membership, address: str, *, request_reply: bool) -> list[Datagram]:
    """Send the full membership state in datagrams of bounded size."""
    gossip = full_state(membership)
    count = max(len(gossip.members), len(gossip.reports))
    sent: list[Datagram] = []
    for first in range(0, count, DIGEST_CHUNK_SIZE):
        chunk = Gossip(
            members=gossip.members[first : first + DIGEST_CHUNK_SIZE],
            reports=gossip.reports[first : first + DIGEST_CHUNK_SIZE],
        )
        reply_to = membership.address if request_reply and first == 0 else ""
        digest = Digest(sender=membership.name, gossip=chunk, reply_to=reply_to)
        sent.append(Datagram(address=address, message=digest))
    return sent


def watchers(membership: Membership, upstream: str, count: int) -> list[str]:
    """Choose the boxes of the local failure domain that watch an upstream.

    Rendezvous hashing gives all boxes the same result; the loss of a box only moves its upstreams.

    Args:
        membership: Membership state of this box.
        upstream: Name of the upstream.
        count: Number of watching boxes.

    Returns:
        Names of the boxes.
    """

    def weight(update: MemberUpdate) -> bytes:
        return hashlib.blake2b(f"{update.name}|{upstream}".encode(), digest_size=8).digest()

    ranked = sorted(alive(membership, membership.failure_domain), key=weight)
    return [update.name for update in ranked[:count]]
