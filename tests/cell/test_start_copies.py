"""Which copies of a start may still be carried out."""

import math

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from firhook.cell.job_table import MAX_ORDER_DELAY_S, StartCopies

PICK = st.integers(0, 20)


class TrackedCopies(RuleBasedStateMachine):
    """Compares with a list of what became of each copy."""

    def __init__(self):
        super().__init__()
        self.copies = StartCopies()
        self.open = {}
        self.sent = 0
        self.is_taken = False
        self.now = 0.0

    @rule(after_s=st.floats(0.0, 3.0))
    def send(self, after_s):
        self.now += after_s
        copy = self.copies.send(self.now)
        assert copy not in self.open
        self.open[copy] = self.now
        self.sent += 1
        self.is_taken = False

    @rule(pick=PICK)
    def answer(self, pick):
        copy = self._pick(pick)
        self.copies.settle(copy)
        self.open.pop(copy, None)

    @rule(pick=PICK)
    def answer_twice(self, pick):
        self.answer(pick)
        self.copies.settle(pick)
        self.open.pop(pick, None)

    @rule(pick=PICK)
    def withdraw(self, pick):
        copy = self._pick(pick)
        self.copies.withdraw(copy)
        self.sent -= self.open.pop(copy, None) is not None

    @rule()
    def take(self):
        self.copies.take()
        self.is_taken = True

    def _pick(self, pick):
        numbers = list(self.open)
        return numbers[pick % len(numbers)] if numbers else 0

    @invariant()
    def only_copies_without_an_answer_of_their_own_are_open(self):
        assert self.copies.open_count == len(self.open)
        assert self.copies.count == self.sent
        assert self.copies.may_arrive == (bool(self.open) and not self.is_taken)
        latest = max(self.open.values(), default=-math.inf) + MAX_ORDER_DELAY_S
        assert self.copies.latest_arrival == latest


TestStartCopies = TrackedCopies.TestCase
