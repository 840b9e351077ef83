"""Case 4: a removal that a reader of the store defers is never told to its peers.

One zone with four machines and ten endpoints. One endpoint leaves without a
report of `draining`, another one reports `draining` (planned, scale_in). With the
disruption, the machine that reads the store for the zone is cut off from the store
for 1.2 s just before.
"""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common"))

from harness import (  # noqa: E402
    DRAIN_MS, TROUBLE, CannotRun, Fleet, StorePath, Traffic, base_resources, run_case)

CALM_S = 5.0  # until the readers are elected; over stable_window_ms
CUT_S = 1.2
LEAVE_AFTER_CUT_S = 1.2
SECOND_LEAVES_S = 0.05
SERVES_ON_S = 9.0  # after the removal; drain_ms and a little longer, at times many seconds
END_S = 10.0
RATE_PER_VM = 35


async def main(record):
    zones = ["z1"] * 4
    async with Fleet(record, zones) as fleet:
        paths = {}
        for vm in fleet.vms:
            paths[vm.name] = await StorePath(fleet.store.port).listen()
            vm.store_port = paths[vm.name].port
        for number in range(10):
            await fleet.add_endpoint(f"i-{number}", "z1", slots=2)
        await fleet.configure(base_resources())
        await fleet.start()
        traffic = Traffic(fleet, record, RATE_PER_VM)
        runs = [asyncio.ensure_future(traffic.run(vm)) for vm in fleet.vms]
        await asyncio.sleep(CALM_S)

        readers = [vm for vm in fleet.vms if vm.reads_store()]
        if len(readers) != 1:
            raise CannotRun(f"readers: {[vm.name for vm in readers]}")
        cut = readers[0]
        calm = {vm.name for vm in fleet.vms} - {cut.name}
        record.write(f"readers {[vm.name for vm in readers]}")
        if TROUBLE:
            record.write(f"{cut.name} is cut off from the store")
            await paths[cut.name].cut()
        await asyncio.sleep(CUT_S)
        if TROUBLE:
            await paths[cut.name].heal()
            record.write(f"{cut.name} reaches the store again")
        await asyncio.sleep(LEAVE_AFTER_CUT_S)

        unannounced, announced = fleet.endpoints[0], fleet.endpoints[1]
        await unannounced.leave_unannounced()
        confirmed = time.time()
        record.write(f"store confirmed the removal of {unannounced.name}")
        await asyncio.sleep(SECOND_LEAVES_S)
        announced.state = "draining"
        await announced.register()
        record.write(f"store confirmed that {announced.name} is draining")
        await asyncio.sleep(confirmed + SERVES_ON_S - time.time())
        unannounced.stop()
        record.write(f"{unannounced.name} has ended")
        await asyncio.sleep(END_S - SERVES_ON_S)
        traffic.stopped = True
        await asyncio.gather(*runs)

        for at, request_id, *_ in unannounced.runs:
            record.write(f"ran {request_id} at {unannounced.name}", at)
        bound = confirmed + DRAIN_MS / 1000
        late = []
        for at, request_id, *_ in unannounced.runs:
            sent_at, vm = traffic.sent.get(request_id, (0, ""))
            if vm in calm and sent_at > bound:
                late.append((at, request_id))
        lost = [r for _, r in late if traffic.answers.get(r, 0) != 200]
        summary = (f"{len(late)} requests, sent over {DRAIN_MS} ms after the confirmation to machines "
                   f"without any impairment, ran at {unannounced.name}; {len(lost)} of them got no success")
        record.write(summary)
        if late:
            record.write(f"last {late[-1][0] - confirmed:.1f} s after the confirmation; lost {lost}")
        print(summary)
        return not late


if __name__ == "__main__":
    run_case(main, FOLDER)
