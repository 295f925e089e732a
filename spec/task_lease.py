"""The zone's lead and one exclusive task: pauses, lost answers, late orders.

Instance A leads at epoch 1 and has the task at worker W.  Orders of A may stay
on their way for any time (a pause of A after its last look at the clock looks
the same from outside), and may arrive twice.  Instance B reads A's renewals
with any delay, claims epoch 2 and runs the next attempt at worker V once it
believes that the first one has ended.  Time is an integer and advances between
any two steps.  One clock stands for all monotonic clocks: their drift is in
the margins of the code, which ``tests/decide`` checks.
"""

from typing import Any, ClassVar

import z3

from spec._checker import Model, State

LEAD_LEASE = 2
HOLD = 4
TASK_LEASE = 3


class TaskLease(Model):
    """At no time does the task run at both workers."""

    variables: ClassVar[dict[str, type]] = {
        "now": int,
        "epoch": int,
        # A's renewal on its way: sent, then landed, then read by A and by B.
        "renewal_sent": int,
        "renewal_out": bool,
        "renewal_landed": bool,
        "a_until": int,
        "b_read": int,
        "b_has_read_all": bool,
        # An order of A on its way to W; kept after delivery, so that it may
        # arrive again.
        "order_out": bool,
        "order_not_after": int,
        "order_starts": bool,
        "w_runs": bool,
        "w_lease": int,
        "w_epoch": int,
        "ended": bool,
        "v_runs": bool,
    }
    safeguards: ClassVar[tuple[str, ...]] = (
        "fence",
        "not after",
        "count from before sending",
        "confirmation needs the fence",
        "wait for the hold",
        "wait for the task's lease",
    )

    def init(self, s: State) -> Any:
        """Return the start: A leads and W runs the task."""
        return z3.And(
            s["now"] == 0,
            s["epoch"] == 1,
            z3.Not(s["renewal_out"]),
            z3.Not(s["renewal_landed"]),
            s["renewal_sent"] == 0,
            s["a_until"] == HOLD,
            s["b_read"] == 0,
            s["b_has_read_all"],
            z3.Not(s["order_out"]),
            s["order_not_after"] == 0,
            z3.Not(s["order_starts"]),
            s["w_runs"],
            s["w_lease"] == TASK_LEASE,
            s["w_epoch"] == 1,
            z3.Not(s["ended"]),
            z3.Not(s["v_runs"]),
        )

    def actions(self, s: State) -> dict[str, tuple[Any, dict[str, Any]]]:
        """Return the actions of time, of A, of B, and of the worker."""
        return {
            **self._environment_actions(s),
            **self._lead_actions(s),
            **self._successor_actions(s),
        }

    def _environment_actions(self, s: State) -> dict[str, tuple[Any, dict[str, Any]]]:
        later = s["now"] + 1
        delivered = z3.And(
            s["order_out"],
            self.guarded("fence", s["w_epoch"] <= 1),
            self.guarded("not after", s["now"] <= s["order_not_after"]),
            z3.Or(s["w_runs"], s["order_starts"]),
        )
        return {
            "time passes": (
                True,
                # A task whose lease has lapsed is stopped by its worker.
                {"now": later, "w_runs": z3.And(s["w_runs"], later < s["w_lease"])},
            ),
            "order arrives": (
                delivered,
                {"w_runs": z3.BoolVal(True), "w_lease": s["now"] + TASK_LEASE},
            ),
            "task ends at its worker": (s["w_runs"], {"w_runs": z3.BoolVal(False)}),
        }

    def _lead_actions(self, s: State) -> dict[str, tuple[Any, dict[str, Any]]]:
        counted_from = s["renewal_sent"]
        if self.omitted == "count from before sending":
            counted_from = s["now"]
        return {
            "A sends a renewal": (
                z3.And(z3.Not(s["renewal_out"]), z3.Not(s["renewal_landed"])),
                {"renewal_out": z3.BoolVal(True), "renewal_sent": s["now"]},
            ),
            "A's renewal lands": (
                z3.And(s["renewal_out"], s["epoch"] == 1),
                {
                    "renewal_out": z3.BoolVal(False),
                    "renewal_landed": z3.BoolVal(True),
                    "b_has_read_all": z3.BoolVal(False),
                },
            ),
            "A reads its renewal": (
                s["renewal_landed"],
                {
                    "renewal_landed": z3.BoolVal(False),
                    "a_until": counted_from + HOLD,
                },
            ),
            "A sends an order": (
                s["now"] < s["a_until"],
                {
                    "order_out": z3.BoolVal(True),
                    "order_not_after": s["a_until"],
                    "order_starts": z3.BoolVal(True),
                },
            ),
        }

    def _successor_actions(self, s: State) -> dict[str, tuple[Any, dict[str, Any]]]:
        leads = z3.And(s["epoch"] == 2, s["b_has_read_all"], z3.Not(s["ended"]))
        wait = 0
        if self.omitted != "wait for the hold":
            wait += HOLD
        if self.omitted != "wait for the task's lease":
            wait += TASK_LEASE
        fenced = self.guarded("confirmation needs the fence", s["w_epoch"] >= 2)
        return {
            "B reads A's renewal": (
                z3.Not(s["b_has_read_all"]),
                {"b_read": s["now"], "b_has_read_all": z3.BoolVal(True)},
            ),
            "B claims": (
                z3.And(s["epoch"] == 1, s["now"] > s["b_read"] + LEAD_LEASE),
                {"epoch": z3.IntVal(2)},
            ),
            "B's first order fences W": (
                z3.And(s["epoch"] == 2, s["b_has_read_all"]),
                {"w_epoch": z3.IntVal(2)},
            ),
            "W confirms the end": (
                z3.And(leads, fenced, z3.Not(s["w_runs"])),
                {"ended": z3.BoolVal(True)},
            ),
            "B takes it as lapsed": (
                z3.And(leads, s["now"] > s["b_read"] + wait),
                {"ended": z3.BoolVal(True)},
            ),
            "B starts the next attempt": (s["ended"], {"v_runs": z3.BoolVal(True)}),
        }

    def bad(self, s: State) -> Any:
        """Return the double run."""
        return z3.And(s["w_runs"], s["v_runs"])

    def invariant(self, s: State) -> Any:
        """Return what always holds.

        In words: whatever A believes, has ordered or had its worker renew
        ends, once B has read all that A put on the log, at the latest HOLD
        (and for the task TASK_LEASE more) after B last read of A.
        """
        hold_end = s["b_read"] + HOLD
        lapse = hold_end + TASK_LEASE
        certain = z3.Or(s["w_epoch"] == 2, s["now"] > lapse)
        return z3.And(
            z3.Or(s["epoch"] == 1, s["epoch"] == 2),
            z3.Or(s["w_epoch"] == 1, z3.And(s["w_epoch"] == 2, s["epoch"] == 2)),
            s["renewal_sent"] <= s["now"],
            s["b_read"] <= s["now"],
            s["a_until"] <= s["now"] + HOLD,
            s["order_not_after"] <= s["now"] + HOLD,
            z3.Implies(
                s["b_has_read_all"],
                z3.And(
                    s["a_until"] <= hold_end,
                    s["order_not_after"] <= hold_end,
                    z3.Implies(s["renewal_landed"], s["renewal_sent"] <= s["b_read"]),
                    z3.Implies(s["w_runs"], s["w_lease"] <= lapse),
                ),
            ),
            z3.Implies(
                s["w_runs"],
                z3.And(s["now"] < s["w_lease"], s["w_lease"] <= s["now"] + TASK_LEASE),
            ),
            z3.Implies(s["v_runs"], s["ended"]),
            z3.Implies(
                s["ended"],
                z3.And(
                    s["epoch"] == 2, s["b_has_read_all"], certain, z3.Not(s["w_runs"])
                ),
            ),
        )
