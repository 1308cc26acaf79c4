"""Drops packets from given hosts at a socket of this process, as a network partition does.

Linux filters the packets of a TCP socket with a classic BPF program, which needs no privileges
(socket(7), SO_ATTACH_FILTER). At a listening socket it drops the SYN, so that connecting hangs.
"""

from __future__ import annotations

import ctypes
import socket
from collections.abc import Iterable
from typing import Final, Protocol

SO_ATTACH_FILTER: Final = 26
SO_DETACH_FILTER: Final = 27
"""Socket options of Linux that the socket module does not name."""

LOAD_WORD: Final = 0x20
JUMP_IF_EQUAL: Final = 0x15
RETURN: Final = 0x06
"""Operation codes of the filter program."""

SOURCE_ADDRESS_OFFSET: Final = -0x100000 + 12
"""Source address in the IPv4 header, relative to SKF_NET_OFF."""

ACCEPT: Final = 0xFFFFFFFF
DROP: Final = 0
"""Number of bytes of a packet that the program keeps."""


class _Instruction(ctypes.Structure):
    _fields_ = (
        ("code", ctypes.c_uint16),
        ("if_true", ctypes.c_uint8),
        ("if_false", ctypes.c_uint8),
        ("value", ctypes.c_uint32),
    )


class _Program(ctypes.Structure):
    _fields_ = (("length", ctypes.c_uint16), ("instructions", ctypes.POINTER(_Instruction)))


class FilteredSocket(Protocol):
    """The part of a socket that filters need."""

    def setsockopt(self, level: int, option: int, value: bytes | int, /) -> None:
        """Set a socket option."""


def drop_from(sock: FilteredSocket, hosts: Iterable[str]) -> None:
    """Drop the packets of some hosts at a socket, in place of an earlier filter.

    Args:
        sock: The socket.
        hosts: IP addresses of the hosts.
    """
    addresses = [int.from_bytes(socket.inet_aton(host), "big") for host in hosts]
    count = len(addresses)
    steps = [(LOAD_WORD, 0, 0, SOURCE_ADDRESS_OFFSET & 0xFFFFFFFF)]
    steps += [(JUMP_IF_EQUAL, count - at, 0, value) for at, value in enumerate(addresses)]
    steps += [(RETURN, 0, 0, ACCEPT), (RETURN, 0, 0, DROP)]
    program = (_Instruction * len(steps))(*(_Instruction(*step) for step in steps))
    sock.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, bytes(_Program(len(steps), program)))


def drop_nothing(sock: FilteredSocket) -> None:
    """Remove the filter of a socket that has one."""
    sock.setsockopt(socket.SOL_SOCKET, SO_DETACH_FILTER, 0)
