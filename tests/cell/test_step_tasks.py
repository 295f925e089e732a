"""The tasks of a step: what is kept of them is what a list of all tasks would say."""

import attrs
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from firhook.cell._step_tasks import IdleTasks, StepTasks

PICK = st.integers(0, 1000)


@attrs.define(eq=False)
class Item:
    """A task."""

    index: int
    done: bool = False
    runs: list = attrs.field(factory=list)


class StepTasksMachine(RuleBasedStateMachine):
    """Tasks start, lose runs and end in any order, and the state is read again."""

    @initialize(count=st.integers(1, 300))
    def begin(self, count):
        self.count = count
        self.tasks = StepTasks(Item, count)
        self.model = [Item(index) for index in range(count)]

    @rule(pick=PICK)
    def next_one_starts(self, pick):
        idle = IdleTasks(self.tasks)
        idle.refresh(True)
        for index in list(idle)[: pick % 9]:
            self.start(index)

    @rule(pick=PICK)
    def any_one_starts(self, pick):
        self.start(pick % self.count)

    def start(self, index):
        if not self.model[index].done:
            task = self.tasks.adopt(self.tasks[index])
            for one in (task, self.model[index]):
                one.runs.append(1)
            self.tasks.update(task)

    def active(self, pick):
        active = list(self.tasks.active.values())
        return active[pick % len(active)] if active else None

    @rule(pick=PICK)
    def run_is_lost(self, pick):
        task = self.active(pick)
        if task is not None and task.runs:
            for one in (task, self.model[task.index]):
                one.runs.pop()
            self.tasks.update(task)

    @rule(pick=PICK)
    def task_is_done(self, pick):
        task = self.active(pick)
        if task is not None and not task.done:
            self.tasks.complete(task)
            self.tasks.update(task)
            self.model[task.index].done = True

    @rule()
    def state_is_read_again(self):
        known, self.tasks = self.tasks, StepTasks(Item, self.count)
        self.tasks.restore(known.done_before, known.started_before, known.done_bits())
        for task in known.active.values():
            self.tasks.update(task)

    @invariant()
    def agrees_with_the_list(self):
        if not hasattr(self, "tasks"):
            return
        tasks, model = self.tasks, self.model
        assert [t.done for t in tasks] == [t.done for t in model]
        assert [t.runs for t in tasks] == [t.runs for t in model]
        waiting = [t.index for t in model if not t.done and not t.runs]
        assert list(tasks.waiting_indexes()) == waiting
        assert tasks.waiting == len(waiting)
        assert tasks.remaining == sum(not t.done for t in model)
        kept = [t.index for t in model if t.runs or not t.done]
        assert set(tasks.active) <= set(kept)
        assert {t.index for t in model if t.runs} <= set(tasks.active)


TestStepTasks = StepTasksMachine.TestCase
TestStepTasks.settings = settings(
    max_examples=150, stateful_step_count=40, deadline=None
)
