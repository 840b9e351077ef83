"""Tests that cold upstreams get no more requests than their service states, from all
VMs together.

The docstring of each test names the failure that it guards against:
`python3 tests/edge/warm_up_test.py [NAME...]`.
"""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

from runner import check, run_tests  # noqa: E402
from fleet import Fleet, account, limits, route, service  # noqa: E402

RATE_PER_S = 2.0
SLOW_START_S = 5.0

# Requests in any second, by the default bounds `warmup_overshoot` and `warmup_slack`.
BOUND = RATE_PER_S * 1.5 + 8

# Time after the start until VMs know the fleet.
SETTLE_S = 2.5

# Time until VMs know of an announcement.
KNOWN_S = 2.0


def resources():
    return [
        route("read", "/read/", "desk"),
        route("write", "/write/", "desk", kind="non_idempotent"),
        service("desk", slow_start_s=SLOW_START_S, warmup_per_s=RATE_PER_S),
        account("acme", ["key-a"], rate=5000, burst=5000),
        limits(),
    ]


async def send_load(fleet, seconds, callers_per_vm=8):
    """Sends requests of both kinds through all VMs; returns the responses."""
    responses = []
    end = time.time() + seconds

    async def send(vm, number):
        caller = vm.caller()
        path, method = (("/read/x", "GET"), ("/write/x", "POST"))[number % 2]
        while time.time() < end:
            responses.append(await caller.request(
                f"{vm.name}-{number}-{len(responses)}", path, method=method))
            await asyncio.sleep(0.01)
        caller.close()

    await asyncio.gather(
        *(send(vm, number) for vm in fleet.vms for number in range(callers_per_vm)))
    return responses


def most_in_a_second(upstream, start, end):
    times = sorted(t for t, _ in upstream.arrivals if start <= t < end)
    return max((sum(first <= t < first + 1 for t in times) for first in times), default=0)


async def check_warm_up(fleet, cold, start):
    """Checks the requests to upstreams that are cold from `start` on under load."""
    end = min(upstream.cold_until for upstream in cold)
    await send_load(fleet, end - time.time())
    counts = {u.name: most_in_a_second(u, start, end) for u in cold}
    check(max(counts.values()) <= BOUND, f"most in a second: {counts}")
    total = sum(start <= t < end for u in cold for t, _ in u.arrivals)
    used = total / len(cold) / (end - start)
    check(used >= RATE_PER_S / 3, f"{used:.2f} requests/s at a cold upstream")


async def test_domain_that_returns_cold():
    """Upstreams of a failure domain that return at once are idle, and every VM sends
    its requests to them."""
    async with Fleet(vms=4, upstreams=8, failure_domains=2) as fleet:
        await fleet.configure(resources())
        returning = [u for u in fleet.upstreams if u.failure_domain == "z1"]
        for upstream in returning:
            upstream.server.close()
            upstream.drop_connections()
            await upstream.unregister()
        await asyncio.sleep(SETTLE_S)
        start = time.time()
        for upstream in returning:
            await upstream.listen(port=upstream.port)
            upstream.started_ms = int(start * 1000)
            upstream.cold_until = start + SLOW_START_S
            await upstream.register()
        await check_warm_up(fleet, returning, start)
        start = time.time() + KNOWN_S
        await send_load(fleet, KNOWN_S + 1)
        used = sum(t > start for u in returning for t, _ in u.arrivals)
        check(used > 4 * BOUND, f"{used} requests to warm upstreams")


async def test_known_upstream_that_turns_cold():
    """VMs read the warm-up time only from the first announcement of an upstream."""
    async with Fleet(vms=4, upstreams=6, failure_domains=2) as fleet:
        await fleet.configure(resources())
        await asyncio.sleep(SETTLE_S)
        await send_load(fleet, 1)
        cold = fleet.upstreams[0]
        cold.cold_until = time.time() + KNOWN_S + SLOW_START_S
        await cold.register()
        await asyncio.sleep(KNOWN_S)
        await check_warm_up(fleet, [cold], time.time())


async def test_domain_whose_evacuation_ends():
    """Upstreams of a failure domain that was evacuated are idle when that ends, and
    every VM sends its requests to them."""
    async with Fleet(vms=4, upstreams=8, failure_domains=2) as fleet:
        await fleet.configure(resources())
        await fleet.evacuate("z1")
        await asyncio.sleep(SETTLE_S)
        await fleet.end_evacuation("z1")
        start = time.time()
        returning = [u for u in fleet.upstreams if u.failure_domain == "z1"]
        for upstream in returning:
            upstream.cold_until = start + SLOW_START_S
            upstream.register = lambda: asyncio.sleep(0)
        await check_warm_up(fleet, returning, start)


async def test_requests_beyond_the_warm_up_rate_are_refused():
    """Requests fail or wait while all upstreams of the service are cold."""
    async with Fleet(vms=2, upstreams=2, failure_domains=2) as fleet:
        await fleet.configure(resources())
        await asyncio.sleep(SETTLE_S)
        for upstream in fleet.upstreams:
            upstream.cold_until = time.time() + KNOWN_S + SLOW_START_S
            await upstream.register()
        await asyncio.sleep(KNOWN_S)
        responses = await send_load(fleet, 3)
        statuses = {response.status for response in responses}
        check(statuses == {200, 503}, statuses)
        for response in responses:
            if response.status == 503:
                check(float(response.headers["retry-after"]) > 0, response.headers)
                check(response.elapsed_s < 0.3, f"after {response.elapsed_s:.2f} s")
        outcomes = {event["outcome"] for event in fleet.vms[0].events("request")}
        check(outcomes == {"served", "upstreams_cold"}, outcomes)
        _, text = await fleet.vms[0].get(9464, "/metrics")
        check(b'briarhub_upstreams_passed_over_total{reason="cold"}' in text, "counter")


if __name__ == "__main__":
    sys.exit(run_tests(globals(), sys.argv[1:]))
