"""Tests that changes of the configuration are in force in time on every VM.

The docstring of each test names the failure that it guards against:
`python3 tests/edge/replication_test.py [NAME...]`.
"""

import asyncio
import os
import sys

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

from runner import check, run_tests  # noqa: E402
from stand_ins import Proxy  # noqa: E402
from fleet import Fleet, route, default_resources  # noqa: E402

# Default of `config_apply_ms`.
POLICY_BOUND_S = 2.0

# `drain_ms` of the fleet's settings.
DRAIN_BOUND_S = 2.0

# Time after the start until the readers of the store are elected.
ELECTION_S = 2.0

# Default of `stable_window_ms`: bounds hold for a VM that started before that.
STABLE_WINDOW_S = 3.0

# Time for which VMs keep upstreams whose entries expired in a store outage.
REMOVAL_GRACE_S = 2.0


async def check_new_route_in_force(fleet, put=None):
    """Adds a route and checks all VMs after the policy bound."""
    await fleet.configure(default_resources() + [route("new", "/new/", "desk")], put)
    await asyncio.sleep(POLICY_BOUND_S)
    for vm in fleet.vms:
        response = await vm.caller().request(f"n-{vm.name}", "/new/x")
        check(response.status == 200, (vm.name, response.status))


async def restart_behind_proxies(fleet):
    """Gives each VM a proxy of its own to the store."""
    proxies = {}
    for vm in fleet.vms:
        proxies[vm.name] = await Proxy(fleet.store.port).listen()
        vm.write_settings(store_port=proxies[vm.name].port)
        await vm.kill()
        vm.start()
    for vm in fleet.vms:
        await fleet.wait_until(vm.is_ready)
    return proxies


async def test_change_in_force_after_store_connections_go_silent():
    """VMs wait on store connections that went silent without a reset, and refuse
    requests that a newer policy allows."""
    async with Fleet(vms=4, upstreams=2, failure_domains=2) as fleet:
        await asyncio.sleep(ELECTION_S)
        fleet.store.silence_connections()
        await asyncio.sleep(0.1)
        await check_new_route_in_force(fleet)


async def test_draining_upstream_after_store_connections_go_silent():
    """VMs wait on store connections that went silent without a reset, and send
    requests to an upstream that is draining."""
    async with Fleet(vms=4, upstreams=3, failure_domains=2) as fleet:
        await asyncio.sleep(ELECTION_S)
        fleet.store.silence_connections()
        await asyncio.sleep(0.1)
        draining = fleet.upstreams[0]
        draining.state = "draining"
        await draining.register()
        await asyncio.sleep(DRAIN_BOUND_S)
        for number in range(10):
            for vm in fleet.vms:
                await vm.caller().request(f"d{number}-{vm.name}", "/read/x")
        ids = {run[1] for run in draining.runs}
        check(not ids, f"the draining upstream ran {sorted(ids)[:5]}")


async def test_change_in_force_while_store_ignores_its_readers():
    """VMs rely on heartbeats of store readers whose calls get no response, and
    refuse requests that a newer policy allows."""
    async with Fleet(vms=6, upstreams=2, failure_domains=2) as fleet:
        proxies = await restart_behind_proxies(fleet)
        await asyncio.sleep(ELECTION_S)
        readers = {
            vm.name for vm in fleet.vms if vm.events("store_duty")[-1]["reads"]
        }
        reachable = next(vm.name for vm in fleet.vms if vm.name not in readers)
        for name, proxy in proxies.items():
            proxy.mode = None if name == reachable else "silent"
        await asyncio.sleep(0.1)
        await check_new_route_in_force(fleet)
        for proxy in proxies.values():
            proxy.stop()


async def test_change_whose_record_is_deleted_while_a_read_waits():
    """A read continues after deleted records and skips the newest policy."""
    async with Fleet(vms=4, upstreams=2, failure_domains=2) as fleet:
        await asyncio.sleep(ELECTION_S)
        await check_new_route_in_force(fleet, fleet.store.put_without_history)


def reads_store(vm):
    duty = vm.events("store_duty")
    return not duty or duty[-1]["reads"]


async def send_requests(vms, prefix, count=20):
    """Sends requests to each VM; returns the statuses of the responses."""
    callers = {vm.name: vm.caller() for vm in vms}
    statuses = []
    for number in range(count):
        responses = await asyncio.gather(
            *(caller.request(f"{prefix}{number}-{name}", "/read/x")
              for name, caller in callers.items()))
        statuses += [response.status for response in responses]
    for caller in callers.values():
        caller.close()
    return statuses


async def check_out_of_use(upstream, vms):
    """Checks that the VMs send no request to the upstream."""
    before = len(upstream.runs)
    await send_requests(vms, f"late-{upstream.name}-")
    ids = {run[1] for run in upstream.runs[before:]}
    check(not ids, f"{upstream.name} ran {sorted(ids)[:5]}")


