"""Decides when an order without an answer is sent a second time."""

#: The weights of the newest answer in the moving averages of the latency and of its
#: deviation, as for the retransmission timeout of TCP (RFC 6298).
_MEAN_WEIGHT, _DEVIATION_WEIGHT = 0.125, 0.25
_DEVIATIONS = 4
#: An order is sent again after this time at the earliest and at the latest.  Earlier,
#: a pause of the lead itself would double its orders; later, a short task is late.
_MIN_DELAY_S = 0.06
_MAX_DELAY_S = 0.4
#: Second copies as a fraction of all orders; a burst of them may exceed it.
_BUDGET_FRACTION = 0.1
_BURST = 20.0


class HedgeTimer:
    """Decides when an order without an answer is sent a second time.

    The load is some 350 starts a second, of which workers leave a twentieth without
    an answer and carry them out seconds later.  Three tasks of a short job have a
    third of a second to start.  If the lead waits for the timeout of a lost order,
    one in seven of these jobs is late.  A second copy has the same run number, so
    that the worker carries out only one of them.

    The second copies are limited to a fraction of all orders: if most workers do not
    answer, the network is at fault, and copies would only add to its load.
    """

    def __init__(self) -> None:
        self._mean_s = 0.0
        self._deviation_s = _MAX_DELAY_S / _DEVIATIONS
        self._budget = _BURST

    def record_order(self) -> None:
        """Record that an order was sent for the first time."""
        self._budget = min(self._budget + _BUDGET_FRACTION, _BURST)

    def record_answer(self, took_s: float) -> None:
        """Record how long an answer took, in seconds."""
        offset_s = abs(took_s - self._mean_s)
        self._deviation_s += _DEVIATION_WEIGHT * (offset_s - self._deviation_s)
        self._mean_s += _MEAN_WEIGHT * (took_s - self._mean_s)

    @property
    def mean_s(self) -> float:
        """How long answers take in the mean, in seconds."""
        return self._mean_s

    def delay_s(self) -> float:
        """Return how long to wait for an answer before a second copy, in seconds."""
        expected_s = self._mean_s + _DEVIATIONS * self._deviation_s
        return min(max(expected_s, _MIN_DELAY_S), _MAX_DELAY_S)

    def take(self) -> bool:
        """Take a second copy from the budget; return whether there was one."""
        if self._budget < 1.0:
            return False
        self._budget -= 1.0
        return True
