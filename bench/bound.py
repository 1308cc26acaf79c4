"""Upper bound of the throughput of stand-in engines, by linear programming."""

from __future__ import annotations

from itertools import combinations

import numpy
from scipy.optimize import linprog

from standins.batcher import Speed
from standins.fleet import EngineSpec


def seconds_per_layer(spec: EngineSpec) -> float:
    """Return the time of one layer for one token in a full batch."""
    speed = Speed(layer_seconds=spec.layer_seconds)
    batch = spec.batch_limit
    return speed.layer_seconds * (1 + speed.batch_factor * (batch - 1)) / batch


def throughput_bound(engines: list[EngineSpec], layers: int) -> float:
    """Return the maximum throughput of any routing with full batches.

    Tokens are a flow from layer 0 to the last layer over edges of an engine and a range of its
    layers. The edges of an engine share its time.

    Args:
        engines: The engines.
        layers: Number of layers of the model.

    Returns:
        Tokens a second.
    """
    boundaries = sorted(
        {0, layers} | {spec.first for spec in engines} | {spec.end for spec in engines}
    )
    edges = [
        (number, first, end)
        for number, spec in enumerate(engines)
        for first, end in combinations(boundaries, 2)
        if spec.first <= first and end <= spec.end
    ]
    engine_seconds = numpy.zeros((len(engines), len(edges)))
    inner_boundaries = boundaries[1:-1]
    balance = numpy.zeros((len(inner_boundaries), len(edges)))
    for column, (number, first, end) in enumerate(edges):
        engine_seconds[number, column] = (end - first) * seconds_per_layer(engines[number])
        if end in inner_boundaries:
            balance[inner_boundaries.index(end), column] += 1
        if first in inner_boundaries:
            balance[inner_boundaries.index(first), column] -= 1
    objective = [-1.0 if first == 0 else 0.0 for _, first, _ in edges]
    solution = linprog(
        objective,
        A_ub=engine_seconds,
        b_ub=numpy.ones(len(engines)),
        A_eq=balance if inner_boundaries else None,
        b_eq=numpy.zeros(len(inner_boundaries)) if inner_boundaries else None,
    )
    return float(-solution.fun)
