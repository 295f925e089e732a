"""State machine of submissions to a cell whose load and faults change."""

import asyncio
from unittest import mock

import msgspec
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from firhook.cell import Resources
from firhook.cell.load import LoadRow, LoadTable
from firhook.clock import set_clocks
from firhook.decide.submission_limits import SubmissionLimits
from firhook.services import _load
from standins.model import ModelCell, ModelRequest, TaskPlan, VirtualLoop, pause
from standins.model._cell import HOST
from tests.services.scenarios import step

NAMES = st.sampled_from(["i0", "i1", "i2"])
IDS = st.integers(1, 6)

#: At the second load a team above its share is late, at the third any team.
LOADS = {
    "none": (),
    "over": (LoadRow("a", f"{HOST}/plan/", 1, 40.0, drain_cores=10.0, is_over=True),),
    "late": (LoadRow("a", f"{HOST}/plan/", 1, 1e4, drain_cores=10.0),),
}


class AdmissionMachine(RuleBasedStateMachine):
    """Callers submit and repeat a few ids at three instances.

    The load changes between none and one at which everything is late; the lead dies
    and comes back, links are cut, and the store is silent, slow or loses answers.  A
    refused id must not run until it is accepted, an accepted one must run, and its
    repeat must be answered 200.
    """

    def __init__(self):
        super().__init__()
        self.rows = LOADS["over"]
        self.loop = VirtualLoop()
        set_clocks(self.loop.time, lambda: 1_700_000_000 + self.loop.time())
        asyncio.set_event_loop(self.loop)
        self.patch = mock.patch.object(_load, "build_load_table", self._build)
        self.patch.start()
        self.cell = ModelCell()
        self.accepted, self.unknown, self.refusals = set(), set(), 0
        self._do(self.cell.begin())
        self._do(pause(0.5))

    def _build(self, job_table, shares, advice_backlog, rates, now):
        return LoadTable(0, 0, made_at=now, rows=self.rows)

    def _do(self, work):
        return self.loop.run_until_complete(work)

    def teardown(self):
        cell = self.cell
        cell.store.mode.clear()
        cell.store.slow, cell.store.lost_share, cell.cut_links = 1.0, 0.0, []
        for name, found in cell.instances.items():
            if not found.alive:
                self._do(cell.restart(name))
        self._check_recovery()
        cell.accepted = dict.fromkeys(self.accepted, "/plan/")
        self._do(cell.all_done(90.0))
        assert cell.checks.violations == [], cell.checks.violations
        for task in asyncio.all_tasks(self.loop):
            task.cancel()
        self._do(asyncio.sleep(0))
        asyncio.set_event_loop(None)
        self.loop.close()
        set_clocks()
        self.patch.stop()

    def _check_recovery(self):
        """Check that all instances serve again, and know each accepted id, within 5 s.

        An instance notices that the store is back only by its next calls.
        """
        for _ in range(50):
            if self._all_ready():
                break
            self._do(pause(0.1))
        assert self._all_ready()
        for name in self.cell.instances:
            for job in sorted(self.accepted):
                self._post(name, int(job, 16))

    def _post(self, name, number):
        found, job = self.cell.instances[name], f"{number:016x}"
        if not found.alive:
            return
        body = msgspec.json.encode({"specification": job, "steps": [step(1)]})
        req = ModelRequest("POST", f"/plan/{job}", body)
        self.cell.plans[f"{job}.0.0"] = TaskPlan(0.3, Resources(1000, 100))
        # It may start before the answer that it was accepted arrives.
        self.cell.checks.refused.discard(job)
        is_ready = self._is_ready(found)
        status, problem = self._do(found.call(req))
        if job in self.accepted:
            # The store may not answer, but nobody says that nothing was accepted.
            assert status in (200, 503, 504)
            if is_ready and not self._has_faults():
                assert status == 200
            return
        if status == 200:
            self.accepted.add(job)
        elif status == 504:
            self.unknown.add(job)
        elif job not in self.unknown:
            assert problem["ran"] == "no"
            assert problem["retry_after"] > 0
            self.cell.checks.refused.add(job)
        self.refusals += status == 429

    def _is_ready(self, found):
        """Return whether the platform would send callers to an instance."""
        return self._do(found.instance.services["callers"].ready())

    def _all_ready(self):
        return all(
            self._is_ready(found)
            for found in self.cell.instances.values()
            if found.alive
        )

    def _has_faults(self):
        store = self.cell.store
        return bool(store.mode) or store.slow > 1 or store.lost_share > 0

    @rule(name=NAMES, number=IDS)
    def submit(self, name, number):
        self._post(name, number)

    @rule(first=NAMES, second=NAMES, number=IDS)
    def submit_without_table_and_repeat_at_once(self, first, second, number):
        """The first instance refuses nothing, as after a restart."""
        callers = self.cell.instances[first].instance.services["callers"]
        callers.load._limits = SubmissionLimits()
        self._post(first, number)
        self._post(second, number)

    @rule(load=st.sampled_from(sorted(LOADS)))
    def change_load(self, load):
        self.rows = LOADS[load]
        self._do(pause(0.6))

    @rule(seconds=st.sampled_from([0.05, 0.3, 2.0]))
    def time_passes(self, seconds):
        self._do(pause(seconds))

    @rule()
    def lead_dies(self):
        if self.cell.lead() is not None and all(
            found.alive for found in self.cell.instances.values()
        ):
            self._do(self._kill_lead())

    async def _kill_lead(self):
        self.cell.kill(self.cell.lead_name())
        await pause(0.2)

    @rule()
    def dead_instance_returns(self):
        for name, found in list(self.cell.instances.items()):
            if not found.alive:
                self._do(self.cell.restart(name))
                self._do(pause(1.0))

    @rule(
        fault=st.sampled_from(
            ["up", "up", "up", "slow", "silent", "busy", "lost answers"]
        )
    )
    def store_changes(self, fault):
        store = self.cell.store
        store.mode.clear()
        store.slow = 20.0 if fault == "slow" else 1.0
        store.lost_share = 0.5 if fault == "lost answers" else 0.0
        if fault in ("silent", "busy"):
            store.mode["*"] = fault

    @rule(name=NAMES, cut=st.booleans())
    def cut_off(self, name, cut):
        others = [other for other in self.cell.instances if other != name]
        self.cell.cut_links = [{name, other} for other in others] if cut else []

    @invariant()
    def nothing_refused_runs(self):
        assert self.cell.checks.violations == [], self.cell.checks.violations


TestAdmission = AdmissionMachine.TestCase
TestAdmission.settings = settings(
    max_examples=40, stateful_step_count=20, deadline=None
)
