"""A randomized soak: real edge processes, faults from outside, promises checked
from what callers and endpoints see.

    soak.py [--seeds N] [--minutes M] [--replay SEED] [--seconds S]

Each seed draws its fleet and a series of overlapping faults: processes that are
stopped, paused, killed and restarted, a loopback proxy before the store that
delays, resets or silences, a store that refuses or forgets, endpoints that fail,
and changes of keys, rates and routes. Seeds that ever failed are in
`regression_seeds`. Exit code 1 if a promise was broken.
"""

import argparse
import asyncio
import os
import random
import signal
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

from fleet import Fleet, route, tenant, usual_resources  # noqa: E402
from stand_ins import Server  # noqa: E402

# Seeds that failed once, each with its cause.
REGRESSION_SEEDS = [
    # A request outlasted the grace after SIGTERM, and the process crashed
    # while it destroyed what the request still referred to.
    300,
    304,
]

RATE = 40  # requests/s of the account whose rate is checked
DRAIN_BOUND_S = 2.0
KEY_BOUND_S = 2.0
# A VM is held to time bounds after this time without a fault at it.
CALM_S = 3.0


class Proxy(Server):
    """A loopback proxy before the store with faults of its own."""

    def __init__(self, target_port):
        super().__init__()
        self.target_port = target_port
        self.delay_s = 0.0
        self.mode = None  # None, "silent", "one_way"

    async def serve(self, reader, writer):
        up_reader, up_writer = await asyncio.open_connection(
            "127.0.0.1", self.target_port
        )
        self.writers.add(up_writer)

        async def copy(source, sink, is_answer):
            while True:
                data = await source.read(65536)
                if not data:
                    break
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                if self.mode == "silent" or (self.mode == "one_way" and is_answer):
                    continue
                sink.write(data)
                await sink.drain()
            sink.close()

        try:
            await asyncio.gather(
                copy(reader, up_writer, False), copy(up_reader, writer, True)
            )
        finally:
            self.writers.discard(up_writer)
            up_writer.close()


