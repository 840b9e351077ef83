"""One heartbeat of an endpoint is executed late. Meanwhile the endpoint's entry was removed, and
a machine was stopped and started again, as planned."""

import asyncio
import json
import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common-3"))

from harness import (  # noqa: E402
    HAS_TROUBLE, CannotRun, Deployment, account, limits, main, route, service)
from stand_ins import Upstream  # noqa: E402

VMS = 3
UPSTREAMS = 5  # beside the one that leaves
CALLERS_PER_VM = 7
PAUSE_S = 0.1  # between two requests of a caller
WORK_S = 0.16
STOP_TO_REMOVAL_S = 4.0  # a stopping process takes some 3 s
HEARTBEAT_S = 1.5
SENT_TO_REMOVAL_S = 3.3
START_AFTER_S = 0.8  # from the removal to the start of the machine
WRITE_DELAY_S = 5.9
SERVES_ON_S = 12.0  # from the removal to the exit
DRAIN_S = 2.0
STABLE_WINDOW_S = 3.0
NAME = "i-7f3a91c2"


class Load:
    """Repayments, which may not be repeated, and balances, on kept connections to all VMs."""

    def __init__(self, fleet, record):
        self.record = record
        self.is_finished = False
        self.sent = {}  # id -> (VM, time)
        self.failed = set()
        self.tasks = [
            asyncio.ensure_future(self.run_caller(vm, f"pay-{vm.number}-{number}"))
            for vm in fleet.vms for number in range(CALLERS_PER_VM)]

    async def run_caller(self, vm, name):
        caller = vm.caller()
        count = 0
        while not self.is_finished:
            count += 1
            request_id = f"{name}-{count}"
            started = time.time()
            self.sent[request_id] = (vm, started)
            if count % 3 == 0:
                response = await caller.request(request_id, "/balance/x", remaining_ms=2500)
            else:
                response = await caller.request(
                    request_id, "/pay/x", method="POST", body=b"100 units", remaining_ms=2500)
            self.record.write(f"sent {request_id} to {vm.name}; answer {response.status} "
                              f"{response.body[:60]!r}", started)
            if response.status != 200:
                self.failed.add(request_id)
            await asyncio.sleep(PAUSE_S)

    async def finish(self):
        self.is_finished = True
        await asyncio.gather(*self.tasks)


class Endpoint:
    """The endpoint that leaves. It never reports `draining`: its entry is removed."""

    def __init__(self, fleet, upstream, record):
        self.fleet = fleet
        self.upstream = upstream
        self.record = record
        self.late_entry = None

    def entry(self):
        upstream = self.upstream
        upstream.sequence += 1
        return json.dumps({
            "service": upstream.service, "address": f"127.0.0.1:{upstream.port}",
            "zone": upstream.failure_domain, "version": "v1", "slots": upstream.slots,
            "state": "ready", "warmup_left_ms": 0, "sequence": upstream.sequence,
            "born": upstream.started_ms}).encode()

    async def beat(self):
        await self.fleet.store.put("keyed.servers", NAME, self.entry())

    async def send_unanswered(self):
        """The store executes this heartbeat `WRITE_DELAY_S` later; without the disruption, now."""
        if HAS_TROUBLE:
            self.late_entry = self.entry()
            self.record.write(f"{NAME} gets no answer to heartbeat {self.upstream.sequence}")
        else:
            await self.beat()

    async def execute_late(self):
        if self.late_entry:
            await self.fleet.store.put("keyed.servers", NAME, self.late_entry)
            self.record.write(f"the store executes that heartbeat of {NAME}")


async def sleep_until(when):
    await asyncio.sleep(max(0.0, when - time.time()))


async def run_leave(fleet, endpoint, record):
    """The planned work and the late write. Returns the removal, the restart and the exit."""
    removal = time.time() + STOP_TO_REMOVAL_S
    vm = fleet.vms[0]
    vm.signal(signal.SIGTERM)
    record.write(f"SIGTERM to {vm.name}")
    await sleep_until(removal - SENT_TO_REMOVAL_S)
    sent = time.time()
    await endpoint.send_unanswered()
    for _ in range(2):
        await asyncio.sleep(HEARTBEAT_S)
        await endpoint.beat()
        record.write(f"the store confirms heartbeat {endpoint.upstream.sequence} of {NAME}")
    record.write(f"{vm.name} ended with {await vm.wait()}")
    await sleep_until(removal)
    await fleet.store.put("keyed.servers", NAME, None)
    removal = time.time()
    record.write(f"the store confirms the removal of {NAME}", removal)
    await sleep_until(removal + START_AFTER_S)
    vm.start()
    restart = time.time()
    record.write(f"{vm.name} starts", restart)
    await sleep_until(sent + WRITE_DELAY_S)
    await endpoint.execute_late()
    await sleep_until(removal + SERVES_ON_S)
    endpoint.upstream.stop()
    endpoint.upstream.drop_connections()
    record.write(f"{NAME} exits")
    return removal, restart, time.time()


async def run_case(record):
    async with Deployment(vms=VMS, upstreams=UPSTREAMS, failure_domains=VMS) as fleet:
        await fleet.configure([
            route("pay", "/pay/", "desk", kind="non_idempotent", max_attempts=1),
            route("balance", "/balance/", "desk", max_attempts=2),
            service("desk"), account("acme", ["key-a"]), limits()])
        upstream = await Upstream(fleet.store, NAME, "desk").listen()
        endpoint = Endpoint(fleet, upstream, record)
        await endpoint.beat()
        for each in fleet.upstreams + [upstream]:
            each.service_time_s = WORK_S
        await asyncio.sleep(3)
        load = Load(fleet, record)
        await asyncio.sleep(4)
        removal, restart, exited = await run_leave(fleet, endpoint, record)
        await asyncio.sleep(0.5)
        await load.finish()
        upstream.stop()

        late = []
        for at, request_id, _, _, _ in upstream.runs:
            vm, sent = load.sent[request_id]
            record.write(f"{NAME} ran {request_id} of {vm.name}, {at - removal:.3f} s after "
                         "the removal", at)
            in_touch_from = restart + STABLE_WINDOW_S if vm is fleet.vms[0] else 0.0
            if at > removal + DRAIN_S and sent > in_touch_from:
                late.append(request_id)
        lost = [request_id for at, request_id, _, _, _ in upstream.runs
                if at > exited - 2 * WORK_S and request_id in load.failed]
        if not any(at < removal for at, *_ in upstream.runs):
            raise CannotRun("the endpoint got no request before its removal")
    if late:
        return [f"DRAIN: {len(late)} requests reached {NAME} later than {DRAIN_S} s after the "
                f"store confirmed its removal; {len(lost)} were lost as it exited"]
    return []


if __name__ == "__main__":
    main(HERE, run_case)
