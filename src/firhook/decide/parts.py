"""How the instances share the runners' slots."""

from firhook.decide._parts import (
    FleetUse,
    corrected_shares,
    fair_amounts,
    instance_parts,
    local_weights,
    runner_parts,
    slot_row,
    usable_parts,
)

__all__ = [
    "FleetUse",
    "corrected_shares",
    "fair_amounts",
    "instance_parts",
    "local_weights",
    "runner_parts",
    "slot_row",
    "usable_parts",
]
