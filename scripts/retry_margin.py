#!/usr/bin/env python3
"""Reads the request logs of all VMs of a fleet and reports how close each service
came to its retry budget: the retries in the worst window, compared with a ratio of
the requests in that window plus a fixed number.

    retry_margin.py --ratio 0.2 --extra 58 LOG...

Requests in flight in a killed process leave no log line, so that requests and
retries can both be undercounted.
"""

import argparse
import collections
import dataclasses
import json
import sys

UNSENT_ENDS = ("refused", "unreachable")


@dataclasses.dataclass
class ServiceRetryUsage:
    """Arrival times of requests and start times of retries in ms, and extremes."""

    requests: list = dataclasses.field(default_factory=list)
    retries: list = dataclasses.field(default_factory=list)
    max_runs: int = 0
    max_added_ms: int = 0
    denied: int = 0


def read_lines(paths):
    for path in paths:
        with open(path, encoding="utf-8", errors="replace") as log:
            for text in log:
                start = text.find('{"time_ms"')
                if start < 0:
                    continue
                try:
                    line = json.loads(text[start:])
                except ValueError:
                    continue
                if line.get("event") == "request" and line.get("service"):
                    yield line


def add_request(usage, line):
    now = line["time_ms"] - line.get("took_ms", 0)
    usage.requests.append(now)
    sent = runs = 0
    first_end = None
    for attempt in line["attempts"]:
        end = now + attempt.get("time_left_ms", 0)
        if attempt.get("end") not in UNSENT_ENDS:
            if sent:
                usage.retries.append(now)
                usage.max_added_ms = max(usage.max_added_ms, end - first_end)
            else:
                first_end = end
            sent += 1
            runs += not attempt.get("not_run", False)
        usage.denied += attempt.get("permit_of_peer") is False
        now += attempt.get("took_ms", 0)
    usage.max_runs = max(usage.max_runs, runs)


def count_between(times, start, end):
    return sum(start <= time_ms < end for time_ms in times)


def worst_window(usage, options):
    """Finds the window with the least remaining budget; None without retries.

    Returns (remaining, retries, allowed, start).
    """
    window = options.window * 1000
    worst = None
    for last in usage.retries:
        start = last - window + 1
        retries = count_between(usage.retries, start, start + window)
        requests = max(
            count_between(usage.requests, start - shift, start - shift + window)
            for shift in (0, window // 2, window)
        )
        allowed = options.ratio * requests + options.extra
        candidate = (allowed - retries, retries, allowed, start)
        worst = min(worst, candidate) if worst else candidate
    return worst


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--ratio", type=float, default=0.2)
    parser.add_argument("--extra", type=float, required=True)
    parser.add_argument("--window", type=int, default=10, help="seconds")
    parser.add_argument("logs", nargs="+")
    options = parser.parse_args()
    services = collections.defaultdict(ServiceRetryUsage)
    for line in read_lines(options.logs):
        add_request(services[line["service"]], line)
    if not services:
        sys.exit("the logs contain no request events")
    for name, usage in sorted(services.items()):
        worst = worst_window(usage, options)
        print(f"{name}: {len(usage.requests)} requests, {len(usage.retries)} retries, "
              f"{usage.denied} denied, at most {usage.max_runs} runs of a request, "
              f"at most {usage.max_added_ms} ms added by a retry")
        if worst:
            remaining, retries, allowed, start = worst
            print(f"    worst {options.window} s from {start}: {retries} of {allowed:.0f}, "
                  f"margin {remaining:.0f}")


if __name__ == "__main__":
    main()
