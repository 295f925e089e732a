"""Renders docs/CAPACITY.md from measured slopes.

``python scripts/capacity.py`` runs the measures named ``capacity_*``, keeps
their output in docs/data/capacity.jsonl and fills the generated parts of the
page; ``--render`` fills them from the kept output without measuring again.
The text between the generated parts is written by hand.
"""

import sys
from collections.abc import Iterable, Sequence
from pathlib import Path
from typing import Any

import attrs

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT / "src"), str(ROOT)]

from firhook.decide.gossip import gossip_every  # noqa: E402
from firhook.roles._members import GOSSIP_BYTES_PER_S, TRANSPORT_BYTES  # noqa: E402
from firhook.settings import Settings  # noqa: E402
from firhook.state import States  # noqa: E402
from firhook.state._cell import MAX_KNOWN  # noqa: E402
from scripts._pages import fill, table  # noqa: E402
from scripts._run import (  # noqa: E402
    RUN,
    names,
    read_lines,
    run_all,
    run_text,
    write_lines,
)

DATA = ROOT / "docs" / "data" / "capacity.jsonl"
PAGE = ROOT / "docs" / "CAPACITY.md"
DAY_S = 86400.0
#: A poll of the instance list that has not changed: both messages' headers with
#: a tag of 64 characters, counted by hand.
UNCHANGED_BYTES = 450
#: From here on a straight line is not to be trusted beyond what was measured.
BENT = 1.5


@attrs.frozen
class Size:
    """The two-year size of letter 1, and what had to be assumed beside it."""

    workers: int = 910
    tasks: int = 9100
    starts_per_s: float = 62.0
    jobs_per_day: int = 4900
    teams: int = 120
    zones: int = 7
    changes_per_day: int = 3400
    # Assumed: as many entry instances in each zone as the brief has in all, as
    # many runners as workers, a charge for each job, two keys for each team,
    # and jobs at ten times their mean rate at the peak.
    entries: int = 63
    runners: int = 910
    charges_per_day: int = 4900
    keys: int = 240
    peak_factor: float = 10.0
    # Letter 1: 16 instances fail a day and 330 are restarted or replaced; each
    # is listed as leaving, is gone, and is listed anew.
    list_changes_per_day: float = 3 * (16 + 330)


@attrs.frozen
class Budget:
    """What letter 1 allows a node to spend on control."""

    core_pct: float = 4.7
    memory_mb: float = 64.0
    kb_per_s: float = 14.0
    config_s: float = 17.0
    appends_per_s: float = 200.0


@attrs.frozen(kw_only=True)
class Cost:
    """What one activity of a role costs a node at the two-year size.

    :param core_pct: processor time, in % of a core.
    :param kb_per_s: sent and received, in KB a second.
    :param memory_mb: state held, in MB.
    :param appends_per_s: log appends a second by the whole fleet.
    :param lead_only: whether only the lead of a zone bears it.
    """

    role: str
    what: str
    how: str
    core_pct: float = 0.0
    kb_per_s: float = 0.0
    memory_mb: float = 0.0
    appends_per_s: float = 0.0
    lead_only: bool = False


class Lines:
    """The measured lines, found by what and unit."""

    def __init__(self, lines: Iterable[dict[str, Any]]) -> None:
        self.lines = list(lines)
        self._by = {(line["what"], line["unit"]): line for line in self.lines}

    def per(self, what: str, unit: str) -> float:
        """Return the slope: the cost of one more."""
        return float(self._by[what, unit]["per_unit"])

    def base(self, what: str, unit: str) -> float:
        """Return the cost of none."""
        return float(self._by[what, unit]["base"])

    def at(self, what: str, unit: str, size: float) -> float:
        """Return the cost at a size, on the measured line."""
        return self.base(what, unit) + size * self.per(what, unit)


IDLE = "idle instance among N"
APPLY = "us of processor time to apply"
ON_LOG = "bytes on the log"
TEAM = "team of 3 classes"
MEMORY = "bytes of memory"
US = 1e-6 * 100  # microseconds a second, as % of a core


def _default(option: str) -> float:
    """Return the default of a setting."""
    return float(attrs.fields_dict(Settings)[option].default)


def _process(m: Lines, size: Size) -> list[Cost]:
    return [
        Cost(
            role="process",
            what="an idle instance without peers",
            how="measured line at no peers; interpreter, libraries, loop, long polls",
            core_pct=m.base(IDLE, "% of a core"),
            memory_mb=m.base(IDLE, "MB resident, largest"),
        )
    ]


