"""Ends of runs that a worker lists until they are acknowledged.

A worker numbers its ends; one that restarts begins anew and lists none of the former.
The lead reads them, stores them, and acknowledges them by a number.  A poll may arrive
at any time later, or never, also after the lead has changed.
"""

from typing import Any, ClassVar

import z3

from spec._checker import Model, State


class EndAcknowledgements(Model):
    """A worker deletes no end that is not stored."""

    variables: ClassVar[dict[str, type]] = {
        # The worker's present incarnation: its ends, how many of them it was told to
        # delete, and how many are stored.
        "incarnation": int,
        "ends": int,
        "deleted": int,
        "stored": int,
        # What the lead has read and not stored yet.
        "read_of": int,
        "read": int,
        # What it may acknowledge.
        "cursor_of": int,
        "cursor": int,
        "poll_out": bool,
        "poll_to": int,
        "poll_ack": int,
    }
    safeguards: ClassVar[tuple[str, ...]] = (
        "only what is stored is acknowledged",
        "a number is kept with its incarnation",
        "a connection does not outlive its process",
    )

    def init(self, s: State) -> Any:
        """Return the initial condition: a worker without ends."""
        zero = [
            v == 0
            for n, v in s.items()
            if self.variables[n] is int and n != "incarnation"
        ]
        return z3.And(*zero, s["incarnation"] == 1, z3.Not(s["poll_out"]))

    def actions(self, s: State) -> dict[str, tuple[Any, dict[str, Any]]]:
        """Return the actions of the worker and of the leads."""
        return {**self._worker_actions(s), **self._lead_actions(s)}

    def _worker_actions(self, s: State) -> dict[str, tuple[Any, dict[str, Any]]]:
        zero = z3.IntVal(0)
        reaches = self.guarded(
            "a connection does not outlive its process",
            s["poll_to"] == s["incarnation"],
        )
        listed = z3.If(s["poll_ack"] < s["ends"], s["poll_ack"], s["ends"])
        return {
            "a run ends": (True, {"ends": s["ends"] + 1}),
            "the worker restarts": (
                True,
                {
                    "incarnation": s["incarnation"] + 1,
                    "ends": zero,
                    "deleted": zero,
                    "stored": zero,
                },
            ),
            "a poll arrives": (
                z3.And(s["poll_out"], reaches),
                {
                    "poll_out": z3.BoolVal(False),
                    "deleted": z3.If(listed > s["deleted"], listed, s["deleted"]),
                },
            ),
            "a poll is lost": (s["poll_out"], {"poll_out": z3.BoolVal(False)}),
        }

    def _lead_actions(self, s: State) -> dict[str, tuple[Any, dict[str, Any]]]:
        zero = z3.IntVal(0)
        is_current = s["read_of"] == s["incarnation"]
        more = z3.And(is_current, s["read"] > s["stored"])
        cursor_at_read = {}
        if self.omitted == "only what is stored is acknowledged":
            cursor_at_read = {"cursor_of": s["incarnation"], "cursor": s["ends"]}
        poll_to = s["cursor_of"]
        if self.omitted == "a number is kept with its incarnation":
            poll_to = s["read_of"]
        return {
            "the lead reads the ends": (
                True,
                {"read_of": s["incarnation"], "read": s["ends"], **cursor_at_read},
            ),
            "what was read is stored": (
                s["read_of"] > 0,
                {
                    "stored": z3.If(more, s["read"], s["stored"]),
                    "cursor_of": s["read_of"],
                    "cursor": s["read"],
                },
            ),
            "the lead polls": (
                z3.And(z3.Not(s["poll_out"]), poll_to > 0),
                {
                    "poll_out": z3.BoolVal(True),
                    "poll_to": poll_to,
                    "poll_ack": s["cursor"],
                },
            ),
            "the lead changes": (
                True,
                {"read_of": zero, "read": zero, "cursor_of": zero, "cursor": zero},
            ),
        }

    def bad(self, s: State) -> Any:
        """Return the bad states: an end that nobody has stored is deleted."""
        return s["deleted"] > s["stored"]

    def invariant(self, s: State) -> Any:
        """Return the inductive invariant: numbers count for their incarnation only."""
        now = s["incarnation"]
        return z3.And(
            now >= 1,
            s["deleted"] <= s["stored"],
            s["stored"] <= s["ends"],
            s["read_of"] <= now,
            s["cursor_of"] <= now,
            s["poll_to"] <= now,
            z3.Implies(s["read_of"] == now, s["read"] <= s["ends"]),
            z3.Implies(s["cursor_of"] == now, s["cursor"] <= s["stored"]),
            z3.Implies(
                z3.And(s["poll_out"], s["poll_to"] == now),
                s["poll_ack"] <= s["stored"],
            ),
        )
