"""The bound that stand-in engines allow, by linear programming over sub-ranges of layers."""

from __future__ import annotations

from itertools import combinations

import numpy
from scipy.optimize import linprog

from standins.batcher import Speed
from standins.fleet import EngineSpec


def seconds_per_layer(spec: EngineSpec) -> float:
    """Return the time that one layer of one token takes in a full batch."""
    speed = Speed(layer_seconds=spec.layer_seconds)
    batch = spec.batch_limit
    return speed.layer_seconds * (1 + speed.batch_factor * (batch - 1)) / batch


def bound(engines: list[EngineSpec], layers: int) -> float:
    """Return the most tokens a second that any routing could reach with full batches.

    A flow runs from layer 0 to the last over edges (engine, first, end); each engine's edges share
    its time.

    Args:
        engines: The engines.
        layers: Number of layers of the model.

    Returns:
        Tokens a second.
    """
    cuts = sorted({0, layers} | {spec.first for spec in engines} | {spec.end for spec in engines})
    edges = [
        (number, first, end)
        for number, spec in enumerate(engines)
        for first, end in combinations(cuts, 2)
        if spec.first <= first and end <= spec.end
    ]
    busy = numpy.zeros((len(engines), len(edges)))
    inner = cuts[1:-1]
    balance = numpy.zeros((len(inner), len(edges)))
    for column, (number, first, end) in enumerate(edges):
        busy[number, column] = (end - first) * seconds_per_layer(engines[number])
        if end in inner:
            balance[inner.index(end), column] += 1
        if first in inner:
            balance[inner.index(first), column] -= 1
    gain = [-1.0 if first == 0 else 0.0 for _, first, _ in edges]
    solution = linprog(
        gain,
        A_ub=busy,
        b_ub=numpy.ones(len(engines)),
        A_eq=balance if inner else None,
        b_eq=numpy.zeros(len(inner)) if inner else None,
    )
    return float(-solution.fun)
