"""A zone's lead and an exclusive task, with pauses, lost responses, late orders.

Instance A leads at epoch 1 and runs the task at worker W.  Orders of A may be
delayed by any time and may be delivered twice.  A pause of A after it last read the
clock has the same effect as a delay.  Instance B reads A's renewals with any
delay, claims epoch 2 and starts the next attempt at worker V once it concludes that
the first one has ended.  Time is an integer and may advance between any two steps.
A single clock represents all monotonic clocks: the margins of the code, which
``tests/decide`` checks, cover their drift.
"""

from typing import Any, ClassVar

import z3

from spec._checker import Model, State

LEAD_LEASE = 2
HOLD = 4
TASK_LEASE = 3


class TaskLease(Model):
    """The task never runs at both workers at the same time."""

    variables: ClassVar[dict[str, type]] = {
        "now": int,
        "epoch": int,
        # A's renewal: sent, then appended to the log, then read by A and by B.
        "renewal_sent": int,
        "renewal_out": bool,
        "renewal_landed": bool,
        "a_until": int,
        "b_read": int,
        "b_has_read_all": bool,
        # An order of A to W.  It stays after its delivery, because it may be
        # delivered again.
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
        """Return the initial condition: A leads and W runs the task."""
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
        """Return the actions of time, of the worker, of A and of B."""
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
                # The worker stops a task whose lease has expired.
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
        """Return the bad states: the task runs at both workers."""
        return z3.And(s["w_runs"], s["v_runs"])

    def invariant(self, s: State) -> Any:
        """Return the inductive invariant.

        Once B has read all records of A, A's hold and the validity of its orders
        end at most HOLD after B last read a renewal of A, and the lease of the
        task ends at most TASK_LEASE later.
        """
        hold_end = s["b_read"] + HOLD
        lease_end = hold_end + TASK_LEASE
        certain = z3.Or(s["w_epoch"] == 2, s["now"] > lease_end)
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
                    z3.Implies(s["w_runs"], s["w_lease"] <= lease_end),
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
