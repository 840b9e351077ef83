"""Case 3: a removal from the directory that a restarted process does not pass on.

Two zones with five machines and three endpoints each. An endpoint leaves without a
report of `draining` (planned), and a route is added (planned). With the disruption,
up to half of the machines (the seeds and those that read the store for their zones)
are killed at the same moment, just before, and start again 0.4 s later.
"""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common"))

from harness import (  # noqa: E402
    DRAIN_MS, TROUBLE, CannotRun, Fleet, Traffic, base_resources, route, run_case)

CALM_S = 5.0  # until the readers are elected; over stable_window_ms
RESTART_S = 0.4  # "restarted after a short delay"
SERVES_ON_S = 9.0  # after the removal; drain_ms and a little longer, at times many seconds
END_S = 11.0
RATE_PER_VM = 10  # requests a second


async def main(record):
    zones = ["z1", "z2", "z1"] + ["z1", "z2"] * 3 + ["z2"]
    async with Fleet(record, zones) as fleet:
        for number in range(6):
            await fleet.add_endpoint(f"i-{number}", f"z{number % 2 + 1}")
        await fleet.configure(base_resources())
        await fleet.start()
        traffic = Traffic(fleet, record, RATE_PER_VM)
        runs = [asyncio.ensure_future(traffic.run(vm)) for vm in fleet.vms]
        await asyncio.sleep(CALM_S)

        readers = [vm for vm in fleet.vms if vm.reads_store()]
        if len(readers) != 2:
            raise CannotRun(f"readers: {[vm.name for vm in readers]}")
        killed = fleet.vms[:3] + [vm for vm in readers if vm not in fleet.vms[:3]]
        calm = {vm.name for vm in fleet.vms} - {vm.name for vm in killed}
        record.write(f"seeds {[vm.name for vm in fleet.vms[:3]]}")
        record.write(f"readers {[vm.name for vm in readers]}")
        if TROUBLE:
            await asyncio.gather(*(vm.kill() for vm in killed))
        leaving = fleet.endpoints[0]
        await leaving.leave_unannounced()
        confirmed = time.time()
        record.write(f"store confirmed the removal of {leaving.name}")
        await fleet.configure(base_resources() + [route("new", "/new/", "desk")])
        if TROUBLE:
            await asyncio.sleep(RESTART_S)
            for vm in killed:
                vm.start()
        await asyncio.sleep(confirmed + SERVES_ON_S - time.time())
        leaving.stop()
        record.write(f"{leaving.name} has ended")
        await asyncio.sleep(END_S - SERVES_ON_S)
        traffic.stopped = True
        await asyncio.gather(*runs)

        for at, request_id, *_ in leaving.runs:
            record.write(f"ran {request_id} at {leaving.name}", at)
        bound = confirmed + DRAIN_MS / 1000
        late = []
        for at, request_id, *_ in leaving.runs:
            sent_at, vm = traffic.sent.get(request_id, (0, ""))
            if vm in calm and sent_at > bound:
                late.append((at, request_id))
        lost = [r for _, r in late if traffic.answers.get(r, 0) != 200]
        summary = (f"{len(late)} requests, sent over {DRAIN_MS} ms after the confirmation to machines "
                   f"without any impairment, ran at {leaving.name}; {len(lost)} of them got no success")
        record.write(summary)
        if late:
            record.write(f"last {late[-1][0] - confirmed:.1f} s after the confirmation; lost {lost}")
        print(summary)
        return not late


if __name__ == "__main__":
    run_case(main, FOLDER)
