"""Claims of a cell's lead, with late writes, restarts and compaction.

Instances P and Q may claim the cell at any time, and again after a restart that
forgets what they knew.  A claim takes effect late or never.  Heartbeats of the present
and of the former lead may follow a claim.  Of each key the log keeps only the newest
record.  What an instance knows of the newest claim may be old.
"""

from typing import Any, ClassVar

import z3

from spec._checker import Model, State


class LeadClaims(Model):
    """Each claim has a higher epoch than those before, and the log tells the newest."""

    variables: ClassVar[dict[str, type]] = {
        "end": int,
        # The epochs of the newest claim and of the one before it.
        "newest": int,
        "former": int,
        # The epoch that the newest record under the claims' key tells.
        "kept": int,
        "p_known": int,
        "p_out": bool,
        "p_at": int,
        "p_epoch": int,
        "q_known": int,
        "q_out": bool,
        "q_at": int,
        "q_epoch": int,
        "is_shared": bool,
    }
    safeguards: ClassVar[tuple[str, ...]] = (
        "a claim is carried out at its offset only",
        "the epoch is that of the offset",
        "claims have a key of their own",
    )

    def init(self, s: State) -> Any:
        """Return the initial condition: an empty log."""
        kinds = self.variables
        zero = [v == 0 for n, v in s.items() if kinds[n] is int and "epoch" not in n]
        falses = [z3.Not(v) for n, v in s.items() if kinds[n] is bool]
        return z3.And(*zero, *falses, s["p_epoch"] == 1, s["q_epoch"] == 1)

    def actions(self, s: State) -> dict[str, tuple[Any, dict[str, Any]]]:
        """Return the actions of both instances and of the leads' heartbeats."""
        later = s["end"] + 1
        replaced = {}
        if self.omitted == "claims have a key of their own":
            replaced = {"kept": s["former"]}
        return {
            **self._claimant_actions(s, "p"),
            **self._claimant_actions(s, "q"),
            "a heartbeat of the lead lands": (s["newest"] > 0, {"end": later}),
            "a late heartbeat of the former lead lands": (
                s["former"] > 0,
                {"end": later, **replaced},
            ),
        }

    def _claimant_actions(
        self, s: State, who: str
    ) -> dict[str, tuple[Any, dict[str, Any]]]:
        known, out = f"{who}_known", f"{who}_out"
        at, epoch = f"{who}_at", f"{who}_epoch"
        chosen = s["end"] + 1
        if self.omitted == "the epoch is that of the offset":
            chosen = s[known] + 1
        at_its_offset = self.guarded(
            "a claim is carried out at its offset only", s["end"] == s[at]
        )
        return {
            f"{who} reads the newest claim": (True, {known: s["kept"]}),
            f"{who} restarts": (True, {known: z3.IntVal(0)}),
            f"{who} sends a claim": (
                z3.Not(s[out]),
                {out: z3.BoolVal(True), at: s["end"], epoch: chosen},
            ),
            f"{who}'s claim is refused or lost": (s[out], {out: z3.BoolVal(False)}),
            f"{who}'s claim lands": (
                z3.And(s[out], at_its_offset),
                {
                    out: z3.BoolVal(False),
                    "end": s["end"] + 1,
                    "newest": s[epoch],
                    "former": s["newest"],
                    "kept": s[epoch],
                    "is_shared": z3.Or(s["is_shared"], s[epoch] <= s["newest"]),
                },
            ),
        }

    def bad(self, s: State) -> Any:
        """Return the bad states: an epoch that does not rise, or a forgotten claim."""
        return z3.Or(s["is_shared"], s["kept"] != s["newest"])

    def invariant(self, s: State) -> Any:
        """Return the inductive invariant: no epoch is beyond the end of the log."""
        return z3.And(
            s["newest"] <= s["end"],
            s["kept"] == s["newest"],
            s["p_epoch"] == s["p_at"] + 1,
            s["q_epoch"] == s["q_at"] + 1,
            z3.Not(s["is_shared"]),
        )
