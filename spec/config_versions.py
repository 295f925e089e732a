"""Configuration versions with trimmed logs, snapshots and rebuilds.

Every accepted change increments the version, so the version at an offset equals
the offset.  The instance that takes a snapshot may lag, and the snapshot may be
appended much later.  A follower applies records in order and rebuilds from a
snapshot where records have been trimmed.
"""

from typing import Any, ClassVar

import z3

from spec._checker import Model, State


class ConfigVersions(Model):
    """A follower's version never decreases and never skips a change."""

    variables: ClassVar[dict[str, type]] = {
        "end": int,
        "first": int,
        # Offset at which the last snapshot in the log was taken.
        "snapshot": int,
        "late_snapshot": int,
        "late_out": bool,
        "next": int,
        "version": int,
        "highest": int,
        "acted_blind": bool,
    }
    safeguards: ClassVar[tuple[str, ...]] = (
        "snapshot is newer than the follower",
        "what has expired is not skipped",
        "no action before the rebuild",
    )

    def init(self, s: State) -> Any:
        """Return the initial condition: an empty log."""
        zero = [v == 0 for n, v in s.items() if self.variables[n] is int]
        return z3.And(*zero, z3.Not(s["late_out"]), z3.Not(s["acted_blind"]))

    def actions(self, s: State) -> dict[str, tuple[Any, dict[str, Any]]]:
        """Return the actions of operators, the log and the follower."""
        yes, no = z3.BoolVal(True), z3.BoolVal(False)
        trimmed = s["next"] < s["first"]
        newer = self.guarded(
            "snapshot is newer than the follower", s["snapshot"] >= s["next"]
        )
        skips = self.omitted == "what has expired is not skipped"
        highest = z3.If(s["version"] > s["highest"], s["version"], s["highest"])
        blind = z3.Or(s["acted_blind"], trimmed)
        return {
            "a change is accepted": (True, {"end": s["end"] + 1}),
            "a snapshot is taken and lands": (True, {"snapshot": s["end"]}),
            "a snapshot is taken and stays on its way": (
                z3.Not(s["late_out"]),
                {"late_out": yes, "late_snapshot": s["end"]},
            ),
            "the late snapshot lands": (
                s["late_out"],
                {"late_out": no, "snapshot": s["late_snapshot"]},
            ),
            "a record expires": (s["first"] < s["end"], {"first": s["first"] + 1}),
            "the follower applies a record": (
                z3.And(s["next"] < s["end"], z3.Not(trimmed)),
                {"next": s["next"] + 1, "version": s["version"] + 1},
            ),
            "the follower skips what has expired": (
                z3.And(trimmed, z3.BoolVal(skips)),
                {"next": s["first"]},
            ),
            "the follower rebuilds": (
                # It rebuilds when its records are trimmed, at start and when a
                # peer offers its state, hence possibly at any time.
                newer,
                {"next": s["snapshot"], "version": s["snapshot"], "highest": highest},
            ),
            "the follower acts": (
                self.guarded("no action before the rebuild", z3.Not(trimmed)),
                {"highest": highest, "acted_blind": blind},
            ),
        }

    def bad(self, s: State) -> Any:
        """Return the bad states.

        The version decreased, the follower missed a change, or it acted while its
        records were trimmed.
        """
        return z3.Or(
            s["version"] < s["highest"],
            s["version"] != s["next"],
            s["acted_blind"],
        )
