"""Amounts of processor, memory and accelerators."""

import attrs


@attrs.frozen(slots=True)
class Resources:
    """What a task needs, a worker has, or a team may use.

    :param cpu_m: processor capacity, in thousandths of a core.
    :param memory_mb: memory, in megabytes.
    :param accelerators: number of accelerators.
    """

    cpu_m: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def add(self, other: "Resources", times: int = 1) -> "Resources":
        """Return the sum of this and ``times`` the other."""
        return Resources(
            self.cpu_m + other.cpu_m * times,
            self.memory_mb + other.memory_mb * times,
            self.accelerators + other.accelerators * times,
        )

    def subtract(self, other: "Resources", times: int = 1) -> "Resources":
        """Return this minus ``times`` the other."""
        return self.add(other, -times)

    def covers(self, other: "Resources") -> bool:
        """Return whether every amount is at least that of the other."""
        return (
            self.cpu_m >= other.cpu_m
            and self.memory_mb >= other.memory_mb
            and self.accelerators >= other.accelerators
        )

    def count_fitting(self, need: "Resources", limit: int) -> int:
        """Return how many times a need fits into this.

        :param limit: largest count to return.
        """
        count = limit
        if need.cpu_m > 0:
            count = min(count, self.cpu_m // need.cpu_m)
        if need.memory_mb > 0:
            count = min(count, self.memory_mb // need.memory_mb)
        if need.accelerators > 0:
            count = min(count, self.accelerators // need.accelerators)
        return max(count, 0)


NO_RESOURCES = Resources()
