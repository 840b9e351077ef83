"""DRAIN: an endpoint that has left is in use again after a late write of its own."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common-2"))

from endpoint import Endpoint  # noqa: E402
from harness import (  # noqa: E402
    BROKEN, HELD, Fleet, has_trouble, limits, read_message, route, run_case, service,
    tenant)

DRAIN_S = 2.0  # drain_ms
STABLE_S = 3.0  # stable_window_ms
# From the write without an answer: when the entry is removed, when the write is
# executed (platform_lost, "done 1 to 6 s later") and when the endpoint exits.
REMOVED_S = 3.3
EXECUTED_S = 5.9
EXIT_S = 10.0
SEND_INTERVAL_S = 0.016
ENDPOINTS = 4


async def send(fleet, number, record, results):
    vm = fleet.vms[number % len(fleet.vms)]
    request_id = f"r{number}"
    sent = time.monotonic()
    status = 0
    try:
        reader, writer = await asyncio.open_connection(*vm.front())
        writer.write(
            f"POST /order/{number} HTTP/1.1\r\nHost: h.example\r\n"
            f"Briarhub-Request-Id: {request_id}\r\nBriarhub-Deadline-Remaining: 2000\r\n"
            f"Api-Key: key-a\r\nContent-Length: 5\r\n\r\nplate".encode())
        message = await asyncio.wait_for(read_message(reader), 3)
        status = int(message[0].split(" ")[1]) if message else 0
        writer.close()
    except (OSError, asyncio.TimeoutError):
        pass
    record.write(f"{request_id} sent to {vm.name} {time.monotonic() - sent:.3f} s ago "
                 f"has {status}")
    results[request_id] = status


async def case(record):
    async with Fleet(vms=3) as fleet:
        await fleet.configure([
            route("order", "/order/", "desk", "non_idempotent", timeout_ms=2000),
            service("desk"), tenant("acme", ["key-a"], 400, 400), limits()])
        for number in range(ENDPOINTS):
            await fleet.add(Endpoint(f"i-{number}", "desk", f"z{number % 2 + 1}", slots=3,
                                     work_s=0.15, record=record))
        await fleet.start()
        leaving = fleet.endpoints[0]
        results = {}
        tasks = []

        async def send_all():
            for number in range(10_000):
                tasks.append(asyncio.ensure_future(send(fleet, number, record, results)))
                await asyncio.sleep(SEND_INTERVAL_S)

        sender = asyncio.ensure_future(send_all())
        start = time.monotonic()

        async def until(seconds):
            await asyncio.sleep(max(0.0, start + seconds - time.monotonic()))

        # A heartbeat of i-0, between two others, gets no answer.
        late = leaving.announcement()
        record.write(f"i-0 sends its heartbeat with sequence {leaving.sequence}"
                     + (", gets no answer" if has_trouble() else ", confirmed"))
        if not has_trouble():
            await fleet.store.put("keyed.servers", leaving.name, late)
        await until(REMOVED_S)
        leaving.beats = False
        last = leaving.sequence
        await fleet.store.put("keyed.servers", leaving.name, None)
        removed = time.monotonic()
        record.write(f"i-0 leaves: its entry is removed (last sequence {last}); it serves on")
        await until(EXECUTED_S)
        if has_trouble():
            await fleet.store.put("keyed.servers", leaving.name, late)
            record.write("the store executes the heartbeat that had no answer")
        await until(EXIT_S)
        running = [run[1] for run in leaving.runs if time.monotonic() - run[0] < leaving.work_s]
        record.write(f"i-0 exits; it runs {running}")
        leaving.stop()
        await until(EXIT_S + 2)
        sender.cancel()
        await asyncio.gather(*tasks)
        arrivals = [run for run in leaving.arrivals if run[0] > removed + DRAIN_S]
        lost = [name for name in running if results.get(name) != 200]
        text = (f"{len(arrivals)} requests reached i-0 later than {DRAIN_S} s after the store "
                f"confirmed its removal; {len(lost)} of them were lost as it exited: {lost}")
        record.write(text)
        print(text)
        return BROKEN if arrivals else HELD


run_case(FOLDER, case)
