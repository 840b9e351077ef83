"""Tests of a store that returns from an older copy and hands out offsets again.

The docstring of each test names the failure that it guards against:
`python3 tests/edge/store_era_test.py [NAME...]`. With STORE_ERA_HEADER=0 in the
environment the store does not tell its era, which shows what the tests detect.
"""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

from runner import check, run_tests  # noqa: E402
from fleet import Fleet, account, default_resources, route  # noqa: E402

# `drain_ms` of the fleet's settings, and the default of `config_apply_ms`.
BOUND_S = 2.0

# Time after the start until the readers of the store are elected.
ELECTION_S = 2.0

# Time for which the store is away before it returns.
AWAY_S = 0.5

# Time until operators write the configuration again.
REWRITE_S = 1.0

# Most of the delay of a VM's registration after a return, and of its call.
REGISTRATION_S = 4.0


def resources(keys, routes=()):
    others = [r for r in default_resources() if r["metadata"].get("name") != "acme"]
    return others + [account("acme", keys)] + list(routes)


class Probe:
    """Sends requests to each ready VM all the time and records the responses."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.responses = []  # (sent, VM, kind, status)
        self.ready_at = {}  # VM name -> time
        self.task = asyncio.ensure_future(self.run())

    async def run(self):
        callers = {}
        number = 0
        while True:
            number += 1
            for vm in list(self.fleet.vms):
                if vm.name not in self.ready_at:
                    if not await vm.is_ready():
                        continue
                    self.ready_at[vm.name] = time.time()
                    callers[vm.name] = vm.caller()
                for kind, path, key in (("kept", "/read/x", "key-a"),
                                        ("withdrawn", "/read/x", "key-w"),
                                        ("new", "/new/x", "key-a")):
                    sent = time.time()
                    response = await callers[vm.name].request(
                        f"{kind}-{number}-{vm.name}", path, key=key)
                    self.responses.append((sent, vm.name, kind, response.status))
            await asyncio.sleep(0.05)

    def check(self, changed_at):
        """Checks all responses against what was in force when they were sent."""
        for sent, vm, kind, status in self.responses:
            bound = max(changed_at, self.ready_at[vm]) + BOUND_S
            where = f"{vm}, {sent - changed_at:.2f} s after the change: {status}"
            if kind == "kept":
                check(status == 200, f"a valid key at {where}")
            elif kind == "withdrawn" and sent > bound:
                check(status in (401, 403), f"a withdrawn key at {where}")
            elif kind == "new" and sent > bound:
                check(status == 200, f"a new route at {where}")


    def check_unused(self, upstream, changed_at):
        """Checks that the upstream ran no request after the bound."""
        for run_time, request_id, *_ in upstream.runs:
            vm = request_id.split("-", 2)[2]
            bound = max(changed_at, self.ready_at[vm]) + BOUND_S
            check(run_time <= bound, f"{upstream.name} ran {request_id} "
                  f"{run_time - changed_at:.2f} s after the change")


async def check_registered(fleet):
    """Checks that the store lists each VM."""
    await fleet.wait_until(
        lambda: {vm.ip for vm in fleet.vms} <= set(fleet.store.newest_records("keyed.fleet")),
        REGISTRATION_S)


def check_era_logged(fleet, era, started_before):
    """Checks that each VM that ran before the return logged it."""
    for vm in fleet.vms:
        if vm in started_before:
            eras = [event["era"] for event in vm.events("store_era")]
            check(eras and eras[-1] == era, f"{vm.name} logged the eras {eras}")
            after = vm.events("directory_era")[-1]["after"]
            check(after["era"] == era, f"{vm.name} has the directory of {after}")


async def lose_changes(copy_age_s, returns):
    """Changes everything in the seconds that the store then loses."""
    async with Fleet(vms=5, upstreams=5, failure_domains=2) as fleet:
        fleet.store.sends_era = os.environ.get("STORE_ERA_HEADER") != "0"
        await fleet.configure(resources(["key-a", "key-w"]))
        await asyncio.sleep(ELECTION_S)
        copied_at = time.time()
        await asyncio.sleep(0.02)
        probe = Probe(fleet)

        removed, draining = fleet.upstreams[0], fleet.upstreams[1]
        fleet.upstreams.remove(removed)
        await removed.unregister()
        draining.state = "draining"
        await draining.register()
        added = await fleet.add_upstream("i-new", "desk", "z2")
        await fleet.configure(resources(["key-a"], [route("new", "/new/", "desk")]))
        changed_at = time.time()
        fleet.add_vm()
        await asyncio.sleep(max(0, copied_at + copy_age_s - AWAY_S - time.time()))

        started_before = list(fleet.vms)
        for _ in range(returns):
            await fleet.store.return_from_copy(copied_at, AWAY_S)
            fleet.add_vm()
            await asyncio.sleep(REWRITE_S)
        await fleet.configure_again()
        returned_at = time.time()
        await asyncio.sleep(max(0, changed_at + BOUND_S - time.time()) + 2 * BOUND_S)

        probe.task.cancel()
        check(len(probe.ready_at) == 6 + returns, f"only {list(probe.ready_at)} were ready")
        probe.check(changed_at)
        probe.check_unused(removed, changed_at)
        probe.check_unused(draining, changed_at)
        check(any(run[0] > returned_at + BOUND_S for run in added.runs),
              f"{added.name} got no requests after the return")
        await check_registered(fleet)
        if fleet.store.sends_era:
            check_era_logged(fleet, returns, started_before)
        removed.stop()


async def test_copy_of_1_s():
    """Changes that no VM or only readers know yet are undone by a copy."""
    await lose_changes(1.0, 1)


async def test_copy_of_3_s():
    """Changes in force everywhere are undone by a copy: requests go to upstreams
    that left or drain, a withdrawn key is valid again, and a new route is gone."""
    await lose_changes(3.0, 1)


async def test_copy_of_8_s():
    """As above, and the log is far behind the offsets that VMs wait for."""
    await lose_changes(8.0, 1)


async def test_second_return():
    """State of the first return is taken for that of the second one."""
    await lose_changes(3.0, 2)


if __name__ == "__main__":
    sys.exit(run_tests(globals(), sys.argv[1:]))