async def leave_unannounced(fleet, upstream):
    """Removes the upstream's entry; it goes on serving and sends no heartbeats."""
    fleet.upstreams.remove(upstream)
    await upstream.unregister()


async def test_removal_while_vms_restart():
    """A restarted VM withholds from its peers that an upstream left while it was
    down, and they go on sending requests to it."""
    async with Fleet(vms=8, upstreams=5, failure_domains=2) as fleet:
        await asyncio.sleep(ELECTION_S)
        readers = [vm for vm in fleet.vms if reads_store(vm)]
        killed = fleet.vms[:3] + [vm for vm in readers if vm not in fleet.vms[:3]]
        await asyncio.gather(*(vm.kill() for vm in killed))
        leaving = fleet.upstreams[0]
        await leave_unannounced(fleet, leaving)
        await fleet.configure(default_resources() + [route("new", "/new/", "desk")])
        await asyncio.sleep(0.4)
        for vm in killed:
            vm.start()
        await asyncio.sleep(DRAIN_BOUND_S)
        others = [vm for vm in fleet.vms if vm not in killed]
        await check_out_of_use(leaving, others)
        leaving.stop()


async def check_late_write_around_a_start(is_written_first):
    """Each VM reads the store for its failure domain. One restarts while an
    upstream leaves, and the store executes an earlier heartbeat late."""
    async with Fleet(vms=3, upstreams=4, failure_domains=3) as fleet:
        await asyncio.sleep(ELECTION_S)
        leaving = fleet.upstreams[0]
        earlier = leaving.sequence - 1
        restarted, *others = fleet.vms
        await restarted.kill()
        await leave_unannounced(fleet, leaving)
        await asyncio.sleep(0.8)
        if is_written_first:
            await leaving.register(sequence=earlier)
        restarted.start()
        await fleet.wait_until(restarted.is_ready)
        if not is_written_first:
            await asyncio.sleep(0.8)
            await leaving.register(sequence=earlier)
        await asyncio.sleep(STABLE_WINDOW_S)
        await check_out_of_use(leaving, [restarted])
        await check_out_of_use(leaving, others)
        # A later process under the same id is used.
        leaving.started_ms += 60_000
        leaving.sequence = 0
        fleet.upstreams.append(leaving)
        before = len(leaving.runs)
        await asyncio.sleep(DRAIN_BOUND_S)
        await send_requests([restarted], "restarted-", count=60)
        check(len(leaving.runs) > before, "the upstream that is back got no request")


async def test_late_write_after_a_start():
    """A VM that started after an upstream had left takes a heartbeat that the store
    executes late for a new upstream, and sends requests to it."""
    await check_late_write_around_a_start(is_written_first=False)


async def test_late_write_before_a_start():
    """The same if the store has executed the heartbeat before the VM reads it."""
    await check_late_write_around_a_start(is_written_first=True)


async def test_upstreams_that_expired_in_a_store_outage():
    """VMs drop live upstreams whose entries expired in an outage of the store, or
    keep one that has not registered again, at VMs that do not read the store."""
    async with Fleet(vms=6, upstreams=4, failure_domains=2) as fleet:
        await asyncio.sleep(ELECTION_S)
        fleet.heartbeats.cancel()
        fleet.store.status = 503
        await asyncio.sleep(4.0)
        for upstream in fleet.upstreams:
            await upstream.unregister()
        fleet.store.status = None
        await asyncio.sleep(1.2)
        statuses = await send_requests(fleet.vms, "lapsed-")
        check(set(statuses) == {200}, f"statuses {sorted(statuses)}")
        gone, *alive = fleet.upstreams
        for upstream in alive:
            await upstream.register()
        await asyncio.sleep(REMOVAL_GRACE_S)
        await check_out_of_use(gone, fleet.vms)


async def test_removal_long_after_a_store_failure():
    """A VM whose calls failed while it read the store, and that then left this to
    a peer, takes its next read for the end of an outage and keeps upstreams."""
    async with Fleet(vms=2, upstreams=4, failure_domains=1) as fleet:
        proxies = await restart_behind_proxies(fleet)
        await asyncio.sleep(ELECTION_S)
        reader = next(vm for vm in fleet.vms if reads_store(vm))
        successor = next(vm for vm in fleet.vms if vm is not reader)
        proxy = proxies[successor.name]
        proxy.stop()
        await reader.kill()
        await fleet.wait_until(lambda: successor.events("store_lost"))
        reader.start()
        await fleet.wait_until(reader.is_ready)
        await fleet.wait_until(lambda: not reads_store(successor))
        await proxy.listen(port=proxy.port)
        await asyncio.sleep(1.5)
        await reader.kill()
        leaving = fleet.upstreams[0]
        await leave_unannounced(fleet, leaving)
        await asyncio.sleep(DRAIN_BOUND_S)
        await check_out_of_use(leaving, [successor])
        leaving.stop()
        for each in proxies.values():
            each.stop()


if __name__ == "__main__":
    sys.exit(run_tests(globals(), sys.argv[1:]))
