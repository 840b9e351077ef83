"""BUDGET: a request that crashes endpoints reaches them again and again."""

import asyncio
import os
import random
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common-2"))

from endpoint import Endpoint  # noqa: E402
from harness import (  # noqa: E402
    BROKEN, HELD, Fleet, has_trouble, limits, read_message, route, run_case, service,
    tenant)

ENDPOINTS = 6
BACK_AFTER_S = 2.5  # "the endpoint is back after some seconds"
POISON = "/preview/crash"
POISON_INTERVAL_S = 4.5
POISONS = 14
STABLE_S = 3.0  # stable_window_ms
COUNTED_CRASHES = 3
ALLOWED_RETRIES = 3
RATE_PER_S = 50


class CrashingEndpoint(Endpoint):
    """Crashes when it begins to run the one request, and starts again."""

    crashes = None  # shared list of (monotonic time, request id)
    lost = None  # shared list of requests that ran beside it
    store = None

    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        self.running = set()

    async def work(self, request_id, line, headers, body, writer):
        if POISON in line:
            self.crash(request_id)
            return False
        self.running.add(request_id)
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running.discard(request_id)
        await self.answer(request_id, writer, f"answer to {request_id}".encode())
        return True

    def crash(self, request_id):
        self.write(f"{self.name} crashes at {request_id}; {len(self.running)} others ran there")
        self.crashes.append((time.monotonic(), request_id))
        self.lost.extend(self.running)
        self.beats = False
        self.stop()
        asyncio.ensure_future(self.restart())

    async def restart(self):
        await asyncio.sleep(BACK_AFTER_S)
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.running = set()
        await self.listen()
        self.beats = True
        await self.beat(self.store)
        self.write(f"{self.name} is back")


async def send(fleet, request_id, path, record):
    vm = random.choice(fleet.vms)
    status = 0
    try:
        reader, writer = await asyncio.open_connection(*vm.front())
        writer.write(
            f"GET {path} HTTP/1.1\r\nHost: h.example\r\n"
            f"Briarhub-Request-Id: {request_id}\r\nBriarhub-Deadline-Remaining: 2000\r\n"
            f"Api-Key: key-a\r\n\r\n".encode())
        message = await asyncio.wait_for(read_message(reader), 3)
        status = int(message[0].split(" ")[1]) if message else 0
        writer.close()
    except (OSError, asyncio.TimeoutError):
        pass
    record.write(f"{request_id} {path} at {vm.name}: {status}")


async def case(record):
    async with Fleet(vms=3) as fleet:
        await fleet.configure([
            route("preview", "/preview/", "desk", "safe", timeout_ms=2000,
                  target_latency_ms=1000, max_attempts=1),
            service("desk"), tenant("acme", ["key-a"], 400, 400), limits()])
        crashes, lost = [], []
        for number in range(ENDPOINTS):
            endpoint = CrashingEndpoint(
                f"i-{number}", "desk", f"z{number % 2 + 1}", work_s=0.1, record=record)
            endpoint.crashes, endpoint.lost, endpoint.store = crashes, lost, fleet.store
            await fleet.add(endpoint)
        await fleet.start()
        tasks = []

        async def send_all():
            for number in range(100_000):
                tasks.append(asyncio.ensure_future(
                    send(fleet, f"r{number}", f"/preview/{number}", record)))
                await asyncio.sleep(1 / RATE_PER_S)

        sender = asyncio.ensure_future(send_all())
        await asyncio.sleep(4)
        for number in range(POISONS if has_trouble() else 0):
            await send(fleet, f"crash-{number}", POISON, record)
            await asyncio.sleep(POISON_INTERVAL_S)
        await asyncio.sleep(0 if has_trouble() else 10)
        sender.cancel()
        await asyncio.gather(*tasks)
        late = set()
        if len(crashes) >= COUNTED_CRASHES:
            since = crashes[COUNTED_CRASHES - 1][0] + STABLE_S
            late = {request_id for at, request_id in crashes if at > since}
        text = (f"{len(crashes)} crashes; {len(late)} retries reached endpoints later than "
                f"stable_window_ms after the third, allowed {ALLOWED_RETRIES}; {len(lost)} "
                f"other requests ran at the endpoints as they crashed")
        record.write(text)
        print(text)
        return BROKEN if len(late) > ALLOWED_RETRIES else HELD


run_case(FOLDER, case)