class Soak:
    def __init__(self, seed, seconds):
        self.random = random.Random(seed)
        self.seconds = seconds
        self.broken = []
        self.answers = []  # (sent, path kind, id, key, machine, answer)
        self.withdrawn = {}  # key -> time
        self.draining = {}  # endpoint name -> time
        self.disturbed = {}  # machine name -> end of its last fault
        self.keys = ["key-a"]
        self.next_key = 0
        self.fleet = Fleet(
            machines=self.random.randint(3, 6),
            endpoints=self.random.randint(4, 8),
            zones=self.random.randint(1, 3),
        )
        self.proxy = None
        self.is_over = False

    def disturb(self, machine, for_s=0.0):
        end = time.time() + for_s
        self.disturbed[machine.name] = max(self.disturbed.get(machine.name, 0), end)

    def is_calm(self, machine, sent, until=None):
        end = self.disturbed.get(machine.name, 0)
        return end + CALM_S < sent or end == 0

    async def configure(self):
        resources = [r for r in usual_resources() if r["resource_kind"] != "tenants"]
        resources += [tenant("acme", list(self.keys)), tenant("zeta", ["key-z"], RATE, RATE)]
        for number in range(self.random.choice([0, 0, 30])):
            resources.append(route(f"x{number}", f"/x{number}/", "desk"))
        await self.fleet.configure(resources)

    async def use(self, number):
        """A caller that keeps its connection until the process is gone."""
        caller, machine, count = None, None, 0
        while not self.is_over:
            if caller is None or caller.writer is None:
                machine = self.random.choice(self.fleet.machines)
                caller = machine.caller()
            count += 1
            request_id = f"u{number}-{count}"
            is_write = self.random.random() < 0.6
            key = "key-z" if number % 3 == 0 else self.random.choice(self.keys)
            sent = time.time()
            options = {"method": "POST", "body": b"b" * 300} if is_write else {}
            try:
                answer = await asyncio.wait_for(
                    caller.ask(
                        request_id, "/write/x" if is_write else "/read/x",
                        key=key, **options
                    ),
                    2.5,
                )
            except asyncio.TimeoutError:
                caller.close()
                continue
            self.answers.append((sent, is_write, request_id, key, machine, answer))
            await asyncio.sleep(self.random.uniform(0, 0.03))

    async def fault_process(self):
        machine = self.random.choice(self.fleet.machines)
        kind = self.random.choice(["kill", "term", "pause", "hup", "kill", "term"])
        if kind == "hup":
            machine.signal(signal.SIGHUP)
        elif kind == "pause":
            length = self.random.uniform(0.3, 3)
            self.disturb(machine, length)
            machine.signal(signal.SIGSTOP)
            await asyncio.sleep(length)
            machine.signal(signal.SIGCONT)
            self.disturb(machine)
        else:
            self.disturb(machine, 4)
            machine.signal(signal.SIGKILL if kind == "kill" else signal.SIGTERM)
            code = await machine.wait()
            if kind == "term" and code not in (0, -signal.SIGKILL):
                self.broken.append(f"{machine.name} ended with {code} after SIGTERM")
            await asyncio.sleep(self.random.uniform(0, 1))
            if not self.is_over and machine.process.poll() is not None:
                machine.start()
            self.disturb(machine, 1)

    async def fault_store(self):
        store, proxy = self.fleet.store, self.proxy
        kind = self.random.choice(
            ["refuse", "slow", "forget", "silent", "one_way", "reset", "delay"]
        )
        length = self.random.uniform(0.5, 4)
        for machine in self.fleet.machines:
            self.disturb(machine, length + 2)
        if kind == "refuse":
            store.status = 503
        elif kind == "slow":
            store.delay_s = 0.4
        elif kind == "forget":
            await store.forget_history("keyed.op")
            await store.forget_history("keyed.servers")
        elif kind in ("silent", "one_way"):
            proxy.mode = kind
        elif kind == "reset":
            proxy.drop_connections()
        else:
            proxy.delay_s = 0.2
        await asyncio.sleep(length)
        store.status, store.delay_s = None, 0.0
        proxy.mode, proxy.delay_s = None, 0.0
        proxy.drop_connections()

    async def fault_endpoint(self):
        endpoint = self.random.choice(self.fleet.endpoints[:-1])
        kind = self.random.choice(
            ["error", "reset", "truncate", "extra", "hang", "shed", "drain", "slow",
             "forget"]
        )
        if kind == "drain":
            endpoint.state = "draining"
            await endpoint.register()
            self.draining[endpoint.name] = time.time()
            return
        share = self.random.uniform(0.1, 1)
        if kind == "slow":
            endpoint.work_s = 0.15
        elif kind == "forget":
            for each in self.fleet.endpoints:
                each.forgets_after_s = 0.05
        else:
            endpoint.fault = (
                lambda fields: kind if self.random.random() < share else None
            )
        await asyncio.sleep(self.random.uniform(1, 4))
        endpoint.fault, endpoint.work_s = None, 0.01
        if kind == "forget":
            for each in self.fleet.endpoints:
                each.forgets_after_s = None

    async def change_keys(self):
        self.next_key += 1
        gone = self.keys[0]
        self.keys = [f"key-n{self.next_key}"]
        await self.configure()
        self.withdrawn[gone] = time.time()

    async def cause_faults(self):
        running = []
        faults = [self.fault_process, self.fault_process, self.fault_store,
                  self.fault_endpoint, self.fault_endpoint, self.change_keys]
        end = time.time() + self.seconds
        while time.time() < end:
            running.append(asyncio.ensure_future(self.random.choice(faults)()))
            await asyncio.sleep(self.random.uniform(0.1, 1.2))
        await asyncio.gather(*running)

    def check(self):
        runs = {}
        for endpoint in self.fleet.endpoints:
            for run in endpoint.runs:
                runs.setdefault(run[1], []).append((run[0], endpoint, run[2], run[3]))
        self.check_answers(runs)
        self.check_runs(runs)
        self.check_rate(runs)

    def check_answers(self, runs):
        for sent, is_write, request_id, key, machine, answer in self.answers:
            done = runs.get(request_id, [])
            if answer.status == 200:
                text = f"to {request_id}".encode()
                if not answer.body.endswith(text):
                    self.broken.append(f"{request_id} got another's answer")
            elif answer.status in (408, 421, 429, 503) and is_write and done:
                if "briarhub-not-executed" not in answer.fields:
                    self.broken.append(f"{request_id} was refused and has run")
            if answer.status == 404:
                self.broken.append(f"{request_id} met no route")
            gone = self.withdrawn.get(key)
            is_late = gone is not None and sent > gone + KEY_BOUND_S
            if is_late and answer.status == 200 and self.is_calm(machine, sent):
                self.broken.append(f"{request_id} ran with a withdrawn key")

    def check_runs(self, runs):
        kinds = {item[2]: item for item in self.answers}
        for request_id, done in runs.items():
            item = kinds.get(request_id)
            if item and item[1] and len(done) > 1:
                self.broken.append(f"{request_id} ran {len(done)} times")
            for when, endpoint, fields, body in done:
                if "api-key" in fields:
                    self.broken.append(f"{request_id} showed its key")
                account = "zeta" if item and item[3] == "key-z" else "acme"
                if item and fields.get("briarhub-tenant-id") != account:
                    self.broken.append(f"{request_id} ran for another account")
                leaving = self.draining.get(endpoint.name)
                is_late = leaving is not None and when > leaving + DRAIN_BOUND_S + 0.1
                if is_late and item and self.is_calm(item[4], item[0]):
                    self.broken.append(f"{request_id} reached {endpoint.name}, which left")

    def check_rate(self, runs):
        times = sorted(
            done[0][0] for done in runs.values()
            if done[0][2].get("briarhub-tenant-id") == "zeta"
        )
        bound = (RATE * 5 + RATE) * 1.1 + 20
        first = 0
        for last, when in enumerate(times):
            while when - times[first] > 5:
                first += 1
            if last - first + 1 > bound:
                self.broken.append(f"{last - first + 1} requests of zeta within 5 s")
                return

    async def run(self):
        async with self.fleet as fleet:
            self.proxy = await Proxy(fleet.store.port).listen()
            for machine in fleet.machines:
                machine.write_settings(store_port=self.proxy.port)
                await machine.kill()
                machine.start()
            for machine in fleet.machines:
                await fleet.until(machine.is_ready, 10)
            await self.configure()
            users = [asyncio.ensure_future(self.use(n)) for n in range(9)]
            await self.cause_faults()
            await asyncio.sleep(CALM_S)
            served = len([a for a in self.answers if a[0] > time.time() - 1.5
                          and a[5].status == 200])
            if served == 0:
                self.broken.append("nothing is served after the last fault")
            self.is_over = True
            await asyncio.gather(*users)
            self.check()
            self.proxy.stop()
        return self.broken


