"""Randomized soak test: real edge processes under injected faults. The checks use
only what callers and upstreams observe.

    soak.py [--seeds N] [--minutes M] [--replay SEED] [--seconds S] [--returns]

Each seed determines a fleet and a series of overlapping faults: processes are
stopped, paused, killed and restarted; a loopback proxy before the store delays
or drops data or resets connections; the store rejects calls or deletes its
history; upstreams fail; keys, rates and routes change. With --returns the store also
returns from older copies, from a generator of its own, so that the other faults of a
seed remain. Seeds that failed once are in `REGRESSION_SEEDS`. The exit code is 1 if a check found a violation.
"""

import argparse
import asyncio
import os
import random
import signal
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

from fleet import Fleet, route, account, default_resources  # noqa: E402
from stand_ins import Proxy  # noqa: E402

# Seeds that failed once, each with its cause.
REGRESSION_SEEDS = [
    # A request was still in flight when the grace period after SIGTERM ended,
    # and the process crashed as it destroyed objects that the request used.
    300,
    304,
]

RATE = 40  # requests/s of the account whose rate is checked
DRAIN_BOUND_S = 2.0
KEY_BOUND_S = 2.0
# Time bounds apply to a VM only after this time without a fault that affects it.
RECOVERY_S = 3.0


class Soak:
    def __init__(self, seed, seconds, has_returns=False):
        self.random = random.Random(seed)
        self.return_random = random.Random(f"returns {seed}")
        self.has_returns = has_returns
        self.returns = []  # (copied at, back at)
        self.seconds = seconds
        self.violations = []
        self.responses = []  # (sent, is_non_idempotent, id, key, vm, response)
        self.withdrawal_times = {}  # key -> time of its withdrawal
        self.drain_start_times = {}  # upstream name -> time
        self.fault_end_times = {}  # VM name -> end of its last fault
        self.process_faults = {}  # VM name -> [(start, end)] of kills, stops and pauses
        self.keys = ["key-a"]
        self.next_key = 0
        self.fleet = Fleet(
            vms=self.random.randint(3, 6),
            upstreams=self.random.randint(4, 8),
            failure_domains=self.random.randint(1, 3),
        )
        self.proxy = None
        self.is_finished = False

    def mark_faulty(self, vm, for_s=0.0):
        end = time.time() + for_s
        self.fault_end_times[vm.name] = max(self.fault_end_times.get(vm.name, 0), end)

    def has_recovered(self, vm, sent, until=None):
        end = self.fault_end_times.get(vm.name, 0)
        return end + RECOVERY_S < sent or end == 0

    def had_process_fault(self, vm, start, end):
        faults = self.process_faults.get(vm.name, [])
        return any(first < end and last > start for first, last in faults)

    async def configure(self):
        resources = [r for r in default_resources() if r["resource_kind"] != "tenants"]
        resources += [account("acme", list(self.keys)), account("zeta", ["key-z"], RATE, RATE)]
        for number in range(self.random.choice([0, 0, 30])):
            resources.append(route(f"x{number}", f"/x{number}/", "desk"))
        await self.fleet.configure(resources)

    async def run_caller(self, number):
        """A caller that keeps its connection until it is closed, then picks a VM again."""
        caller, vm, count = None, None, 0
        while not self.is_finished:
            if caller is None or caller.writer is None:
                vm = self.random.choice(self.fleet.vms)
                caller = vm.caller()
            count += 1
            request_id = f"u{number}-{count}"
            is_non_idempotent = self.random.random() < 0.6
            key = "key-z" if number % 3 == 0 else self.random.choice(self.keys)
            sent = time.time()
            options = {"method": "POST", "body": b"b" * 300} if is_non_idempotent else {}
            try:
                response = await asyncio.wait_for(
                    caller.request(
                        request_id, "/write/x" if is_non_idempotent else "/read/x",
                        key=key, **options
                    ),
                    2.5,
                )
            except asyncio.TimeoutError:
                caller.close()
                continue
            self.responses.append((sent, is_non_idempotent, request_id, key, vm, response))
            await asyncio.sleep(self.random.uniform(0, 0.03))

    async def inject_process_fault(self):
        vm = self.random.choice(self.fleet.vms)
        kind = self.random.choice(["kill", "term", "pause", "hup", "kill", "term"])
        if kind == "hup":
            vm.signal(signal.SIGHUP)
            return
        started = time.time()
        if kind == "pause":
            duration_s = self.random.uniform(0.3, 3)
            self.mark_faulty(vm, duration_s)
            vm.signal(signal.SIGSTOP)
            await asyncio.sleep(duration_s)
            vm.signal(signal.SIGCONT)
            self.mark_faulty(vm)
        else:
            self.mark_faulty(vm, 4)
            vm.signal(signal.SIGKILL if kind == "kill" else signal.SIGTERM)
            code = await vm.wait()
            if kind == "term" and code not in (0, -signal.SIGKILL):
                self.violations.append(f"{vm.name} exited with code {code} after SIGTERM")
            await asyncio.sleep(self.random.uniform(0, 1))
            if not self.is_finished and vm.process.poll() is not None:
                vm.start()
            self.mark_faulty(vm, 1)
        self.process_faults.setdefault(vm.name, []).append((started, time.time()))

    async def inject_store_fault(self):
        store, proxy = self.fleet.store, self.proxy
        kind = self.random.choice(
            ["refuse", "slow", "forget", "silent", "one_way", "reset", "delay"]
        )
        duration_s = self.random.uniform(0.5, 4)
        for vm in self.fleet.vms:
            self.mark_faulty(vm, duration_s + 2)
        if kind == "refuse":
            store.status = 503
        elif kind == "slow":
            store.delay_s = 0.4
        elif kind == "forget":
            await store.compact_topic("keyed.op")
            await store.compact_topic("keyed.servers")
        elif kind in ("silent", "one_way"):
            proxy.mode = kind
        elif kind == "reset":
            proxy.drop_connections()
        else:
            proxy.delay_s = 0.2
        await asyncio.sleep(duration_s)
        store.status, store.delay_s = None, 0.0
        proxy.mode, proxy.delay_s = None, 0.0
        proxy.drop_connections()

    async def inject_upstream_fault(self):
        upstream = self.random.choice(self.fleet.upstreams[:-1])
        kind = self.random.choice(
            ["error", "reset", "truncate", "extra", "hang", "shed", "drain", "slow",
             "forget", "leave", "close", "limit"]
        )
        if kind == "drain":
            upstream.state = "draining"
            await upstream.register()
            self.drain_start_times[upstream.name] = time.time()
            return
        if kind == "leave":
            upstream.is_leaving = True
            return
        share = self.random.uniform(0.1, 1)
        if kind == "slow":
            upstream.service_time_s = 0.15
        elif kind == "forget":
            for each in self.fleet.upstreams:
                each.idle_reset_after_s = 0.05
        elif kind == "limit":
            upstream.rate_limit = str(self.random.uniform(0.5, 10))
        elif kind == "close":
            upstream.retry_after = f"{self.random.uniform(0.7, 3):.2f}"
            upstream.fault = (
                lambda headers: "shed" if self.random.random() < share else None
            )
        else:
            upstream.fault = (
                lambda headers: kind if self.random.random() < share else None
            )
        await asyncio.sleep(self.random.uniform(1, 4))
        upstream.fault, upstream.service_time_s = None, 0.01
        upstream.retry_after = upstream.rate_limit = None
        if kind == "forget":
            for each in self.fleet.upstreams:
                each.idle_reset_after_s = None

    async def inject_returns(self):
        """The store returns from copies; the operator then writes again.

        A return excuses no late change: keys and drains keep their bounds."""
        draw = self.return_random
        first = time.time()
        end = first + self.seconds
        while True:
            await asyncio.sleep(draw.uniform(1, 6))
            if time.time() > end:
                return
            copied_at = max(first, time.time() - draw.uniform(0.5, 8))
            await self.fleet.store.return_from_copy(copied_at, draw.uniform(0.1, 0.8))
            self.returns.append((copied_at, time.time()))
            await asyncio.sleep(draw.uniform(0.2, 1))
            await self.fleet.configure_again()

    def check_eras(self):
        """Each VM that ran since before the last return knows its era."""
        era = self.fleet.store.era
        if not self.returns:
            return
        last = self.returns[-1][1]
        for vm in self.fleet.vms:
            if self.had_process_fault(vm, last - 1, time.time()):
                continue
            starts = [event for event in vm.events() if event.get("event") == "start"]
            eras = [event["era"] for event in vm.events("store_era")]
            started_in_era = starts and not eras
            if not started_in_era and eras[-1:] != [era]:
                self.violations.append(f"{vm.name} knows the eras {eras} of {era}")

    async def change_keys(self):
        self.next_key += 1
        old_key = self.keys[0]
        self.keys = [f"key-n{self.next_key}"]
        await self.configure()
        self.withdrawal_times[old_key] = time.time()

    async def inject_faults(self):
        running = []
        if self.has_returns:
            running.append(asyncio.ensure_future(self.inject_returns()))
        faults = [self.inject_process_fault, self.inject_process_fault, self.inject_store_fault,
                  self.inject_upstream_fault, self.inject_upstream_fault, self.change_keys]
        end = time.time() + self.seconds
        while time.time() < end:
            running.append(asyncio.ensure_future(self.random.choice(faults)()))
            await asyncio.sleep(self.random.uniform(0.1, 1.2))
        await asyncio.gather(*running)

    def check(self):
        runs = {}
        for upstream in self.fleet.upstreams:
            for run in upstream.runs:
                runs.setdefault(run[1], []).append((run[0], upstream, run[2], run[3]))
        self.check_answers(runs)
        self.check_runs(runs)
        self.check_rate(runs)
        self.check_leaving(runs)
        self.check_retry_after()
        self.check_eras()

    def check_leaving(self, runs):
        """A VM that passed on a leaving notice sends the upstream no later requests."""
        noticed = {}  # (VM, upstream) -> time of the first notice
        for sent, _, request_id, _, vm, response in self.responses:
            if "server-leaving" in response.headers and response.body.startswith(b"answer of "):
                key = (vm.name, response.body.split()[2].decode())
                noticed[key] = min(noticed.get(key, sent + response.elapsed_s),
                                   sent + response.elapsed_s)
        for sent, _, request_id, _, vm, _ in self.responses:
            for run_time, upstream, _, _ in runs.get(request_id, []):
                since = noticed.get((vm.name, upstream.name))
                is_late = since is not None and sent > since + DRAIN_BOUND_S
                if is_late and not self.had_process_fault(vm, since, run_time):
                    self.violations.append(
                        f"{request_id} reached {upstream.name}, which told {vm.name} that it "
                        f"leaves {sent - since:.1f} s earlier")

    def check_retry_after(self):
        """At most two requests of a VM reach an upstream that told it to wait."""
        vm_of = {item[2]: item[4] for item in self.responses}
        for upstream in self.fleet.upstreams:
            for rejected, request_id, wait in upstream.rejections:
                vm = vm_of.get(request_id)
                if wait is None or vm is None:
                    continue
                first, last = rejected + 0.5, rejected + float(wait)
                late = [other for arrived, other in upstream.arrivals
                        if first < arrived < last and vm_of.get(other) is vm]
                if len(late) > 2 and not self.had_process_fault(vm, rejected, last):
                    self.violations.append(
                        f"{len(late)} requests of {vm.name} reached {upstream.name} within its "
                        f"Retry-After of {wait} s")
                    return

    def check_answers(self, runs):
        for sent, is_non_idempotent, request_id, key, vm, response in self.responses:
            request_runs = runs.get(request_id, [])
            if response.status == 200:
                text = f"to {request_id}".encode()
                if not response.body.endswith(text):
                    self.violations.append(f"{request_id} got the response to another request")
            elif response.status in (408, 421, 429, 503) and is_non_idempotent and request_runs:
                if "briarhub-not-executed" not in response.headers:
                    self.violations.append(f"{request_id} was rejected but has run")
            if response.status == 404:
                self.violations.append(f"{request_id} matched no route")
            withdrawn_at = self.withdrawal_times.get(key)
            is_late = withdrawn_at is not None and sent > withdrawn_at + KEY_BOUND_S
            if is_late and response.status == 200 and self.has_recovered(vm, sent):
                self.violations.append(f"{request_id} ran with a withdrawn key")

    def check_runs(self, runs):
        requests_by_id = {item[2]: item for item in self.responses}
        for request_id, request_runs in runs.items():
            item = requests_by_id.get(request_id)
            if item and item[1] and len(request_runs) > 1:
                self.violations.append(f"{request_id} ran {len(request_runs)} times")
            for run_time, upstream, headers, body in request_runs:
                if "api-key" in headers:
                    self.violations.append(f"{request_id} exposed its key to an upstream")
                expected_account = "zeta" if item and item[3] == "key-z" else "acme"
                if item and headers.get("briarhub-tenant-id") != expected_account:
                    self.violations.append(f"{request_id} ran for another account")
                drain_start = self.drain_start_times.get(upstream.name)
                is_late = drain_start is not None and run_time > drain_start + DRAIN_BOUND_S + 0.1
                if is_late and item and self.has_recovered(item[4], item[0]):
                    self.violations.append(
                        f"{request_id} reached {upstream.name}, which is draining")

    def check_rate(self, runs):
        times = sorted(
            request_runs[0][0] for request_runs in runs.values()
            if request_runs[0][2].get("briarhub-tenant-id") == "zeta"
        )
        bound = (RATE * 5 + RATE) * 1.1 + 20
        first = 0
        for last, run_time in enumerate(times):
            while run_time - times[first] > 5:
                first += 1
            if last - first + 1 > bound:
                self.violations.append(f"{last - first + 1} requests of zeta within 5 s")
                return

    async def run(self):
        async with self.fleet as fleet:
            self.proxy = await Proxy(fleet.store.port).listen()
            for vm in fleet.vms:
                vm.write_settings(store_port=self.proxy.port)
                await vm.kill()
                vm.start()
            for vm in fleet.vms:
                await fleet.wait_until(vm.is_ready, 10)
            await self.configure()
            callers = [asyncio.ensure_future(self.run_caller(n)) for n in range(9)]
            await self.inject_faults()
            await asyncio.sleep(RECOVERY_S)
            served = len([a for a in self.responses if a[0] > time.time() - 1.5
                          and a[5].status == 200])
            if served == 0:
                self.violations.append("no request succeeded after the last fault")
            self.is_finished = True
            await asyncio.gather(*callers)
            self.check()
            self.proxy.stop()
        return self.violations


