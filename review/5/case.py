"""Case 5: a failure that a machine saw long ago makes it defer a removal for too long.

One zone with two machines and six endpoints. The machine that reads the store is
stopped with SIGTERM and started again, twice, 8 s apart (planned, roll_term). With
the disruption, the machine that takes over is cut off from the store during the
first restart. During the second one an endpoint leaves without a report of
`draining` (planned).
"""

import asyncio
import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common"))

from harness import (  # noqa: E402
    DRAIN_MS, TROUBLE, CannotRun, Fleet, StorePath, Traffic, base_resources, run_case)

CALM_S = 5.0  # until the reader is elected; over stable_window_ms
BETWEEN_S = 8.0  # far over stable_window_ms
DOWN_S = 1.2  # from the end of a process to its next start
LEAVES_AFTER_END_S = 0.02
SERVES_ON_S = 9.0  # after the removal; drain_ms and a little longer, at times many seconds
END_S = 10.0
RATE_PER_VM = 60


async def stop(fleet, vm, traffic):
    """A planned stop. The balancer sends it no more clients."""
    traffic.paused.add(vm.name)
    vm.signal(signal.SIGTERM)
    while vm.process.poll() is None:
        await asyncio.sleep(0.005)
    fleet.record.write(f"process {vm.name} has ended with code {vm.process.returncode}")


async def start(vm, traffic):
    vm.start()
    while not await vm.is_ready():
        await asyncio.sleep(0.02)
    traffic.paused.discard(vm.name)


async def main(record):
    async with Fleet(record, ["z1"] * 2) as fleet:
        paths = {}
        for vm in fleet.vms:
            paths[vm.name] = await StorePath(fleet.store.port).listen()
            vm.store_port = paths[vm.name].port
        for number in range(6):
            await fleet.add_endpoint(f"i-{number}", "z1")
        await fleet.configure(base_resources())
        await fleet.start()
        traffic = Traffic(fleet, record, RATE_PER_VM, reads=True)
        runs = [asyncio.ensure_future(traffic.run(vm)) for vm in fleet.vms]
        await asyncio.sleep(CALM_S)

        readers = [vm for vm in fleet.vms if vm.reads_store()]
        if len(readers) != 1:
            raise CannotRun(f"readers: {[vm.name for vm in readers]}")
        reader = readers[0]
        others = [vm for vm in fleet.vms if vm is not reader]
        record.write(f"reader {reader.name}")

        await stop(fleet, reader, traffic)
        ended = time.time()
        successor = None
        while successor is None:
            if time.time() > ended + DOWN_S:
                raise CannotRun("no machine has taken over")
            await asyncio.sleep(0.02)
            successor = next((vm for vm in others if vm.reads_store()), None)
        if TROUBLE:
            record.write(f"{successor.name} is cut off from the store")
            await paths[successor.name].cut()
        await asyncio.sleep(ended + DOWN_S - time.time())
        await start(reader, traffic)
        await asyncio.sleep(1.5)
        if TROUBLE:
            await paths[successor.name].heal()
            record.write(f"{successor.name} can reach the store again")
        await asyncio.sleep(BETWEEN_S)

        await stop(fleet, reader, traffic)
        await asyncio.sleep(LEAVES_AFTER_END_S)
        leaving = fleet.endpoints[0]
        await leaving.leave_unannounced()
        confirmed = time.time()
        record.write(f"store confirmed the removal of {leaving.name}")
        await asyncio.sleep(DOWN_S - LEAVES_AFTER_END_S)
        await start(reader, traffic)
        await asyncio.sleep(confirmed + SERVES_ON_S - time.time())
        leaving.stop()
        record.write(f"{leaving.name} has ended")
        await asyncio.sleep(END_S - SERVES_ON_S)
        traffic.stopped = True
        await asyncio.gather(*runs)

        for at, request_id, *_ in leaving.runs:
            record.write(f"ran {request_id} at {leaving.name}", at)
        bound = confirmed + DRAIN_MS / 1000
        names = {vm.name for vm in others}
        late = []
        for at, request_id, *_ in leaving.runs:
            sent_at, vm = traffic.sent.get(request_id, (0, ""))
            if vm in names and sent_at > bound:
                late.append((at, request_id))
        lost = [r for _, r in late if traffic.answers.get(r, 0) != 200]
        summary = (f"{len(late)} requests, sent over {DRAIN_MS} ms after the confirmation to machines "
                   f"without any impairment for {BETWEEN_S:.0f} s, ran at {leaving.name}; "
                   f"{len(lost)} of them got no success")
        record.write(summary)
        if late:
            record.write(f"last {late[-1][0] - confirmed:.1f} s after the confirmation; lost {lost}")
        print(summary)
        return not late


if __name__ == "__main__":
    run_case(main, FOLDER)
