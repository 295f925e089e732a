"""Only the adapter uses the platform's names."""

import re
from pathlib import Path

SRC = Path(__file__).parent.parent / "src" / "firhook"
#: Names of the platform's interface; firhook uses its own names elsewhere.
PLATFORM_NAMES = re.compile(
    r"\b(fencing_token|ack_cursor|last_checkpoint|run-start|run-stop|millicpus|"
    r"task_memory_mb|target_duration_ms|path_prefix|upper_limit|api_keys|"
    r"max_hold_ms|member_id|log-append|log-read|log-newest|keyed\.servers|keyed\.op|"
    r"allow_duplicates|run_forever|all_or_nothing|timestamp_ms|decision_ms|"
    r"per_item_ms|validity_ms|decided_ms|drain_remaining_ms|enforce_capacity)\b"
)


def test_platform_names_occur_only_in_the_adapter():
    found = [
        f"{path.relative_to(SRC)}: {match.group()}"
        for path in SRC.rglob("*.py")
        if path.parent.name != "platform"
        for match in PLATFORM_NAMES.finditer(path.read_text(encoding="utf-8"))
    ]
    assert found == []
