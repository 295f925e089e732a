"""A team's limit, divided between two zones and transferred by records.

The giver's lead lowers its part and then appends the transfer.  The response may
be lost, and the record may be appended late or never.  The receiver raises its part
when it reads the record.  In each zone work starts and ends freely within its part.
"""

from typing import Any, ClassVar

import z3

from spec._checker import Model, State


class LimitTransfer(Model):
    """The work that runs in both zones never exceeds the limit."""

    variables: ClassVar[dict[str, type]] = {
        "limit": int,
        "giver_part": int,
        "receiver_part": int,
        "giver_runs": int,
        "receiver_runs": int,
        "amount": int,
        "out": bool,
        "landed": bool,
        "giver_doubts": bool,
    }
    safeguards: ClassVar[tuple[str, ...]] = (
        "giver lowers first",
        "unknown is not failed",
        "part covers what runs",
        "receiver reads once",
    )

    def init(self, s: State) -> Any:
        """Return the initial condition: the parts sum to the limit."""
        return z3.And(
            s["limit"] >= 0,
            s["giver_part"] >= 0,
            s["receiver_part"] >= 0,
            s["giver_part"] + s["receiver_part"] == s["limit"],
            s["giver_runs"] == 0,
            s["receiver_runs"] == 0,
            s["amount"] == 0,
            z3.Not(s["out"]),
            z3.Not(s["landed"]),
            z3.Not(s["giver_doubts"]),
        )

    def actions(self, s: State) -> dict[str, tuple[Any, dict[str, Any]]]:
        """Return the actions of both zones and of the log."""
        yes, no = z3.BoolVal(True), z3.BoolVal(False)
        spare = s["giver_part"] - s["giver_runs"]
        idle = z3.And(z3.Not(s["out"]), z3.Not(s["landed"]))
        moved = s["giver_part"] - 1
        covered = self.guarded("part covers what runs", spare >= 1)
        lowered = s["giver_part"] if self.omitted == "giver lowers first" else moved
        still = yes if self.omitted == "receiver reads once" else no
        actions = {
            "work starts at the giver": (
                s["giver_runs"] < s["giver_part"],
                {"giver_runs": s["giver_runs"] + 1},
            ),
            "work starts at the receiver": (
                s["receiver_runs"] < s["receiver_part"],
                {"receiver_runs": s["receiver_runs"] + 1},
            ),
            "work ends at the giver": (
                s["giver_runs"] > 0,
                {"giver_runs": s["giver_runs"] - 1},
            ),
            "work ends at the receiver": (
                s["receiver_runs"] > 0,
                {"receiver_runs": s["receiver_runs"] - 1},
            ),
            "giver sends a transfer": (
                z3.And(idle, s["giver_part"] >= 1, covered, z3.Not(s["giver_doubts"])),
                {"out": yes, "amount": z3.IntVal(1), "giver_part": lowered},
            ),
            "transfer lands": (s["out"], {"out": no, "landed": yes}),
            "giver's answer is lost": (s["out"], {"giver_doubts": yes}),
            "receiver reads it": (
                s["landed"],
                {
                    "landed": still,
                    "receiver_part": s["receiver_part"] + s["amount"],
                    "giver_doubts": no,
                },
            ),
        }
        if self.omitted == "giver lowers first":
            actions["giver reads it"] = (s["landed"], {"giver_part": moved})
        if self.omitted == "unknown is not failed":
            actions["giver takes it back"] = (
                s["giver_doubts"],
                {"giver_part": s["giver_part"] + s["amount"], "giver_doubts": no},
            )
        return actions

    def bad(self, s: State) -> Any:
        """Return the bad states: the limit is exceeded."""
        return s["giver_runs"] + s["receiver_runs"] > s["limit"]
