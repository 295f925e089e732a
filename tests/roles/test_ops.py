"""Tests of the operators' interface over HTTP."""

import json

from tests.running import ask, running_kernel

BAD_BODIES = (
    ("/v1/config", b"{", "request.malformed"),
    ("/v1/config", b"[]", "request.malformed"),
    ("/v1/config", b'{"base": true}', "request.malformed"),
    ("/v1/config", b'{"base": 0, "rows": [{"name": 3}]}', "list.invalid"),
    ("/v1/config", b'{"base": 0, "plans": "no section"}', "list.invalid"),
    ("/v1/config", b'{"base": 0, "plans": "[a]\\nshare = x"}', "list.invalid"),
    ("/v1/config", b'{"base": 0, "teams": "[t]\\nplan = none"}', "list.invalid"),
    ("/v1/config", b"[" * 100_000, "request.malformed"),
    ("/v1/config", b"x" * (1 << 21), "request.too_large"),
    ("/v1/keys", b'{"team": 7}', "request.malformed"),
    ("/v1/keys", b'{"team": "nobody"}', "key.not_permitted"),
    ("/v1/events?wait=soon", None, "request.malformed"),
    ("/v1/events?after=-1", None, "request.malformed"),
)


def test_bad_input_gets_a_typed_refusal_and_changes_nothing():
    with running_kernel() as kernel:
        for path, body, code in BAD_BODIES:
            status, answer = ask(kernel, path, body)
            problem = json.loads(answer)
            assert (problem["code"], problem["ran"]) == (code, "no"), path
            assert problem["remedy"]
            assert 400 <= status < 500
        assert kernel.states.config.version == 0
        assert ask(kernel, "/healthz", port="ops")[0] == 200


def test_only_operators_read_lists_or_stop_an_instance():
    with running_kernel() as kernel:
        for path in ("/v1/config", "/v1/teams", "/v1/events", "/v1/report"):
            assert ask(kernel, path, key="fk_guessed")[0] == 401
        assert ask(kernel, "/v1/drain", b"", key="fk_guessed", port="ops")[0] == 401
        assert not kernel.stop_requested.is_set()


def test_stopping_instance_is_not_ready():
    """The balancer must notice the stop before any connection is refused."""
    with running_kernel() as kernel:
        assert ask(kernel, "/readyz", port="ops")[0] == 200
        kernel.stopping = True
        assert ask(kernel, "/readyz", port="ops")[0] == 503


def test_runner_that_announced_leaving_is_listed_as_leaving():
    """The platform's list lags, so the runner's own announcement must show."""
    with running_kernel() as kernel:
        kernel.load.leaving.add("runner-1@127.0.0.1:9")
        kernel.load.local_in_flight["runner-1@127.0.0.1:9"] = 2
        [runner] = json.loads(ask(kernel, "/v1/endpoints")[1])["endpoints"]
        assert (runner["leaving"], runner["in_flight"]) == (True, 2)


def test_refused_request_counts_in_its_teams_burn():
    """A service has no runner, and all requests of a team are refused.

    The team's error budget burns although no request was slow, and the report
    must name the team.
    """
    lists = {"base": 0, "plans": "[p]\nshare=1\nlimit=5\n", "teams": "[t]\nplan=p\n"}
    with running_kernel() as kernel:
        assert ask(kernel, "/v1/config", json.dumps(lists).encode())[0] == 200
        key = json.loads(ask(kernel, "/v1/keys", b'{"team": "t"}')[1])["key"]
        status, answer = ask(kernel, "/r/nowhere/check", key=key)
        assert (status, json.loads(answer)["code"]) == (503, "endpoint.none")
        [row] = json.loads(ask(kernel, "/v1/report")[1])["rows"]
        assert (row["team"], row["class"], row["refused"]) == ("t", "standard", 1)
        assert row["alert"] == "page"
