"""An in-memory model of the users' platform.

It models the store, the workers, the adviser and the callers as the platform's
documentation describes them, and injects faults.  The instances run firhook's real
services.  In :class:`ModelCell` they run in one process and in virtual time; only
the clients of :mod:`firhook.platform` and the transport between instances are
replaced.  :class:`HttpModel` serves the same model in real time to real processes.
"""

from standins.model._adviser import ModelAdviser
from standins.model._cell import ModelCell, ModelInstance, ModelRequest, run_virtual
from standins.model._checks import Checks, Violation
from standins.model._faults import INITIAL_FAULT_KINDS, FaultScenario, Outcome
from standins.model._http import HttpModel
from standins.model._ports import ReservedPorts
from standins.model._processes import KEY, Process, Processes, until
from standins.model._search import SearchScenario
from standins.model._searches import SEARCHES
from standins.model._start_search import StartSearch
from standins.model._store import ModelAppend, ModelStore
from standins.model._time import VirtualLoop, now, pause
from standins.model._workers import ModelWorker, TaskPlan

__all__ = [
    "INITIAL_FAULT_KINDS",
    "KEY",
    "SEARCHES",
    "Checks",
    "FaultScenario",
    "HttpModel",
    "ModelAdviser",
    "ModelAppend",
    "ModelCell",
    "ModelInstance",
    "ModelRequest",
    "ModelStore",
    "ModelWorker",
    "Outcome",
    "Process",
    "Processes",
    "ReservedPorts",
    "SearchScenario",
    "StartSearch",
    "TaskPlan",
    "Violation",
    "VirtualLoop",
    "now",
    "pause",
    "run_virtual",
    "until",
]
