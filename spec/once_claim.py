"""A request with an idempotency key: claims, dispatch, inquiry and release.

The caller sends its request through instance A and, without a response, again
through B.  Appends take effect late or never.  A may pause at any point or crash.
B may ask A whether A has sent the request.
"""

from typing import Any, ClassVar

import z3

from spec._checker import Model, State

NOBODY, BY_A, BY_B = 0, 1, 2


class OnceClaim(Model):
    """The request runs at most once, and ``ran: no`` in a refusal is true."""

    variables: ClassVar[dict[str, type]] = {
        # The instance whose claim is effective, according to the log.
        "holder": int,
        "a_claim_out": bool,
        "b_claim_out": bool,
        "b_release_out": bool,
        "a_knows_first": bool,
        "b_knows_first": bool,
        "a_gave_up": bool,
        "a_sent": bool,
        "b_sent": bool,
        "a_said_unsent": bool,
        "a_told_no": bool,
        "runs": int,
    }
    safeguards: ClassVar[tuple[str, ...]] = (
        "read back before dispatch",
        "first by offset",
        "saying unsent voids the claim",
        "only the unsent is released",
        "giving up voids the claim",
    )

    def init(self, s: State) -> Any:
        """Return the initial condition: nothing is claimed, nothing is sent."""
        falses = [z3.Not(v) for n, v in s.items() if self.variables[n] is bool]
        return z3.And(s["holder"] == NOBODY, s["runs"] == 0, *falses)

    def actions(self, s: State) -> dict[str, tuple[Any, dict[str, Any]]]:
        """Return the actions of A, of B and of the log."""
        return {**self._a_actions(s), **self._b_actions(s)}

    def _holder_after_claim(self, s: State, who: int) -> Any:
        """Return the holder after a claim is appended: the first by offset wins."""
        if self.omitted == "first by offset":
            return z3.IntVal(who)
        return z3.If(s["holder"] == NOBODY, z3.IntVal(who), s["holder"])

    def _a_actions(self, s: State) -> dict[str, tuple[Any, dict[str, Any]]]:
        yes, no = z3.BoolVal(True), z3.BoolVal(False)
        knows = self.guarded("read back before dispatch", s["a_knows_first"])
        claimed = z3.Or(s["a_claim_out"], s["a_knows_first"])
        void = z3.And(
            self.guarded("saying unsent voids the claim", z3.Not(s["a_said_unsent"])),
            self.guarded("giving up voids the claim", z3.Not(s["a_gave_up"])),
        )
        return {
            "A sends its claim": (
                z3.And(z3.Not(claimed), z3.Not(s["a_gave_up"]), z3.Not(s["a_sent"])),
                {"a_claim_out": yes},
            ),
            "A's claim lands": (
                s["a_claim_out"],
                {"a_claim_out": no, "holder": self._holder_after_claim(s, BY_A)},
            ),
            "A reads that it is first": (
                s["holder"] == BY_A,
                {"a_knows_first": yes},
            ),
            "A dispatches": (
                z3.And(claimed, knows, void, z3.Not(s["a_sent"])),
                {"a_sent": yes, "runs": s["runs"] + 1},
            ),
            "A gives up and says it was not run": (
                z3.Not(s["a_sent"]),
                {"a_gave_up": yes, "a_told_no": yes},
            ),
            "A says to B that it is unsent": (
                z3.And(s["holder"] == BY_A, z3.Not(s["a_sent"])),
                {"a_said_unsent": yes},
            ),
        }

    def _b_actions(self, s: State) -> dict[str, tuple[Any, dict[str, Any]]]:
        yes, no = z3.BoolVal(True), z3.BoolVal(False)
        unsent = self.guarded("only the unsent is released", s["a_said_unsent"])
        return {
            "B sends a release of A's claim": (
                z3.And(s["holder"] == BY_A, unsent),
                {"b_release_out": yes},
            ),
            "B's release lands": (
                s["b_release_out"],
                {
                    "b_release_out": no,
                    "holder": z3.If(
                        s["holder"] == BY_A, z3.IntVal(NOBODY), s["holder"]
                    ),
                },
            ),
            "B sends its claim": (
                z3.And(z3.Not(s["b_sent"]), s["holder"] == NOBODY),
                {"b_claim_out": yes},
            ),
            "B's claim lands": (
                s["b_claim_out"],
                {"b_claim_out": no, "holder": self._holder_after_claim(s, BY_B)},
            ),
            "B reads that it is first": (
                s["holder"] == BY_B,
                {"b_knows_first": yes},
            ),
            "B dispatches": (
                z3.And(s["b_knows_first"], z3.Not(s["b_sent"])),
                {"b_sent": yes, "runs": s["runs"] + 1},
            ),
        }

    def bad(self, s: State) -> Any:
        """Return the bad states: a second run, or a false ``ran: no`` by A."""
        return z3.Or(s["runs"] > 1, z3.And(s["a_told_no"], s["a_sent"]))
