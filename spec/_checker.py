"""Model checker: unbounded safety proofs and shortest counterexamples.

A model is a transition system over integers and booleans.  Its safety is proved
for runs of any length.  By default z3's Spacer engine finds an inductive invariant
itself; where that takes too long, the model states an invariant that is proved by
induction.  For a model with an omitted safeguard, bounded model checking unrolls
the transitions until a bad state is reachable, which yields a counterexample.
"""

from abc import ABC, abstractmethod
from collections.abc import Mapping
from typing import Any, ClassVar

import attrs
import z3

State = Mapping[str, Any]

PROOF_TIMEOUT_MS = 30_000


class Model(ABC):
    """A transition system with bad states that must never be reached.

    :param omitted: name of the safeguard to omit, or empty.
    """

    #: Types of the variables, ``int`` or ``bool``, by name.
    variables: ClassVar[dict[str, type]]
    #: Safeguards that can be omitted; without any one, a bad state is reachable.
    safeguards: ClassVar[tuple[str, ...]]

    def __init__(self, omitted: str = "") -> None:
        if omitted and omitted not in self.safeguards:
            raise ValueError(
                f"unknown safeguard {omitted!r}: use one of {self.safeguards}"
            )
        self.omitted = omitted

    def guarded(self, safeguard: str, condition: Any) -> Any:
        """Return the condition, or true if the safeguard is omitted."""
        return z3.BoolVal(True) if self.omitted == safeguard else condition

    @abstractmethod
    def init(self, s: State) -> Any:
        """Return the condition of initial states."""

    @abstractmethod
    def actions(self, s: State) -> dict[str, tuple[Any, dict[str, Any]]]:
        """Return the guard of each action and the new values of changed variables."""

    @abstractmethod
    def bad(self, s: State) -> Any:
        """Return the condition of bad states."""

    def invariant(self, s: State) -> Any | None:
        """Return an inductive invariant that excludes bad states, or ``None``."""
        return None

    def new_variables(self, tag: str) -> dict[str, Any]:
        """Return z3 variables for one state; the tag makes their names unique."""
        kinds = {int: z3.Int, bool: z3.Bool}
        return {n: kinds[k](f"{n}@{tag}") for n, k in self.variables.items()}

    def transitions(self, s: State, t: State) -> dict[str, Any]:
        """Return each action as a relation between two states.

        :raises ValueError: if an action changes an unknown variable.
        """
        relations = {}
        for name, (condition, changes) in self.actions(s).items():
            unknown = set(changes) - set(self.variables)
            if unknown:
                raise ValueError(f"{name} changes unknown variables {unknown}")
            after = [t[v] == changes.get(v, s[v]) for v in self.variables]
            relations[name] = z3.And(condition, *after)
        return relations


@attrs.frozen
class Step:
    """A step of a counterexample: the action and the state after it."""

    action: str
    state: dict[str, str]


def is_safe(model: Model) -> bool:
    """Return whether no run of any length reaches a bad state.

    :raises RuntimeError: if z3 does not decide within the time limit.
    """
    if model.invariant(model.new_variables("s")) is not None:
        return _is_inductive(model)
    return _is_proved_by_spacer(model)


def _is_inductive(model: Model) -> bool:
    """Return whether the invariant is inductive and excludes bad states."""
    s, t = model.new_variables("s"), model.new_variables("t")
    before, after = model.invariant(s), model.invariant(t)
    claims = [
        z3.Implies(model.init(s), before),
        z3.Implies(before, z3.Not(model.bad(s))),
    ]
    for relation in model.transitions(s, t).values():
        claims.append(z3.Implies(z3.And(before, relation), after))
    return all(_holds(claim) for claim in claims)


def _holds(claim: Any) -> bool:
    solver = z3.Solver()
    solver.set(timeout=PROOF_TIMEOUT_MS)
    solver.add(z3.Not(claim))
    verdict = solver.check()
    if verdict == z3.unknown:
        raise RuntimeError(f"z3 did not decide: {solver.reason_unknown()}")
    return verdict == z3.unsat


def _is_proved_by_spacer(model: Model) -> bool:
    z3.set_param("fp.spacer.random_seed", 0)
    solver = z3.Fixedpoint()
    solver.set(engine="spacer", timeout=PROOF_TIMEOUT_MS)
    s, t = model.new_variables("s"), model.new_variables("t")
    sorts = [v.sort() for v in s.values()]
    reachable = z3.Function("reachable", *sorts, z3.BoolSort())
    solver.register_relation(reachable)
    solver.declare_var(*s.values(), *t.values())
    solver.rule(reachable(*s.values()), model.init(s))
    for relation in model.transitions(s, t).values():
        solver.rule(reachable(*t.values()), [reachable(*s.values()), relation])
    verdict = solver.query(z3.And(reachable(*s.values()), model.bad(s)))
    if verdict == z3.unknown:
        raise RuntimeError(f"z3 did not decide: {solver.reason_unknown()}")
    return verdict == z3.unsat


def find_counterexample(model: Model, depth: int) -> list[Step] | None:
    """Return the shortest run to a bad state.

    :param depth: maximum number of steps.
    :returns: its steps, or ``None`` if no run of this length reaches a bad state.
    """
    solver = z3.Solver()
    states = [model.new_variables("0")]
    solver.add(model.init(states[0]))
    choices: list[dict[str, Any]] = []
    for i in range(1, depth + 1):
        states.append(model.new_variables(str(i)))
        relations = model.transitions(states[-2], states[-1])
        labels = {name: z3.Bool(f"{name}#{i}") for name in relations}
        solver.add(z3.Or(*labels.values()))
        for name, label in labels.items():
            solver.add(z3.Implies(label, relations[name]))
        choices.append(labels)
        solver.push()
        solver.add(model.bad(states[-1]))
        if solver.check() == z3.sat:
            return _extract_run(solver.model(), states, choices)
        solver.pop()
    return None


def _extract_run(
    found: Any, states: list[dict[str, Any]], choices: list[dict[str, Any]]
) -> list[Step]:
    steps = []
    for state, labels in zip(states[1:], choices, strict=True):
        action = next(n for n, v in labels.items() if z3.is_true(found.eval(v)))
        values = {n: str(found.eval(v)) for n, v in state.items()}
        steps.append(Step(action, values))
    return steps


def is_reachable(model: Model, goal: Any, depth: int) -> bool:
    """Return whether a run of at most ``depth`` steps reaches a goal state.

    A model whose actions are never enabled is vacuously safe, so each model is
    also checked for reachability of what it is about.

    :param goal: function that returns the goal's condition on a state.
    """

    class Goal(type(model)):  # type: ignore[misc]
        def bad(self, s: State) -> Any:
            return goal(s)

    return find_counterexample(Goal(model.omitted), depth) is not None
