"""What upstreams ask of this box in their answers: rest for a time, or no new work for good."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ...model.exchange import AnswerFacts
    from ...routing.forwarding_table import ForwardedUpstream
    from .checks import Permit

logger = logging.getLogger(__name__)


def note_wishes(
    permit: Permit, upstream: ForwardedUpstream, facts: AnswerFacts, status: int
) -> None:
    """Take in what an upstream asks for in the head of an answer.

    Args:
        permit: The request that was answered.
        upstream: The upstream that answered.
        facts: What the head says.
        status: HTTP status.
    """
    if facts.wrong_upstream:
        # Another run of an upstream has the address, and speaks for itself alone.
        return
    if facts.rest_seconds is not None:
        logger.warning(
            "upstream asks for rest",
            extra={
                "request": permit.facts.attempt_id,
                "upstream": upstream.registration.instance,
                "seconds": facts.rest_seconds,
                "status": status,
                "at_fault": facts.culprit,
                "in_flight": upstream.in_flight,
            },
        )
    if facts.leaving:
        logger.info(
            "upstream says that it leaves",
            extra={
                "request": permit.facts.attempt_id,
                "upstream": upstream.registration.instance,
                "known": upstream.leaving,
            },
        )
