"""Tests of a planned stop: no request is cut off, and refusals are truthful.

The docstring of each test names the failure that it guards against:
`python3 tests/edge/shutdown_test.py [NAME...]`.
"""

import asyncio
import os
import signal
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

from runner import check, run_tests  # noqa: E402
from fleet import Fleet, default_resources  # noqa: E402

# `grace_s` of the fleet's settings. Callers leave within its first half.
GRACE_S = 3.0

REFUSED = (408, 421, 429, 503)


def run_count(fleet, request_id):
    return sum(run[1] == request_id for upstream in fleet.upstreams for run in upstream.runs)


def check_truthful(fleet, request_id, response):
    """A request got a response, and one that was refused has not run."""
    check(response.status != 0, f"{request_id} got no response")
    if response.status in REFUSED:
        check(run_count(fleet, request_id) == 0, f"{request_id} was refused but has run")


async def send_during_stop(fleet, vm, path, method, service_time_s):
    """Sends a request every 50 ms until the process ends, on kept and on new connections by
    turns; returns (request ID, seconds since the signal, response) of each."""
    callers = [vm.caller() for _ in range(60)]
    for number, caller in enumerate(callers[::2]):
        warm_up = await caller.request(f"warm-{number}", path, method=method)
        check(warm_up.status == 200, warm_up.status)
    for upstream in fleet.upstreams:
        upstream.slots = 1000
        upstream.service_time_s = service_time_s
    vm.signal(signal.SIGTERM)
    start = time.time()
    results = []

    async def send(number, caller):
        await asyncio.sleep(0.05 * number)
        sent_at = time.time() - start
        request_id = f"late-{number}"
        response = await caller.request(request_id, path, method=method)
        results.append((request_id, sent_at, response))

    await asyncio.gather(*(send(number, caller) for number, caller in enumerate(callers)))
    for caller in callers:
        caller.close()
    check(await asyncio.wait_for(vm.wait(), GRACE_S + 1) == 0, "exit code")
    return results


async def check_late_requests(path, method):
    async with Fleet(vms=2, upstreams=4) as fleet:
        results = await send_during_stop(fleet, fleet.vms[0], path, method, service_time_s=1.0)
        late = [item for item in results if item[1] > GRACE_S / 2]
        for request_id, sent_at, response in results:
            ran = run_count(fleet, request_id)
            check(not (response.status == 0 and ran),
                  f"{request_id}, sent {sent_at:.2f} s after the signal, ran and got no response")
            if response.status:
                check_truthful(fleet, request_id, response)
        refused = [response for _, _, response in late if response.status == 503]
        check(refused, "no late request was refused")
        for response in refused:
            check(response.elapsed_s < 0.2, f"refused after {response.elapsed_s:.2f} s")
            check(float(response.headers["retry-after"]) > 0, response.headers)
            check(response.headers.get("connection") == "close", response.headers)


async def test_late_non_idempotent_requests_of_a_stop():
    """A request that comes late in the grace period reaches an upstream, and the process
    ends before the response."""
    await check_late_requests("/write/x", "POST")


async def test_late_idempotent_requests_of_a_stop():
    """The same for requests that may be retried."""
    await check_late_requests("/read/x", "GET")


async def test_late_requests_that_fit_are_served():
    """A stopping process refuses requests that it has time to serve."""
    async with Fleet(vms=2, upstreams=4) as fleet:
        vm = fleet.vms[0]
        vm.signal(signal.SIGTERM)
        await asyncio.sleep(GRACE_S / 2 - 0.3)
        # A process without connections ends early.
        for upstream in fleet.upstreams:
            upstream.service_time_s = 1.0
        running = asyncio.ensure_future(
            vm.caller().request("running", "/write/x", method="POST"))
        await asyncio.sleep(0.5)
        for upstream in fleet.upstreams:
            upstream.service_time_s = 0.01
        response = await vm.caller().request("late", "/read/x", remaining_ms=300)
        check(response.status == 200, response.status)
        check((await running).status == 200, "the running request")


async def test_response_when_the_grace_period_ends():
    """A request that still runs when the grace period ends gets no response."""
    async with Fleet(vms=1, upstreams=2) as fleet:
        resources = default_resources()
        for resource in resources:
            if resource["resource_kind"] == "routes":
                resource["spec"]["timeout_ms"] = 8000
        await fleet.configure(resources)
        await asyncio.sleep(1)
        vm = fleet.vms[0]
        for upstream in fleet.upstreams:
            upstream.service_time_s = 6.0
        callers = [vm.caller() for _ in range(4)]
        requests = [
            asyncio.ensure_future(caller.request(
                f"long-{number}", path, method=method, remaining_ms=8000))
            for number, (caller, path, method) in enumerate(zip(
                callers, ["/read/x", "/write/x"] * 2, ["GET", "POST"] * 2))
        ]
        await asyncio.sleep(0.3)
        vm.signal(signal.SIGTERM)
        for number, response in enumerate(await asyncio.gather(*requests)):
            check(response.status in (502, 504), f"long-{number} got {response.status}")
            check(run_count(fleet, f"long-{number}") >= 1, f"long-{number} did not run")
        check(await asyncio.wait_for(vm.wait(), 1) == 0, "exit code")


async def test_second_signal_does_not_cut_the_stop():
    """A second signal during the stop ends the process before its requests."""
    async with Fleet(vms=2, upstreams=4) as fleet:
        for upstream in fleet.upstreams:
            upstream.service_time_s = 0.6
        vm = fleet.vms[0]
        caller = vm.caller()
        request = asyncio.ensure_future(caller.request("r", "/write/x", method="POST"))
        await asyncio.sleep(0.2)
        vm.signal(signal.SIGTERM)
        await asyncio.sleep(0.1)
        vm.signal(signal.SIGTERM)
        vm.signal(signal.SIGINT)
        response = await request
        check(response.status == 200, response.status)


if __name__ == "__main__":
    sys.exit(run_tests(globals(), sys.argv[1:]))