def _journal(m: Lines, size: Size) -> list[Cost]:
    jobs = size.jobs_per_day / DAY_S * size.peak_factor
    charges = size.charges_per_day / DAY_S * size.peak_factor
    changes = size.changes_per_day / DAY_S
    starts = size.starts_per_s / size.zones
    renewals = size.zones * m.at(
        "idle zone among N instances",
        "log appends a second",
        size.entries / size.zones,
    )
    rates = (
        ("job", jobs),
        ("lead renewal", renewals),
        ("ended task", starts),
        ("charge", charges),
        ("key", 0.01),
    )
    us = sum(rate * m.per(what, APPLY) for what, rate in rates)
    log_bytes = sum(rate * m.per(what, ON_LOG) for what, rate in rates)
    us += changes * m.at("change at N teams", "us", size.teams)
    log_bytes += changes * m.per("team", ON_LOG)
    # Each append of another instance ends one long poll of each follower; an
    # HTTP exchange of the same client is taken for what such a page costs.
    zone_appends = min(starts, 2.0) * 2
    pages = renewals + jobs + zone_appends + 2 * charges + changes
    exchange = m.per("order to a worker", "us of processor time")
    appends = renewals + jobs + zone_appends * size.zones + 2 * charges + changes
    return [
        Cost(
            role="journal",
            what="reading config, cell, once and the own zone's stream",
            how="group commit; one stream for each concern, a zone's own for tasks",
            core_pct=(us + pages * exchange) * US,
            kb_per_s=(log_bytes + pages * 250) / 1000,
            appends_per_s=appends,
        )
    ]


def _word_bytes(m: Lines, teams: float, runners: float) -> float:
    """Return the bytes of one word of gossip, with what the transport adds."""
    return (
        m.base("gossip, per team", "bytes")
        + teams * m.per("gossip, per team", "bytes")
        + runners * m.per("gossip, per runner", "bytes")
        + TRANSPORT_BYTES
    )


def _gossip_every(m: Lines, size: Size, teams: float, runners: float) -> float:
    """Return the seconds between two words of an instance to its peers."""
    word = int(_word_bytes(m, teams, runners))
    least_s = _default("gossip_s")
    return gossip_every(word, size.entries - 1, least_s, GOSSIP_BYTES_PER_S)


def _gossip(m: Lines, size: Size, teams: float, runners: float) -> tuple[float, float]:
    """Return the % of a core and the KB/s of gossip in both directions."""
    peers = size.entries - 1
    rounds = 1 / _gossip_every(m, size, teams, runners)
    # The slope over whole processes is for a word in each direction, with
    # nothing in use, each gossip_s; what a word holds comes on top.
    plain = m.per(IDLE, "% of a core") * _default("gossip_s")
    encode_us, decode_us = (
        teams * m.per("gossip, per team", unit)
        + runners * m.per("gossip, per runner", unit)
        for unit in ("us to encode", "us to decode")
    )
    core = rounds * (peers * plain + (encode_us + peers * decode_us) * US)
    return core, 2 * rounds * peers * _word_bytes(m, teams, runners) / 1000


def _members(m: Lines, size: Size) -> list[Cost]:
    peers = size.entries - 1
    core, kb = _gossip(m, size, size.teams, size.runners / size.zones)
    listed = size.workers + size.runners + size.entries
    poll_s = _default("list_poll_s")
    return [
        Cost(
            role="members",
            what="gossip of all teams and the zone's runners in use",
            how="rounds grow rarer so that sending keeps to its part of the budget",
            core_pct=core,
            kb_per_s=kb,
            memory_mb=peers * m.per(IDLE, "MB resident, largest"),
        ),
        Cost(
            role="members",
            what="reading the platform's list of instances",
            how="one poll each list_poll_s; the whole list only when its tag changed",
            core_pct=listed
            * m.per("listed instance", "us at each poll")
            * size.list_changes_per_day
            / DAY_S
            * US,
            kb_per_s=listed
            * m.per("listed instance", "bytes at each poll")
            * size.list_changes_per_day
            / DAY_S
            / 1000
            + UNCHANGED_BYTES / poll_s / 1000,
            memory_mb=listed * 500 / 1e6,
        ),
    ]


def gossip_text(m: Lines, size: Size) -> str:
    """Return how often an instance tells its peers of itself."""
    quiet = _gossip_every(m, size, 0, 0)
    some = _gossip_every(m, size, size.teams / 10, size.runners / size.zones / 10)
    busy = _gossip_every(m, size, size.teams, size.runners / size.zones)
    return (
        f"Among {size.entries} instances a word comes each {figure(quiet)} s with "
        f"nothing in use, each {figure(some)} s with a tenth of the teams and "
        f"runners in use at the instance, and each {figure(busy)} s with all of "
        "them."
    )


