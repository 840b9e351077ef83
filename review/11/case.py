"""An endpoint joins whose id and start time have the same 32-bit tag as those of an endpoint
of another service."""

import asyncio
import os
import random
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common-3"))

from harness import (  # noqa: E402
    HAS_TROUBLE, CannotRun, Deployment, account, limits, main, route, service)
from stand_ins import Upstream  # noqa: E402

LEDGER_UPSTREAMS = 6
ARCHIVE_UPSTREAMS = 4
REQUESTS_PER_S = 40
WORK_S = 0.16
JOINS_AFTER_MS = 12_000
SETTLE_S = 3.0  # longer than `config_apply_ms` and `drain_ms`
LOAD_S = 10.0
MAX_CANDIDATES = 20_000_000


def short_hash(text, value=2166136261):
    """32 bits of FNV-1a; `value` is the hash of what precedes the text."""
    for byte in text.encode():
        value = ((value ^ byte) * 16777619) & 0xFFFFFFFF
    return value


def tag_of(upstream_id, born):
    return short_hash(f"{upstream_id}@{born}")


def random_id(generator):
    return f"i-{generator.getrandbits(40):010x}"


def colliding_ids(first_born, second_born, count=250_000):
    """Two ids in ascending order whose tags are equal, for two start times. The last one in
    this order decides where requests to the tag are sent."""
    generator = random.Random(2026)
    first = {}
    for _ in range(count):
        upstream_id = random_id(generator)
        first[tag_of(upstream_id, first_born)] = upstream_id
    for _ in range(MAX_CANDIDATES):
        upstream_id = random_id(generator)
        match = first.get(tag_of(upstream_id, second_born))
        if match and match < upstream_id:
            return match, upstream_id
    raise CannotRun("no two ids with one tag")


async def add_upstream(fleet, upstream_id, service_name, born):
    upstream = Upstream(fleet.store, upstream_id, service_name)
    upstream.started_ms = born
    upstream.slots = 2
    upstream.service_time_s = WORK_S
    await upstream.listen()
    await upstream.register()
    fleet.upstreams.append(upstream)
    return upstream


async def send_load(fleet, record):
    """Sends repayments, which only `ledger` may run; returns their ids."""
    sent = []

    async def send(vm, number):
        request_id = f"pay-{number}"
        sent.append(request_id)
        started = time.time()
        response = await vm.caller().request(
            request_id, "/pay/x", method="POST", body=b"100 units", remaining_ms=2500)
        record.write(f"sent {request_id} to {vm.name}; answer {response.status} "
                     f"{response.body[:60]!r}", started)

    tasks = []
    start = time.time()
    for number in range(int(LOAD_S * REQUESTS_PER_S)):
        tasks.append(asyncio.ensure_future(send(fleet.vms[number % len(fleet.vms)], number)))
        await asyncio.sleep(max(0.0, start + (number + 1) / REQUESTS_PER_S - time.time()))
    await asyncio.gather(*tasks)
    return sent


async def run_case(record):
    born = int(time.time() * 1000)
    joining_born = born + JOINS_AFTER_MS
    ledger_id, archive_id = colliding_ids(born, joining_born)
    if not HAS_TROUBLE:
        archive_id = random_id(random.Random(1))
    async with Deployment(vms=3, upstreams=0) as fleet:
        await fleet.configure([
            route("pay", "/pay/", "ledger", kind="non_idempotent", max_attempts=1),
            route("archive", "/archive/", "archive", kind="download"),
            service("ledger"), service("archive"), account("acme", ["key-a"]), limits()])
        generator = random.Random(3)
        await add_upstream(fleet, ledger_id, "ledger", born)
        for _ in range(LEDGER_UPSTREAMS - 1):
            await add_upstream(fleet, random_id(generator), "ledger", born)
        for _ in range(ARCHIVE_UPSTREAMS):
            await add_upstream(fleet, random_id(generator), "archive", born)
        await asyncio.sleep(max(0.0, joining_born / 1000 - time.time()))
        await add_upstream(fleet, archive_id, "archive", joining_born)
        for upstream in fleet.upstreams:
            record.write(f"{upstream.name} of {upstream.service}, born {upstream.started_ms}, "
                         f"tag {tag_of(upstream.name, upstream.started_ms):08x}")
        await asyncio.sleep(SETTLE_S)
        sent = set(await send_load(fleet, record))
        misrouted = []
        for upstream in fleet.upstreams:
            for at, request_id, _, body, line in upstream.runs:
                record.write(f"{upstream.name} of {upstream.service} ran {request_id}: "
                             f"{line} {body!r}", at)
                if request_id in sent and upstream.service != "ledger":
                    misrouted.append(request_id)
        if not any(upstream.runs for upstream in fleet.upstreams):
            raise CannotRun("no request ran")
    if misrouted:
        return [f"ROUTE: {len(misrouted)} of {len(sent)} requests that may not be repeated, "
                "and that only the service `ledger` may run, were run by `archive`"]
    return []


if __name__ == "__main__":
    main(HERE, run_case)
