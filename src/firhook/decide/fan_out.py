"""Plans how the lead distributes new records to the other instances."""

from firhook.decide._fan_out import (
    FanOut,
    digest_delay_s,
    plan_fan_out,
    standby_names,
)

__all__ = ["FanOut", "digest_delay_s", "plan_fan_out", "standby_names"]
