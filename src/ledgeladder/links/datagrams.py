"""Authenticated UDP datagrams between boxes: msgpack with a keyed BLAKE2 hash."""

from __future__ import annotations

import hashlib
import hmac
from typing import Final

import msgspec

from ..coordination.membership import MembershipMessage
from ..model import Problem, ProblemError, ResultCode

TAG_BYTES: Final = 16
DATAGRAM_LIMIT_BYTES: Final = 8192
"""Longest accepted datagram."""

_DECODER: Final = msgspec.msgpack.Decoder(MembershipMessage)


def _tag(secret: str, payload: bytes) -> bytes:
    key = hashlib.blake2b(secret.encode(), digest_size=32).digest()
    return hashlib.blake2b(payload, key=key, digest_size=TAG_BYTES).digest()


def seal(secret: str, message: MembershipMessage) -> bytes:
    """Encode and authenticate a message.

    Args:
        secret: Secret shared by all processes of the cluster.
        message: The message.

    Returns:
        The datagram.
    """
    payload = msgspec.msgpack.encode(message)
    return _tag(secret, payload) + payload


def unseal(secret: str, data: bytes) -> MembershipMessage:
    """Verify and decode a datagram.

    Args:
        secret: Secret shared by all processes of the cluster.
        data: The datagram.

    Returns:
        The message.

    Raises:
        ProblemError: With code PEER_UNTRUSTED if the datagram is too long or its tag is wrong, or
            FRAME_INVALID if it does not decode.
    """
    tag, payload = data[:TAG_BYTES], data[TAG_BYTES:]
    if len(data) > DATAGRAM_LIMIT_BYTES or not hmac.compare_digest(tag, _tag(secret, payload)):
        raise ProblemError(Problem(code=ResultCode.PEER_UNTRUSTED, detail="bad datagram tag"))
    try:
        return _DECODER.decode(payload)
    except msgspec.DecodeError as error:
        raise ProblemError(Problem(code=ResultCode.FRAME_INVALID, detail=str(error))) from error
