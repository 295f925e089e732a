"""How the instances share the runners' slots."""

from firhook.decide._parts import (
    FleetUse,
    fair_amounts,
    instance_parts,
    local_weights,
    runner_parts,
    usable_parts,
)

__all__ = [
    "FleetUse",
    "fair_amounts",
    "instance_parts",
    "local_weights",
    "runner_parts",
    "usable_parts",
]