def run_seed(seed, seconds, has_returns):
    started = time.time()
    soak = Soak(seed, seconds, has_returns)
    violations = asyncio.run(soak.run())
    verdict = "BROKEN" if violations else "kept"
    served = sum(item[5].status == 200 for item in soak.responses)
    returns = f"{len(soak.returns)} returns, " if has_returns else ""
    print(f"seed {seed}: {verdict}, {len(soak.responses)} requests, {served} succeeded, "
          f"{returns}{time.time() - started:.0f} s, logs in {soak.fleet.directory}", flush=True)
    for text in violations[:10]:
        print(f"  {text}", flush=True)
    return not violations


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--minutes", type=float, default=0)
    parser.add_argument("--replay", type=int)
    parser.add_argument("--first", type=int, help="first seed (default: random)")
    parser.add_argument("--seconds", type=float, default=12, help="fault injection time per seed")
    parser.add_argument("--returns", action="store_true",
                        help="the store also returns from older copies")
    options = parser.parse_args()
    if options.replay is not None:
        is_kept = run_seed(options.replay, options.seconds, options.returns)
        return 0 if is_kept else 1
    first = options.first if options.first is not None else random.SystemRandom().randint(1, 10**6)
    end = time.time() + options.minutes * 60
    failed, count = [], 0
    seeds = REGRESSION_SEEDS + list(range(first, first + options.seeds))
    while seeds or time.time() < end:
        seed = seeds.pop(0) if seeds else first + count
        count += 1
        if not run_seed(seed, options.seconds, options.returns):
            failed.append(seed)
    print(f"{count - len(failed)} passed, {len(failed)} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
