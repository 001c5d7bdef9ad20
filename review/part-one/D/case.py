"""Eight jobs that repeat every minute are accepted; do other jobs still run?

The eight are due in an hour, so that none of their tasks may run yet. Then
short jobs are handed in for 15 s. `finish_s` later each accepted one has to be
completed.
"""

import pathlib
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))

import site_run  # noqa: E402

WORKERS = 8
REPEATING_JOBS = 8
SUBMITTED_FOR_S = 40.0
# Every minute for a week, nearly.
OCCURRENCES = 10_000
INTERVAL_MS = 60_000
TASKS = 10
DUE_IN_MS = 3_600_000
QUOTE = {
    "spec": '{"ms": 400}',
    "steps": [{"count": 2, "cpu": 2000, "mem_mb": 500, "estimate_ms": 400}],
}
TRAFFIC_S = 15.0
PERIOD_S = 0.5
ASKED_FOR_S = 8.0


def submit_repeating(site: site_run.Site) -> None:
    """Hands in the jobs that repeat.

    Raises:
      site_run.CannotRunError: One was not accepted.
    """
    accepted = []

    def submit(number: int) -> None:
        body = {
            "spec": '{"ms": 400}',
            "steps": [{"count": TASKS, "cpu": 500, "mem_mb": 100}],
            "repeat_count": OCCURRENCES,
            "start_at_ms": int(time.time() * 1000) + DUE_IN_MS,
            "interval_ms": INTERVAL_MS,
        }
        if site.submit("plan", f"dddd{number:012x}", body, SUBMITTED_FOR_S):
            accepted.append(number)

    run_all([(submit, number) for number in range(REPEATING_JOBS)])
    if len(accepted) < REPEATING_JOBS:
        raise site_run.CannotRunError("a repeating job was not accepted")


def run_all(calls: list[tuple]) -> None:
    """Runs functions at the same time and waits for their ends."""
    threads = [
        threading.Thread(target=function, args=arguments)
        for function, *arguments in calls
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def submit_quotes(site: site_run.Site) -> list[str]:
    """Hands in short jobs; returns those that were accepted."""
    accepted = []
    until = time.monotonic() + TRAFFIC_S
    number = 0
    while time.monotonic() < until:
        job = f"eeee{number:012x}"
        number += 1
        front = site.fronts[number % len(site.fronts)]
        status, _ = site.ask(front, "POST", f"/quote/{job}", QUOTE)
        site.note(f"consumer: POST /quote/{job} to {front}: {status}")
        if status == 200:
            accepted.append(job)
        time.sleep(PERIOD_S)
    return accepted


def ask_until_answered(
    site: site_run.Site, job: str, states: dict[str, str]
) -> None:
    """Asks for the state of a job, at one entry after the other."""
    until = time.monotonic() + ASKED_FOR_S
    turn = 0
    while time.monotonic() < until and job not in states:
        front = site.fronts[turn % len(site.fronts)]
        turn += 1
        status, body = site.ask(front, "GET", f"/quote/{job}")
        if status == 200:
            states[job] = body["state"]
        elif status == 410:
            states[job] = "unknown"
        else:
            time.sleep(0.2)


def run(site: site_run.Site) -> list[str]:
    """Plays the case; returns what was broken."""
    if site.trouble:
        submit_repeating(site)
    accepted = submit_quotes(site)
    if not accepted:
        return ["no request is served"]
    time.sleep(site_run.BOUNDS["finish_s"])
    states: dict[str, str] = {}
    run_all([(ask_until_answered, site, job, states) for job in accepted])
    running = {
        event["task"].split(".")[0]
        for event in site.all_events()
        if event["event"] == "start" and event["at"] > time.time() - 3.0
    }
    findings = []
    for job in accepted:
        state = states.get(job, "no answer")
        site.note(f"consumer: GET /quote/{job}: {state}")
        if state != "completed" and job not in running:
            findings.append(
                f"LOST: job {job} was accepted over"
                f" {site_run.BOUNDS['finish_s']} s ago: {state}, and nothing"
                f" of it began in the last 3 s, with {WORKERS} idle executors"
            )
    return findings


if __name__ == "__main__":
    sys.exit(site_run.play(HERE, run, workers=WORKERS))