def run_seed(seed, seconds):
    started = time.time()
    soak = Soak(seed, seconds)
    broken = asyncio.run(soak.run())
    verdict = "BROKEN" if broken else "kept"
    served = sum(item[5].status == 200 for item in soak.answers)
    print(f"seed {seed}: {verdict}, {len(soak.answers)} requests, {served} served, "
          f"{time.time() - started:.0f} s, logs in {soak.fleet.directory}", flush=True)
    for text in broken[:10]:
        print(f"  {text}", flush=True)
    return not broken


def main():
    options = argparse.ArgumentParser()
    options.add_argument("--seeds", type=int, default=3)
    options.add_argument("--minutes", type=float, default=0)
    options.add_argument("--replay", type=int)
    options.add_argument("--first", type=int, help="first seed (default: drawn)")
    options.add_argument("--seconds", type=float, default=12, help="of faults a seed")
    given = options.parse_args()
    if given.replay is not None:
        return 0 if run_seed(given.replay, given.seconds) else 1
    first = given.first if given.first is not None else random.SystemRandom().randint(1, 10**6)
    end = time.time() + given.minutes * 60
    failed, count = [], 0
    seeds = REGRESSION_SEEDS + list(range(first, first + given.seeds))
    while seeds or time.time() < end:
        seed = seeds.pop(0) if seeds else first + count
        count += 1
        if not run_seed(seed, given.seconds):
            failed.append(seed)
    print(f"{count - len(failed)} passed, {len(failed)} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