def _config(m: Lines, size: Size) -> list[Cost]:
    memory = size.teams * m.per("team", MEMORY) + size.keys * m.per("key", MEMORY)
    changes = size.changes_per_day / DAY_S
    us = changes * m.at("change at N teams", "us", size.teams)
    return [
        Cost(
            role="config",
            what="lists and keys",
            how="rows, not whole lists, on the log; digests of keys",
            core_pct=us * US,
            kb_per_s=changes * m.per("team", ON_LOG) / 1000,
            memory_mb=memory / 1e6,
            appends_per_s=changes,
        )
    ]


def _once(m: Lines, size: Size) -> list[Cost]:
    kept = States(("a",), "a").once.MAX_ENTRIES
    return [
        Cost(
            role="once",
            what=f"claims and outcomes, {kept:,} kept",
            how="oldest outcomes go first",
            memory_mb=kept * m.per("charge", MEMORY) / 1e6,
        ),
    ]


def _gateway(m: Lines, size: Size) -> list[Cost]:
    runners = size.runners / size.zones
    return [
        Cost(
            role="gateway",
            what="views of runners, queues",
            how="own zone first; a request is work, not control (see below)",
            memory_mb=(runners * 600 + 2000 * 1500) / 1e6,
        )
    ]


def _cell(m: Lines, size: Size) -> list[Cost]:
    workers, tasks = size.workers / size.zones, size.tasks / size.zones
    starts = size.starts_per_s / size.zones
    syncs = m.at("worker held by the lead", "syncs a second", workers)
    exchange = m.per("order to a worker", "us of processor time")
    each = m.at("order to a worker, per task", "bytes", tasks / workers)
    started = m.per("task started", "us of processor time") * starts
    return [
        Cost(
            role="cell",
            what="a day's live jobs, ended ones and the zone's tasks",
            how="own zone's tasks only; ended jobs shrink to their ids",
            memory_mb=(
                size.jobs_per_day * m.per("job", MEMORY)
                + m.at("ended job", MEMORY, MAX_KNOWN)
                + tasks * m.per("running task", MEMORY)
            )
            / 1e6,
        ),
        Cost(
            role="cell",
            what="leading: deciding for the zone's workers",
            how="one lead for each zone; measured over fakes without sockets",
            # The line's base is the idle process, which is counted already.
            core_pct=workers * m.per("worker held by the lead", "% of a core"),
            lead_only=True,
        ),
        Cost(
            role="cell",
            what="leading: orders to workers over HTTP",
            how="one idempotent order for each worker each sync_s",
            core_pct=syncs * exchange * US,
            kb_per_s=syncs * (each + 350) / 1000,
            lead_only=True,
        ),
        Cost(
            role="cell",
            what="leading: starts at the peak",
            how="assignments in batches",
            core_pct=started * US,
            kb_per_s=starts * m.per("ended task", ON_LOG) / 1000,
            lead_only=True,
        ),
    ]


def _ops(m: Lines, size: Size) -> list[Cost]:
    return [
        Cost(
            role="ops",
            what="waits and minute counts of all teams in 3 classes",
            how="histograms appear on first use and are changed each half-hour",
            memory_mb=2 * size.teams * m.per(TEAM, MEMORY) / 1e6,
        ),
        Cost(
            role="ops",
            what="writing the metrics each 15 s",
            how="counters are read when asked for; nothing is counted twice",
            core_pct=m.at(TEAM, "us to write the metrics", size.teams) / 15 * US,
        ),
    ]


def costs(m: Lines, size: Size) -> list[Cost]:
    """Return all costs at a size."""
    return [
        cost
        for part in (
            _process,
            _journal,
            _members,
            _config,
            _once,
            _gateway,
            _cell,
            _ops,
        )
        for cost in part(m, size)
    ]


def figure(value: float) -> str:
    """Return a value with three figures, never in powers of ten."""
    return f"{value:,.0f}" if abs(value) >= 100 else f"{value:.3g}"


def _total(items: Sequence[Cost], field: str) -> tuple[float, str]:
    """Return the sum and the three largest parts of it, as text."""
    ranked = sorted(items, key=lambda c: -getattr(c, field))
    top = ", ".join(f"{c.what} {figure(getattr(c, field))}" for c in ranked[:3])
    return sum(getattr(c, field) for c in items), top


