"""A straight line through measured sizes, from which larger sizes are worked out."""

from collections.abc import Sequence
from typing import Any


def slope(sizes: Sequence[float], values: Sequence[float]) -> dict[str, float]:
    """Return the least-squares line through the points.

    :returns: ``per_unit``, ``base`` and ``fit``, the largest distance of a
        point from the line as a share of the largest value.  A fit well above
        0.1 says that the cost does not grow in a straight line and that the
        page must not be trusted far outside the sizes measured.
    """
    n = len(sizes)
    mean_x, mean_y = sum(sizes) / n, sum(values) / n
    spread = sum((x - mean_x) ** 2 for x in sizes)
    rise = sum((x - mean_x) * (y - mean_y) for x, y in zip(sizes, values, strict=True))
    per_unit = rise / spread
    base = mean_y - per_unit * mean_x
    off = max(abs(y - base - per_unit * x) for x, y in zip(sizes, values, strict=True))
    top = max(map(abs, values)) or 1.0
    return {"per_unit": per_unit, "base": base, "fit": round(off / top, 4)}


def points(
    role: str, what: str, unit: str, sizes: Sequence[float], values: Sequence[float]
) -> dict[str, Any]:
    """Return one line of output: the points measured and the line through them."""
    line = slope(sizes, values)
    return {
        "role": role,
        "what": what,
        "unit": unit,
        "sizes": list(sizes),
        "values": [float(f"{v:.5g}") for v in values],
        "per_unit": float(f"{line['per_unit']:.5g}"),
        "base": float(f"{line['base']:.5g}"),
        "fit": line["fit"],
    }
