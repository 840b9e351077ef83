"""Tests of what upstreams state in their responses: that they leave, and for how long
they want no requests.

The docstring of each test names the failure that it guards against:
`python3 tests/edge/upstream_notice_test.py [NAME...]`.
"""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

from runner import check, run_tests  # noqa: E402
from fleet import Fleet  # noqa: E402

# Requests that were in flight or about to be sent when the notice arrived.
SETTLE_S = 0.5


async def send_load(fleet, seconds, vms=None, path="/read/x", method="GET"):
    """Sends requests through the VMs; returns the responses."""
    responses = []

    async def send(vm, number):
        caller = vm.caller()
        end = time.time() + seconds
        count = 0
        while time.time() < end:
            count += 1
            responses.append(await caller.request(
                f"{vm.name}-{number}-{time.time()}-{count}", path, method=method))
            await asyncio.sleep(0.03)

    await asyncio.gather(
        *(send(vm, number) for vm in vms or fleet.vms for number in range(2)))
    return responses


def runs_since(upstream, start):
    return sum(arrived > start for arrived, _ in upstream.arrivals)


async def test_leaving_upstream_gets_no_requests():
    """An upstream that states in its responses that it is leaving gets requests until the
    store lists it as draining."""
    async with Fleet(vms=3, upstreams=4) as fleet:
        await send_load(fleet, 1)
        leaving = fleet.upstreams[0]
        leaving.is_leaving = True
        await send_load(fleet, 1)
        start = time.time()
        responses = await send_load(fleet, 2)
        check(runs_since(leaving, start) == 0, f"{runs_since(leaving, start)} requests")
        failed = [response.status for response in responses if response.status != 200]
        check(not failed, failed)


async def test_leaving_holds_while_the_store_loses_and_restores_the_entry():
    """An upstream that is leaving gets requests again after its entry expired in the store
    and came back."""
    async with Fleet(vms=2, upstreams=3) as fleet:
        leaving = fleet.upstreams[0]
        leaving.is_leaving = True
        await send_load(fleet, 1.5)
        check(leaving.arrivals, "no request reached the upstream")
        register, leaving.register = leaving.register, lambda: asyncio.sleep(0)
        await leaving.unregister()
        await asyncio.sleep(1)
        leaving.register = register
        await asyncio.sleep(1)
        start = time.time()
        await send_load(fleet, 2)
        check(runs_since(leaving, start) == 0, f"{runs_since(leaving, start)} requests")


async def test_restarted_vm_learns_of_leaving_upstreams():
    """A VM that restarts sends requests to an upstream that its peers know to be leaving."""
    async with Fleet(vms=3, upstreams=4) as fleet:
        leaving = fleet.upstreams[0]
        leaving.is_leaving = True
        await send_load(fleet, 1.5)
        check(leaving.arrivals, "no request reached the upstream")
        vm = fleet.vms[0]
        await vm.kill()
        vm.start()
        await fleet.wait_until(vm.is_ready)
        await asyncio.sleep(1)
        start = time.time()
        await send_load(fleet, 2, vms=[vm])
        check(runs_since(leaving, start) == 0, f"{runs_since(leaving, start)} requests")


async def test_new_process_of_a_left_upstream_is_used():
    """An upstream that starts again under its ID gets no requests because its previous
    process was leaving."""
    async with Fleet(vms=2, upstreams=3) as fleet:
        upstream = fleet.upstreams[0]
        upstream.is_leaving = True
        await send_load(fleet, 1.5)
        upstream.is_leaving = False
        upstream.sequence = 0
        upstream.started_ms = int(time.time() * 1000)
        await upstream.register()
        await asyncio.sleep(1)
        start = time.time()
        await send_load(fleet, 2)
        check(runs_since(upstream, start) > 10, f"{runs_since(upstream, start)} requests")


async def test_retry_after_of_an_upstream_is_kept():
    """An upstream that rejects a request with Retry-After gets further requests of the VM
    before that time."""
    async with Fleet(vms=1, upstreams=4) as fleet:
        await send_load(fleet, 1)
        closed = fleet.upstreams[0]
        closed.retry_after = "2.5"
        closed.fault = lambda headers: "shed"
        while not closed.rejections:
            await send_load(fleet, 0.2)
        closed.fault = closed.retry_after = None
        start = closed.rejections[0][0]
        responses = await send_load(fleet, start + 2.5 - time.time())
        late = sum(start + SETTLE_S < arrived < start + 2.5 for arrived, _ in closed.arrivals)
        check(late == 0, f"{late} requests")
        failed = [response.status for response in responses if response.status != 200]
        check(not failed, failed)
        await send_load(fleet, 2.5)
        check(runs_since(closed, start + 2.5) > 5, "the upstream is not used again")


async def test_requests_are_refused_at_once_while_all_upstreams_are_closed():
    """Requests wait or are sent although every upstream wants none, or they are told to
    come back before one takes them."""
    async with Fleet(vms=1, upstreams=2) as fleet:
        for upstream in fleet.upstreams:
            upstream.retry_after = "3"
            upstream.fault = lambda headers: "shed"
        while not all(upstream.rejections for upstream in fleet.upstreams):
            await send_load(fleet, 0.2)
        end = min(upstream.rejections[0][0] for upstream in fleet.upstreams) + 3
        start = time.time()
        caller = fleet.vms[0].caller()
        while time.time() < end - 0.5:
            sent = time.time()
            response = await caller.request(f"c-{sent}", "/write/x", method="POST")
            check(response.status == 503, response.status)
            check(response.elapsed_s < 0.2, f"refused after {response.elapsed_s:.2f} s")
            retry_after_s = float(response.headers["retry-after"])
            check(retry_after_s >= min(end - time.time(), 2.0) - 0.1, retry_after_s)
            await asyncio.sleep(0.1)
        arrived = sum(runs_since(upstream, start) for upstream in fleet.upstreams)
        check(arrived == 0, f"{arrived} requests")


async def test_invalid_notices_are_ignored():
    """An invalid Retry-After or leaving notice closes an upstream or ends the process."""
    invalid = ["-1", "nan", "inf", "1e99", "soon", "Wed, 21 Oct 2026 07:28:00 GMT", "3, 4"]
    async with Fleet(vms=1, upstreams=1) as fleet:
        vm = fleet.vms[0]
        upstream = fleet.upstreams[0]
        for value in invalid:
            upstream.fault = lambda headers: "shed"
            upstream.retry_after = value
            await vm.caller().request(f"i-{value[:3]}", "/write/x", method="POST")
            upstream.fault = upstream.retry_after = None
            response = await vm.caller().request(f"ok-{value[:3]}", "/write/x", method="POST")
            check(response.status == 200, (value, response.status))
        upstream.is_leaving = "maybe"
        await vm.caller().request("l1", "/read/x")
        response = await vm.caller().request("l2", "/read/x")
        check(response.status == 200, response.status)
        rejected = [event["value"] for event in vm.events("upstream_notice_rejected")]
        check(len(rejected) >= len(invalid) + 1, rejected)


if __name__ == "__main__":
    sys.exit(run_tests(globals(), sys.argv[1:]))
