"""How often an instance tells its peers of itself."""


def gossip_interval_s(
    size: int, peers: int, least_s: float, budget_bytes_per_s: float
) -> float:
    """Return the time between two rounds of gossip, in seconds.

    What a round costs grows with the peers and with the teams in use, so a
    fixed time between rounds would cost a node 20 times as much at the
    two-year size as today.  Rounds become rarer instead, and each word says
    when the next one comes, so that receivers know a slow peer from a dead one.

    :param size: bytes of one word, with what the transport adds.
    :param least_s: time between rounds while the budget allows it.
    :param budget_bytes_per_s: what sending may cost.
    """
    return max(least_s, size * peers / budget_bytes_per_s)
