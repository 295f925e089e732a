"""Copies of the start of one run, until the run is given up and the next may begin.

The lead sends a start again if it is not answered soon, so that several copies are on
their way at once.  Each is carried out or refused on its own, at any time or
never, and so is its answer read.  Two are on their way at most; one that is not
answered is in the way of another for ever.  Stops, polls and renewals of the lease are
late or lost likewise, the worker restarts at any time, and a copy may have been checked
long before it is sent.  Time is an integer on one clock: the margins of the code, which
``tests/decide`` checks, cover the drift of the worker's.

A run that has ended at the worker and is listed there is not given up, unless its lease
has lapsed before or the worker has restarted: its end would be acknowledged although
the task runs again.
"""

from typing import Any, ClassVar

import z3

from spec._checker import Model, State

LEASE = 2
#: The answers to a copy: none, the worker has the run or refuses it from now on, or
#: it has done nothing.
NO_ANSWER, TAKEN, NOT_DONE = 0, 1, 2
COPIES = ("a", "b")


class StartCopies(Model):
    """A run is given up only if it does not run, has not ended and starts no more."""

    variables: ClassVar[dict[str, type]] = {
        "now": int,
        # The worker's present incarnation: whether it executes the run, whether the run
        # has ended there by itself, and whether it refuses to start it.
        "incarnation": int,
        "runs": bool,
        "ended": bool,
        "refuses": bool,
        "lease": int,
        # A copy: checked, on its way with the end of its lease, without an answer as
        # far as the lead knows, and its answer on its way.
        **{f"{c}_checked": bool for c in COPIES},
        **{f"{c}_out": bool for c in COPIES},
        **{f"{c}_until": int for c in COPIES},
        **{f"{c}_open": bool for c in COPIES},
        **{f"{c}_answer": int for c in COPIES},
        # What the lead knows: the latest end of a lease, that the worker has the run or
        # refuses it, that it is to be stopped, that it has ended, that it is given up.
        "granted": int,
        "taken": bool,
        "stopping": bool,
        "settled": bool,
        "given_up": bool,
        "lapsed": bool,
        "stop_out": bool,
        "stop_answered": bool,
        # A poll, sent after the worker was known to have the run or to refuse it, and
        # its reply.
        "poll_out": bool,
        "poll_after": bool,
        "reply_out": bool,
        "reply_of": int,
        "reply_lists": bool,
        "reply_ended": bool,
        # A renewal of the lease that is carried out late.
        "renewal_out": bool,
        "renewal_until": int,
    }
    safeguards: ClassVar[tuple[str, ...]] = (
        "a copy is settled by its own answer only",
        "check and send in one step",
        "a run that the worker has or refuses is stopped before it is given up",
        "a copy without an answer is stopped before it is given up",
        "only a poll sent after the answer shows that a run is gone",
        "a listed end is read before a run is given up",
        "a lease counts from the moment it is named",
        "a late start lasts no longer than its lease",
        "a late renewal lasts no longer than it says",
        "a lost copy is waited for until its lease has ended",
        "the worker refuses what it stopped or ended",
        "an order is lost with its incarnation",
    )

    def init(self, s: State) -> Any:
        """Return the initial condition: nothing was sent yet."""
        flags = [z3.Not(v) for n, v in s.items() if self.variables[n] is bool]
        zero = [
            v == 0
            for n, v in s.items()
            if self.variables[n] is int and n != "incarnation"
        ]
        return z3.And(*flags, *zero, s["incarnation"] == 1)

    def actions(self, s: State) -> dict[str, tuple[Any, dict[str, Any]]]:
        """Return the actions of time, of the worker and of the lead."""
        actions = {**self._worker_actions(s), **self._lead_actions(s)}
        for copy in COPIES:
            actions.update(self._copy_actions(s, copy))
        return actions

    def _reaches(self, s: State) -> Any:
        return self.guarded(
            "an order is lost with its incarnation", s["incarnation"] == 1
        )

    def _can_start(self, s: State, copy: str) -> Any:
        """Return whether a copy begins the run if it is carried out now."""
        return z3.And(
            s[f"{copy}_out"],
            self._reaches(s),
            z3.Not(s["runs"]),
            z3.Not(s["refuses"]),
            self.guarded(
                "a late start lasts no longer than its lease",
                s["now"] <= s[f"{copy}_until"],
            ),
        )

    def _wanted(self, s: State) -> Any:
        return z3.Not(z3.Or(s["stopping"], s["settled"], s["given_up"], s["taken"]))

    def _worker_actions(self, s: State) -> dict[str, tuple[Any, dict[str, Any]]]:
        false, true = z3.BoolVal(False), z3.BoolVal(True)
        refuses = true
        if self.omitted == "the worker refuses what it stopped or ended":
            refuses = s["refuses"]
        until = s["renewal_until"]
        if self.omitted == "a late renewal lasts no longer than it says":
            until = s["now"] + LEASE
        later = s["now"] + 1
        lasts = later <= s["lease"]
        return {
            "time passes": (
                True,
                # The worker ends a run whose lease has expired, and lists that end.
                {
                    "now": later,
                    "runs": z3.And(s["runs"], lasts),
                    "refuses": z3.If(
                        z3.And(s["runs"], z3.Not(lasts)), refuses, s["refuses"]
                    ),
                },
            ),
            "the run ends": (
                s["runs"],
                {"runs": false, "ended": true, "refuses": refuses},
            ),
            "the worker restarts": (
                True,
                {
                    "incarnation": s["incarnation"] + 1,
                    "runs": false,
                    "ended": false,
                    "refuses": false,
                    "lease": z3.IntVal(0),
                },
            ),
            "a stop is carried out": (
                s["stop_out"],
                {"runs": false, "refuses": refuses, "stop_answered": true},
            ),
            "a poll is answered": (
                s["poll_out"],
                {
                    "poll_out": false,
                    "reply_out": true,
                    "reply_of": s["incarnation"],
                    "reply_lists": s["runs"],
                    "reply_ended": s["ended"],
                },
            ),
            "a renewal is carried out": (
                z3.And(s["renewal_out"], s["incarnation"] == 1),
                {
                    "renewal_out": false,
                    "lease": z3.If(until > s["lease"], until, s["lease"]),
                },
            ),
        }

    def _copy_actions(
        self, s: State, copy: str
    ) -> dict[str, tuple[Any, dict[str, Any]]]:
        false, true = z3.BoolVal(False), z3.BoolVal(True)
        checked, out, until = f"{copy}_checked", f"{copy}_out", f"{copy}_until"
        is_open, answer = f"{copy}_open", f"{copy}_answer"
        end = s["now"] + LEASE
        own_only = "a copy is settled by its own answer only"
        settles = {f"{c}_open": false for c in COPIES if c == copy}
        if self.omitted == own_only:
            settles = {f"{c}_open": false for c in COPIES}
        has_run = z3.And(s[out], self._reaches(s), z3.Or(s["runs"], s["refuses"]))
        return {
            f"{copy} is checked": (
                z3.And(
                    self._wanted(s),
                    z3.Not(z3.Or(s[checked], s[out], s[is_open])),
                    s[answer] == NO_ANSWER,
                ),
                {checked: true},
            ),
            f"{copy} is sent": (
                z3.And(
                    s[checked],
                    self.guarded("check and send in one step", self._wanted(s)),
                ),
                {
                    checked: false,
                    out: true,
                    is_open: true,
                    until: end,
                    "granted": self._grant(s, end),
                },
            ),
            f"{copy} is carried out": (
                self._can_start(s, copy),
                {
                    out: false,
                    answer: z3.IntVal(TAKEN),
                    "runs": true,
                    "lease": z3.If(s[until] > s["lease"], s[until], s["lease"]),
                },
            ),
            f"{copy} meets the run": (has_run, {out: false, answer: z3.IntVal(TAKEN)}),
            f"{copy} is refused": (s[out], {out: false, answer: z3.IntVal(NOT_DONE)}),
            f"the lead reads the answer to {copy}": (
                s[answer] != NO_ANSWER,
                {
                    **settles,
                    answer: z3.IntVal(NO_ANSWER),
                    "taken": z3.Or(s["taken"], s[answer] == TAKEN),
                },
            ),
        }

    def _grant(self, s: State, end: Any) -> Any:
        if self.omitted == "a lease counts from the moment it is named":
            return s["granted"]
        return z3.If(end > s["granted"], end, s["granted"])

    def _lead_actions(self, s: State) -> dict[str, tuple[Any, dict[str, Any]]]:
        false, true = z3.BoolVal(False), z3.BoolVal(True)
        is_open = z3.Or(s["a_open"], s["b_open"])
        is_current = z3.Not(z3.Or(s["settled"], s["given_up"]))
        end = s["now"] + LEASE
        shows = self.guarded(
            "only a poll sent after the answer shows that a run is gone",
            s["poll_after"],
        )
        no_end = self.guarded(
            "a listed end is read before a run is given up",
            z3.Not(z3.And(s["reply_ended"], s["reply_of"] == 1)),
        )
        absent = z3.And(
            is_current,
            s["reply_out"],
            z3.Not(s["reply_lists"]),
            no_end,
        )
        return {
            "the lead stops the run": (
                is_current,
                {"stopping": true, "stop_out": true},
            ),
            "the lead reads the answer to a stop": (
                z3.And(s["stop_answered"], is_current),
                {"stop_answered": false, "taken": true},
            ),
            "the lead polls": (
                True,
                {"poll_out": true, "reply_out": false, "poll_after": s["taken"]},
            ),
            "the lead reads the end": (
                z3.And(s["reply_out"], s["reply_ended"], is_current),
                {"reply_out": false, "settled": true},
            ),
            "the lead reads that the run is gone": (
                z3.And(absent, shows),
                {"reply_out": false, "given_up": true},
            ),
            "the lead reads of a restart": (
                z3.And(absent, s["reply_of"] > 1, z3.Not(is_open)),
                {"reply_out": false, "given_up": true},
            ),
            "the lead gives up a run that never began": (
                z3.And(
                    is_current,
                    self.guarded(
                        "a copy without an answer is stopped before it is given up",
                        z3.Not(is_open),
                    ),
                    self.guarded(
                        "a run that the worker has or refuses is stopped before it is "
                        "given up",
                        z3.Not(s["taken"]),
                    ),
                ),
                {"given_up": true},
            ),
            "the lead takes the lease as lapsed": (
                z3.And(
                    is_current,
                    self.guarded(
                        "a lost copy is waited for until its lease has ended",
                        s["now"] > s["granted"],
                    ),
                ),
                {"given_up": true, "lapsed": true},
            ),
            "the lead renews the lease": (
                is_current,
                {
                    "renewal_out": true,
                    "renewal_until": end,
                    "granted": self._grant(s, end),
                },
            ),
        }

    def bad(self, s: State) -> Any:
        """Return the bad states: a run that was given up runs, starts or has ended."""
        starts = [self._can_start(s, copy) for copy in COPIES]
        has_ended = z3.And(s["ended"], z3.Not(s["lapsed"]))
        return z3.And(s["given_up"], z3.Or(s["runs"], has_ended, *starts))

    def invariant(self, s: State) -> Any:
        """Return the inductive invariant.

        A copy that is on its way or whose answer is not read is open.  The answer that
        the worker has the run was read, or is on its way, if the run ever began.  No
        copy of a run that was given up can be carried out: it has arrived, its worker
        has restarted or refuses it, or its lease has ended.
        """
        first = s["incarnation"] == 1
        known = z3.Or(s["taken"], *(s[f"{c}_answer"] == TAKEN for c in COPIES))
        settled = z3.Or(s["runs"], s["refuses"])
        gone = z3.And(s["refuses"], z3.Not(s["runs"]))
        copies = [self._copy_invariant(s, copy, settled) for copy in COPIES]
        replied = z3.And(s["reply_out"], first, s["reply_of"] == 1)
        shown = z3.And(replied, s["poll_after"], z3.Not(s["reply_lists"]))
        return z3.And(
            *copies,
            s["incarnation"] >= 1,
            s["granted"] >= 0,
            s["reply_of"] <= s["incarnation"],
            z3.Implies(s["reply_out"], s["reply_of"] >= 1),
            s["lease"] <= s["granted"],
            z3.Implies(s["renewal_out"], s["renewal_until"] <= s["granted"]),
            z3.Implies(s["runs"], s["now"] <= s["lease"]),
            z3.Implies(z3.Or(s["runs"], s["ended"]), first),
            z3.Implies(z3.Or(s["runs"], s["ended"]), known),
            z3.Implies(s["ended"], s["refuses"]),
            z3.Implies(z3.And(first, s["taken"]), settled),
            z3.Implies(z3.And(first, s["stop_answered"]), s["refuses"]),
            z3.Implies(
                z3.And(z3.Or(s["poll_out"], s["reply_out"]), s["poll_after"]),
                s["taken"],
            ),
            z3.Implies(shown, gone),
            z3.Implies(z3.And(shown, s["ended"]), s["reply_ended"]),
            z3.Implies(s["given_up"], z3.Not(s["runs"])),
            z3.Implies(z3.And(s["given_up"], s["ended"]), s["lapsed"]),
        )

    @staticmethod
    def _copy_invariant(s: State, copy: str, settled: Any) -> Any:
        out, until, answer = s[f"{copy}_out"], s[f"{copy}_until"], s[f"{copy}_answer"]
        first = s["incarnation"] == 1
        never = z3.Or(
            z3.Not(out), z3.Not(first), s["refuses"], s["now"] > until, s["runs"]
        )
        return z3.And(
            answer >= NO_ANSWER,
            answer <= NOT_DONE,
            z3.Implies(s[f"{copy}_checked"], z3.Not(s[f"{copy}_open"])),
            z3.Implies(out, s[f"{copy}_open"]),
            z3.Implies(out, until <= s["granted"]),
            z3.Implies(out, answer == NO_ANSWER),
            z3.Implies(answer != NO_ANSWER, s[f"{copy}_open"]),
            z3.Implies(z3.And(first, answer == TAKEN), settled),
            z3.Implies(s["given_up"], never),
        )
