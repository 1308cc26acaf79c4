"""The model that the stand-in engines run: integers in place of tensors.

Each layer keeps a cache that depends on every earlier position, as the attention cache of a real
model does. A token is a pure function of the prompt and its position, and comes out wrong if any
layer was skipped, doubled, swapped, or run with a cache that does not belong to the request.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field

PRIME = 2**61 - 1
VOCABULARY = 50_000


@dataclass(kw_only=True)
class SpanCache:
    """What an engine keeps for one request: the cache of its layers at each position."""

    first: int
    end: int
    history: list[tuple[int, ...]] = field(default_factory=list)

    @property
    def positions(self) -> int:
        """Number of positions that the cache covers."""
        return len(self.history)

    def truncate(self, positions: int) -> None:
        """Drop the positions from `positions` on."""
        del self.history[positions:]


def prompt_seed(prompt: str) -> int:
    """Turn a prompt into a number."""
    return int.from_bytes(hashlib.blake2b(prompt.encode(), digest_size=7).digest(), "big")


def run_layers(cache: SpanCache, value: int) -> int:
    """Run the layers of a span for the next position."""
    before = cache.history[-1] if cache.history else (1,) * (cache.end - cache.first)
    after = []
    for layer in range(cache.first, cache.end):
        memory = (before[layer - cache.first] * 48271 + value + layer) % PRIME
        value = (value * 69621 + memory * 3 + layer * layer + 1) % PRIME
        after.append(memory)
    cache.history.append(tuple(after))
    return value


def input_at(seed: int, tokens: list[int], position: int) -> int:
    """Return what enters the first layer at a position."""
    if position == 0:
        return seed
    return (seed + tokens[position - 1] * 7919 + position) % PRIME


def token_of(value: int) -> int:
    """Return the token that comes out of the last layer."""
    return value % VOCABULARY


def text_of(token: int) -> str:
    """Return the text of a token."""
    return f"{token:x} "


def reference_answer(prompt: str, layers: int, count: int) -> str:
    """Return the only right answer to a prompt."""
    cache = SpanCache(first=0, end=layers)
    seed = prompt_seed(prompt)
    tokens: list[int] = []
    for position in range(count):
        tokens.append(token_of(run_layers(cache, input_at(seed, tokens, position))))
    return "".join(text_of(token) for token in tokens)
