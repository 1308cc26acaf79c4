"""A test process that has used up its file descriptors."""

from __future__ import annotations

import contextlib
import os
import resource
from collections.abc import Iterator


@contextlib.contextmanager
def free_descriptors(count: int) -> Iterator[None]:
    """Leave the process a number of free file descriptors."""
    with contextlib.ExitStack() as stack:
        opened = [os.open(os.devnull, os.O_RDONLY) for _ in range(count + 1)]
        for descriptor in opened:
            stack.callback(os.close, descriptor)
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        first_refused = max(opened)
        stack.close()
        resource.setrlimit(resource.RLIMIT_NOFILE, (first_refused, hard))
        try:
            yield
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
