"""Gossip interval of an instance."""


def gossip_interval_s(
    size: int, peers: int, min_interval_s: float, budget_bytes_per_s: float
) -> float:
    """Return the time between two rounds of gossip, in seconds.

    The cost of a round grows with the number of peers and of active teams.  A
    fixed interval would cost a node 20 times as much at the size planned for in
    two years as today.  Instead the interval grows, and each message states when
    the next one is due, so receivers can tell a slow peer from a dead one.

    :param size: size of one message including transport overhead, in bytes.
    :param peers: number of peers that receive each message.
    :param min_interval_s: interval while the budget allows it.
    :param budget_bytes_per_s: maximum bandwidth for sending.
    """
    return max(min_interval_s, size * peers / budget_bytes_per_s)
