"""Tests that no request reaches the upstreams of a failure domain that operators
evacuate, at every VM and until they take the order back.

The docstring of each test names the failure that it guards against:
`python3 tests/edge/evacuation_test.py [NAME...]`.
"""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

from runner import check, run_tests  # noqa: E402
from stand_ins import Proxy  # noqa: E402
from fleet import Fleet  # noqa: E402

# Time after the acknowledgement until an order is in force: that of a change of the
# configuration. The bound for orders, `evacuation_ms`, is 5 s.
ORDER_BOUND_S = 2.0

# Time after the start until the readers of the store are elected.
ELECTION_S = 2.0


async def send_requests(vms, prefix, seconds):
    """Sends requests of both kinds through the VMs; returns the responses."""
    responses = []

    async def send(vm, path, method):
        caller = vm.caller()
        end = time.time() + seconds
        while time.time() < end:
            responses.append(await caller.request(
                f"{prefix}-{vm.name}-{method}-{len(responses)}", path, method=method))
            await asyncio.sleep(0.02)
        caller.close()

    await asyncio.gather(
        *(send(vm, path, method) for vm in vms
          for path, method in (("/read/x", "GET"), ("/write/x", "POST"))))
    return responses


def arrivals_since(fleet, failure_domain, start):
    return sum(
        arrived > start
        for upstream in fleet.upstreams if upstream.failure_domain == failure_domain
        for arrived, _ in upstream.arrivals)


async def check_evacuated(fleet, failure_domain, prefix, seconds=1.5, vms=None):
    """Checks that requests are served and that none reaches the failure domain."""
    start = time.time()
    responses = await send_requests(vms or fleet.vms, prefix, seconds)
    count = arrivals_since(fleet, failure_domain, start)
    check(count == 0, f"{prefix}: {count} of {len(responses)} requests")
    failed = [response.status for response in responses if response.status != 200]
    check(not failed, f"{prefix}: {failed[:5]}")


async def check_used(fleet, failure_domain, prefix):
    start = time.time()
    await send_requests(fleet.vms, prefix, 1.5)
    count = arrivals_since(fleet, failure_domain, start)
    check(count > 0, f"{prefix}: no request reaches {failure_domain}")


async def restart_behind_proxy(fleet, vm):
    proxy = await Proxy(fleet.store.port).listen()
    await vm.kill()
    vm.write_settings(store_port=proxy.port)
    vm.start()
    await fleet.wait_until(vm.is_ready)
    return proxy


async def test_order_in_force_at_all_vms_until_it_is_taken_back():
    """VMs ignore orders, or those that do not read the store learn of them too late."""
    async with Fleet(vms=4, upstreams=6, failure_domains=2) as fleet:
        await asyncio.sleep(ELECTION_S)
        await check_used(fleet, "z1", "before")
        await fleet.evacuate("z1")
        await asyncio.sleep(ORDER_BOUND_S)
        await check_evacuated(fleet, "z1", "ordered")
        for vm in fleet.vms:
            changes = [event["evacuated"] for event in vm.events("evacuation")]
            check(changes == [True], (vm.name, changes))
        await fleet.end_evacuation("z1")
        await asyncio.sleep(ORDER_BOUND_S)
        await check_used(fleet, "z1", "after")


async def test_order_at_a_vm_that_the_store_turns_away():
    """A VM that the store does not answer sends requests to an evacuated domain, or goes
    on without it after the order is taken back."""
    async with Fleet(vms=4, upstreams=6, failure_domains=2) as fleet:
        turned_away = fleet.vms[1]
        proxy = await restart_behind_proxy(fleet, turned_away)
        await asyncio.sleep(ELECTION_S)
        proxy.mode = "silent"
        await fleet.evacuate("z2")
        await asyncio.sleep(ORDER_BOUND_S)
        await check_evacuated(fleet, "z2", "ordered", vms=[turned_away])
        await fleet.end_evacuation("z2")
        await asyncio.sleep(ORDER_BOUND_S)
        await fleet.wait_until(
            lambda: turned_away.events("evacuation")[-1]["evacuated"] is False)
        await check_used(fleet, "z2", "after")
        proxy.stop()


async def test_order_at_a_vm_that_restarts():
    """A VM that starts sends requests to an evacuated domain before it knows the order,
    with and without the store."""
    async with Fleet(vms=3, upstreams=6, failure_domains=2) as fleet:
        await asyncio.sleep(ELECTION_S)
        await fleet.evacuate("z1")
        await asyncio.sleep(ORDER_BOUND_S)
        restarted = fleet.vms[2]
        for status in (None, 503):
            fleet.store.status = status
            await restarted.kill()
            restarted.start()
            await fleet.wait_until(restarted.is_ready)
            await check_evacuated(fleet, "z1", f"restarted-{status}", vms=[restarted])


async def test_order_outlives_history_and_an_outage_of_the_store():
    """VMs lose an order when the history of the topic is deleted, when a configuration
    follows it, or miss one that is taken back meanwhile."""
    async with Fleet(vms=3, upstreams=6, failure_domains=2) as fleet:
        await asyncio.sleep(ELECTION_S)
        await fleet.evacuate("z1")
        await asyncio.sleep(ORDER_BOUND_S)
        await fleet.store.compact_topic("keyed.op")
        await fleet.store.put_without_history("keyed.op", "evacuate/unknown", b"{}")
        await asyncio.sleep(ORDER_BOUND_S)
        await check_evacuated(fleet, "z1", "compacted")
        fleet.store.status = 503
        await check_evacuated(fleet, "z1", "outage", seconds=3.0)
        await fleet.end_evacuation("z1")
        await fleet.evacuate("z2")
        await fleet.store.compact_topic("keyed.op")
        fleet.store.status = None
        await asyncio.sleep(ORDER_BOUND_S)
        await check_evacuated(fleet, "z2", "regained")
        await check_used(fleet, "z1", "taken-back")


async def test_requests_are_refused_while_all_domains_are_evacuated():
    """Requests wait, fail or reach upstreams while every failure domain is evacuated."""
    async with Fleet(vms=2, upstreams=4, failure_domains=2) as fleet:
        await fleet.evacuate("z1")
        await fleet.evacuate("z2")
        await asyncio.sleep(ORDER_BOUND_S)
        start = time.time()
        responses = await send_requests(fleet.vms, "refused", 1.0)
        count = sum(arrivals_since(fleet, domain, start) for domain in ("z1", "z2"))
        check(count == 0, f"{count} requests")
        for response in responses:
            check(response.status == 503, response.status)
            check(response.elapsed_s < 0.2, f"refused after {response.elapsed_s:.2f} s")
            check(float(response.headers["retry-after"]) > 0, response.headers)
        outcomes = {event["outcome"] for event in fleet.vms[0].events("request")}
        check(outcomes == {"upstreams_evacuated"}, outcomes)


if __name__ == "__main__":
    sys.exit(run_tests(globals(), sys.argv[1:]))
