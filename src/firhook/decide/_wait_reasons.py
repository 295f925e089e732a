"""Why steps wait."""

from enum import StrEnum


class WaitReason(StrEnum):
    """Why a step does not start."""

    #: No worker of its pool and label takes new work.
    NO_WORKER = "no_worker"
    #: Its team is at its limit.
    TEAM_LIMIT = "team_limit"
    #: As many tasks of its job, or of all jobs, were started and are not done as the
    #: records and the memory of a lead hold.
    JOB_FULL = "job_full"
    #: A request to the adviser waits for a free adviser slot.
    ADVICE_DUE = "advice_due"
    #: A request to the adviser has not been answered yet.
    ADVICE_ASKED = "advice_asked"
    #: The adviser permits none of the workers that it was asked about.
    NOT_PERMITTED = "not_permitted"
    #: The permitted workers have no capacity, or only capacity reserved for others.
    NO_ROOM = "no_room"
    #: All remaining tasks are assigned, but no worker has confirmed that it runs them.
    RUNS_BOUND = "runs_bound"
    #: Members of the gang still have runs, which end before the gang starts anew.
    GANG_INCOMPLETE = "gang_incomplete"
    #: No round has considered it yet.
    NOT_LOOKED_AT = "not_looked_at"
