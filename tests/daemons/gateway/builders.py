"""Builders of settings, state, engines and paths for unit tests of the gateway."""

from __future__ import annotations

import msgspec

from ledgeladder.daemons.gateway.state import (
    GatewayState,
    build_admission_queue,
    build_room_admission,
)
from ledgeladder.http1.byte_account import ByteAccount
from ledgeladder.model.exchange import PathPart
from ledgeladder.model.registration import Registration
from ledgeladder.routing.forwarding_table import ForwardedUpstream
from ledgeladder.routing.paths import ChosenPath
from ledgeladder.settings.discovered import GatewaySettings


def settings() -> GatewaySettings:
    return msgspec.convert(
        {
            "box": {"name": "n", "failure_domain": "a", "address": "127.0.0.1"},
            "cluster": {
                "secret": "loopback-and-private-network",
                "link_port": 1,
                "metrics_port": 4,
                "seeds": ["127.0.0.1:9"],
            },
            "gateway": {"caller_address": "127.0.0.1:2", "ready_address": "127.0.0.1:3"},
        },
        GatewaySettings,
    )


def gateway_state() -> GatewayState:
    gateway_settings = settings()
    return GatewayState(
        settings=gateway_settings,
        start_queue=build_admission_queue(gateway_settings),
        upstream_queue=build_admission_queue(gateway_settings),
        room=build_room_admission(gateway_settings),
        bytes_held=ByteAccount(limit_bytes=32 * 1024 * 1024),
    )


def engine(instance: str = "i-1", address: str = "127.0.0.1:1") -> ForwardedUpstream:
    registration = Registration(instance=instance, sequence=1, address=address)
    return ForwardedUpstream(registration=registration, last_seen_at=0.0)


def path_over(*engines: ForwardedUpstream) -> ChosenPath:
    """Return a path over some engines, each with no layers."""
    parts = tuple(
        PathPart(
            instance=item.registration.instance,
            address=item.registration.address,
            first=0,
            end=0,
        )
        for item in engines
    )
    return ChosenPath(parts=parts, engines=engines, cost=1.0)
