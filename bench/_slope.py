"""A straight line through measured sizes, from which larger sizes are worked out."""

from collections.abc import Sequence
from typing import Any

#: Values that differ by less than this share of the largest are taken for flat.
_FLAT = 0.25


def slope(sizes: Sequence[float], values: Sequence[float]) -> tuple[float, float]:
    """Return the least-squares line through the points: its rise and its base."""
    n = len(sizes)
    mean_x, mean_y = sum(sizes) / n, sum(values) / n
    spread = sum((x - mean_x) ** 2 for x in sizes)
    rise = sum((x - mean_x) * (y - mean_y) for x, y in zip(sizes, values, strict=True))
    per_unit = rise / spread
    return per_unit, mean_y - per_unit * mean_x


def bend(sizes: Sequence[float], values: Sequence[float]) -> float | None:
    """Return how much steeper the last stretch is than the first.

    1 is a straight line.  Well above 1, the cost grows faster than the size,
    and a line through the points promises too little for larger sizes.

    :returns: ``None`` if the values hardly change, so that only noise bends.
    """
    top = max(map(abs, values))
    first = (values[1] - values[0]) / (sizes[1] - sizes[0])
    last = (values[-1] - values[-2]) / (sizes[-1] - sizes[-2])
    if max(values) - min(values) <= _FLAT * top or not first:
        return None
    return last / first


def points(
    role: str, what: str, unit: str, sizes: Sequence[float], values: Sequence[float]
) -> dict[str, Any]:
    """Return one line of output: the points measured and the line through them."""
    per_unit, base = slope(sizes, values)
    bent = bend(sizes, values)
    return {
        "role": role,
        "what": what,
        "unit": unit,
        "sizes": list(sizes),
        "values": [float(f"{v:.5g}") for v in values],
        "per_unit": float(f"{per_unit:.5g}"),
        "base": float(f"{base:.5g}"),
        "bend": None if bent is None else round(bent, 2),
    }