def verdicts(m: Lines, size: Size, budget: Budget) -> str:
    """Return the table that holds the sums against the budgets."""
    every = costs(m, size)
    follower = [c for c in every if not c.lead_only]
    rows = []
    for who, items in (("a node", follower), ("a node that leads its zone", every)):
        for name, unit, field, allowed in (
            ("processor", "% of a core", "core_pct", budget.core_pct),
            ("memory", "MB", "memory_mb", budget.memory_mb),
            ("network", "KB/s", "kb_per_s", budget.kb_per_s),
        ):
            total, top = _total(items, field)
            rows.append(
                [
                    f"{name} of {who}",
                    f"{figure(total)} {unit}",
                    f"{allowed:g} {unit}",
                    "met" if total <= allowed else "**not met**",
                    top,
                ]
            )
    appends, top = _total(every, "appends_per_s")
    met = "met" if appends <= budget.appends_per_s else "**not met**"
    rows.append(
        [
            "log appends of the fleet",
            f"{appends:.3g} /s",
            f"{budget.appends_per_s:g} /s",
            met,
            top,
        ]
    )
    spread = m.at("change in force at N instances", "s after acceptance", size.entries)
    met = "met" if spread <= budget.config_s else "**not met**"
    rows.append(
        [
            "a change in force everywhere",
            f"{spread:.3g} s",
            f"{budget.config_s:g} s",
            met,
            "log reachable",
        ]
    )
    headers = ["Budget", "Worked out", "Allowed", "Verdict", "Largest parts"]
    return table(headers, rows)


def cost_table(m: Lines, size: Size) -> str:
    """Return the table of costs by role."""
    rows = [
        [
            c.role,
            c.what + (" (lead only)" if c.lead_only else ""),
            figure(c.core_pct),
            figure(c.kb_per_s),
            figure(c.memory_mb),
            figure(c.appends_per_s),
            c.how,
        ]
        for c in costs(m, size)
    ]
    headers = [
        "Role",
        "Activity",
        "% of a core",
        "KB/s",
        "MB",
        "Appends/s, fleet",
        "Carried by",
    ]
    return table(headers, rows)


def slope_table(m: Lines) -> str:
    """Return the table of all measured points and slopes."""
    rows = [
        [
            line["role"],
            line["what"],
            line["unit"],
            ", ".join(f"{s:g}" for s in line["sizes"]),
            ", ".join(f"{v:.4g}" for v in line["values"]),
            f"{line['per_unit']:.4g}",
            f"{line['base']:.4g}",
            "" if line["bend"] is None else f"{line['bend']:.2f}",
        ]
        for line in m.lines
    ]
    headers = ["Role", "Of", "Unit", "Sizes", "Values", "Per one", "At none", "Bend"]
    return table(headers, rows)


def bent_text(m: Lines) -> str:
    """Return which measured costs grow faster than their size."""
    bent = [
        f"{line['what']}, {line['unit']} ({line['bend']:.1f})"
        for line in m.lines
        if (line["bend"] or 0) >= BENT
    ]
    return f"Bend of {BENT:g} or more: " + ("; ".join(bent) or "none") + "."


def gateway_text(m: Lines) -> str:
    """Return what a request costs and how many a core carries."""
    us = m.per("request", "us of processor time")
    return (
        f"A request costs {us:.0f} us of processor time at an instance, so that one "
        f"core carries about {1e6 / us:,.0f} short requests a second, and 4.7% of a "
        f"core {4.7e4 / us:,.0f}."
    )


def report_text(m: Lines, size: Size) -> str:
    """Return what gathering one report costs the instance that is asked."""
    step_us = m.at(TEAM, "us to merge an answer", size.teams)
    told_us = m.at(TEAM, "us to dump a report", size.teams)
    kb = m.at(TEAM, "bytes of a report", size.teams) * size.entries / 1000
    return (
        f"A report over {size.entries} instances and {size.teams} teams costs the "
        f"instance that gathers it {step_us * size.entries / 1e6:.2g} s of processor "
        f"time, in steps of {step_us / 1000:.2g} ms with the loop served between "
        f"them, and {kb:,.0f} KB; each instance that is asked spends "
        f"{told_us / 1000:.2g} ms."
    )


def main(args: Sequence[str]) -> None:
    """Measure, unless told only to render, and fill the page."""
    if "--render" not in args:
        chosen = [name for name in names() if name.startswith("capacity_")]
        lines = run_all(chosen)
        failed = [line for line in lines if "failed" in line]
        if failed:
            raise SystemExit(f"the page was left as it is: {failed}")
        write_lines(DATA, lines)
    lines = read_lines(DATA)
    m = Lines(line for line in lines if line["measure"] != RUN)
    size, budget = Size(), Budget()
    parts = {
        "run": run_text(lines),
        "budgets": verdicts(m, size, budget),
        "roles": cost_table(m, size),
        "gateway": gateway_text(m),
        "gossip": gossip_text(m, size),
        "report": report_text(m, size),
        "slopes": slope_table(m),
        "bent": bent_text(m),
    }
    fill(PAGE, parts)


if __name__ == "__main__":
    main(sys.argv[1:])
