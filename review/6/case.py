"""Many answers on one long flow: the flow is reset after 4 MiB."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.lib2.fleet import run_case

ROUTE = 1
SIZE = 12_000
"""Bytes of an answer: the largest of the class `ledger-stream` of norrbo-lb."""
REQUESTS = 400
"""4.8 MB in all."""
REQUESTS_PER_FLOW_WITHOUT_TROUBLE = 200
TIMEOUT_S = 2.0
PAUSE_S = 0.1
"""Pause between an answer and the next request."""
MAX_FLOW_S = 60.0


def play(fleet, with_trouble):
    """Send the requests; return whether the system reset an open flow."""
    per_flow = REQUESTS if with_trouble else REQUESTS_PER_FLOW_WITHOUT_TROUBLE
    answered = 0
    while answered < REQUESTS:
        flow = fleet.client.open(fleet.entry(ROUTE))
        if flow is None:
            raise OSError("the flow was not opened")
        opened_at = time.monotonic()
        for _ in range(per_flow):
            result = flow.request(f"q-{answered}", SIZE, TIMEOUT_S)
            age_s = time.monotonic() - opened_at
            if not result.startswith("200") or answered % 50 == 0:
                fleet.record(
                    f"client: q-{answered} of {flow.name}: {result}; "
                    f"flow {age_s:.1f} s old, {answered * SIZE} bytes of answers so far"
                )
            if result.startswith("reset"):
                return "the system" in result and age_s < MAX_FLOW_S
            if not result.startswith("200"):
                return False
            answered += 1
            time.sleep(PAUSE_S)
    return False


if __name__ == "__main__":
    case = Path(__file__).resolve().parent
    sys.exit(run_case(case, 2, {"budgetvy": 2}, {ROUTE: "budgetvy"}, play))
