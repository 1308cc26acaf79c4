"""The model of the stand-in engines, which computes on integers in place of tensors.

Each layer keeps a cache that depends on every earlier position, like the attention cache of a real
model. A token is a pure function of the prompt and its position. It is wrong if a layer was
skipped, run twice or out of order, or run with the cache of another request.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field

PRIME = 2**61 - 1
VOCABULARY = 50_000


@dataclass(kw_only=True)
class SpanCache:
    """Cache of one request in one engine: the state of each layer at each position."""

    first: int
    end: int
    history: list[tuple[int, ...]] = field(default_factory=list)

    @property
    def positions(self) -> int:
        """Number of cached positions."""
        return len(self.history)

    def truncate(self, positions: int) -> None:
        """Keep the first `positions` positions and drop the rest."""
        del self.history[positions:]


def prompt_seed(prompt: str) -> int:
    """Return the hash of a prompt, which is the input at position 0."""
    return int.from_bytes(hashlib.blake2b(prompt.encode(), digest_size=7).digest(), "big")


def run_layers(cache: SpanCache, value: int) -> int:
    """Run the layers of a span for the next position and return the output of the last one."""
    previous_states = cache.history[-1] if cache.history else (1,) * (cache.end - cache.first)
    states = []
    for layer in range(cache.first, cache.end):
        state = (previous_states[layer - cache.first] * 48271 + value + layer) % PRIME
        value = (value * 69621 + state * 3 + layer * layer + 1) % PRIME
        states.append(state)
    cache.history.append(tuple(states))
    return value


def input_at(seed: int, tokens: list[int], position: int) -> int:
    """Return the input of the first layer at a position."""
    if position == 0:
        return seed
    return (seed + tokens[position - 1] * 7919 + position) % PRIME


def token_of(value: int) -> int:
    """Return the token for the output of the last layer."""
    return value % VOCABULARY


def text_of(token: int) -> str:
    """Return the text of a token."""
    return f"{token:x} "


def reference_answer(prompt: str, layers: int, count: int) -> str:
    """Return the correct answer to a prompt."""
    cache = SpanCache(first=0, end=layers)
    seed = prompt_seed(prompt)
    tokens: list[int] = []
    for position in range(count):
        tokens.append(token_of(run_layers(cache, input_at(seed, tokens, position))))
    return "".join(text_of(token) for token in tokens)
