"""Runs a fleet of real edge processes on loopback with stand-ins for the store
and the upstreams.

Each process has its own loopback address, as each VM has on the platform.
Signals go only to processes that this module started.
"""

import asyncio
import json
import os
import signal
import subprocess
import tempfile

from stand_ins import Caller, Upstream, Store, read_message

BINARY = os.path.join(
    os.environ.get("BRIARHUB_BUILD", "build/release"), "briarhub-edge"
)

FRONT_PORT = 18080
READY_PORT = 18081
CONTROL_PORT = 18082
GOSSIP_PORT = 18090


def route(name, prefix, service, kind="safe", **overrides):
    spec = {
        "hostname": "h.example",
        "path_prefix": prefix,
        "kind": kind,
        "timeout_ms": 1200,
        "target_latency_ms": 500,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
        "public": False,
    }
    spec.update(overrides)
    return {"resource_kind": "routes", "metadata": {"name": name}, "spec": spec}


def account(name, keys, rate=1000, burst=1000):
    spec = {"api_keys": keys, "priority": 1, "rate_per_s": rate, "burst": burst}
    return {"resource_kind": "tenants", "metadata": {"name": name}, "spec": spec}


def service(name, **overrides):
    spec = {"health_path": "/health", "max_connections": 330, **overrides}
    return {"resource_kind": "services", "metadata": {"name": name}, "spec": spec}


def limits(idle_ms=15000):
    spec = {
        "max_header_bytes": 16384,
        "max_body_bytes": 1 << 20,
        "header_timeout_ms": 1000,
        "idle_timeout_ms": idle_ms,
    }
    return {"resource_kind": "limits", "metadata": {}, "spec": spec}


def default_resources():
    return [
        route("read", "/read/", "desk"),
        route("write", "/write/", "desk", kind="non_idempotent"),
        service("desk"),
        account("acme", ["key-a"]),
        account("zeta", ["key-z"], rate=20, burst=20),
        limits(),
    ]


class EdgeVm:
    """One edge process with its own address, settings file and log."""

    def __init__(self, fleet, number, failure_domain):
        self.fleet = fleet
        self.number = number
        self.failure_domain = failure_domain
        self.name = f"front-{number}"
        self.ip = f"127.0.{fleet.subnet}.{number}"
        self.process = None
        self.log_path = os.path.join(fleet.directory, f"{self.name}.log")
        self.settings_path = os.path.join(fleet.directory, f"{self.name}.json")

    def write_settings(self, store_port=None, **overrides):
        settings = {
            "node": self.name,
            "ip": self.ip,
            "zone": self.failure_domain,
            "listen": {
                "front": f"{self.ip}:{FRONT_PORT}",
                "ready": f"{self.ip}:{READY_PORT}",
                "control": f"{self.ip}:{CONTROL_PORT}",
            },
            "internal_ports": [GOSSIP_PORT, GOSSIP_PORT + 5],
            "seeds": [f"127.0.{self.fleet.subnet}.{n}:{CONTROL_PORT}" for n in (1, 2, 3)],
            "limits": {"max_fds": 4100},
            "bounds": ["drain_ms=2000", "grace_s=3", "retry_budget_ratio=0.2",
                       "retry_budget_extra=58", "budget_window_s=10"],
            "platform": {
                "address": f"127.0.0.1:{store_port or self.fleet.store.port}"
            },
        }
        settings.update(overrides)
        with open(self.settings_path, "w", encoding="utf-8") as file:
            json.dump(settings, file)

    def start(self):
        if not os.path.exists(self.settings_path):
            self.write_settings()
        environment = dict(os.environ, BRIARHUB_BOOT=self.settings_path)
        with open(self.log_path, "a", encoding="utf-8") as log:
            self.process = subprocess.Popen(
                [BINARY], env=environment, stdout=log, stderr=log
            )

    def signal(self, number):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)

    async def kill(self):
        self.signal(signal.SIGKILL)
        await self.wait()

    async def wait(self):
        while self.process and self.process.poll() is None:
            await asyncio.sleep(0.01)
        return self.process.returncode if self.process else None

    def caller(self):
        caller = Caller(FRONT_PORT)
        caller.host = self.ip

        async def connect():
            caller.reader, caller.writer = await asyncio.open_connection(
                self.ip, FRONT_PORT
            )

        caller.connect = connect
        return caller

    async def get(self, port, path):
        """Sends a GET; returns (status, body), status 0 without a response."""
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(self.ip, port), 1
            )
        except (OSError, asyncio.TimeoutError):
            return 0, b""
        try:
            writer.write(f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
            message = await asyncio.wait_for(read_message(reader), 1)
        except (ConnectionError, asyncio.TimeoutError):
            message = None
        finally:
            writer.close()
        return (int(message[0].split(" ")[1]), message[2]) if message else (0, b"")

    async def is_ready(self):
        return (await self.get(READY_PORT, "/readiness"))[0] == 200

    def events(self, kind=None):
        found = []
        with open(self.log_path, encoding="utf-8") as log:
            for line in log:
                try:
                    event = json.loads(line)
                except ValueError:
                    continue
                if kind is None or event.get("event") == kind:
                    found.append(event)
        return found


class Fleet:
    """The store, upstreams and edge VMs of one test."""

    next_subnet = 10 + os.getpid() % 200

    def __init__(self, vms=3, upstreams=4, failure_domains=2):
        Fleet.next_subnet = Fleet.next_subnet % 250 + 1
        self.subnet = Fleet.next_subnet
        self.directory = tempfile.mkdtemp(prefix="briarhub-edge-")
        self.store = Store()
        self.version = 0
        self.configuration = b""  # as the operator wrote it last
        self.vms = [
            EdgeVm(self, n + 1, f"z{n % failure_domains + 1}") for n in range(vms)
        ]
        self.upstreams = []
        self.upstream_count = upstreams
        self.failure_domains = failure_domains
        self.heartbeats = None

    async def __aenter__(self):
        await self.store.listen()
        for number in range(self.upstream_count):
            await self.add_upstream(f"i-{number}", "desk", f"z{number % self.failure_domains + 1}")
        await self.configure(default_resources())
        self.heartbeats = asyncio.ensure_future(self.send_heartbeats())
        for vm in self.vms:
            vm.start()
        for vm in self.vms:
            await self.wait_until(vm.is_ready)
        return self

    async def __aexit__(self, *_):
        self.heartbeats.cancel()
        for vm in self.vms:
            await vm.kill()
        for upstream in self.upstreams:
            upstream.stop()
        self.store.stop()

    async def add_upstream(self, name, service_name, failure_domain="z1"):
        upstream = Upstream(self.store, name, service_name, failure_domain=failure_domain)
        await upstream.listen()
        await upstream.register()
        self.upstreams.append(upstream)
        return upstream

    async def send_heartbeats(self):
        while True:
            await asyncio.sleep(0.5)
            for upstream in self.upstreams:
                if upstream.server and upstream.server.is_serving():
                    await upstream.register()

    async def configure(self, resources, put=None):
        """Publishes a policy; `put` is the store's way to append it."""
        self.version += 3
        text = json.dumps({"version": self.version, "resources": resources})
        self.configuration = text.encode()
        await (put or self.store.put)("keyed.op", "config", self.configuration)

    async def configure_again(self):
        """Publishes the last policy once more, as after a return of the store."""
        await self.store.put("keyed.op", "config", self.configuration)

    def add_vm(self):
        """Starts a further VM."""
        number = len(self.vms) + 1
        vm = EdgeVm(self, number, f"z{number % self.failure_domains + 1}")
        self.vms.append(vm)
        vm.start()
        return vm

    async def evacuate(self, failure_domain):
        """Orders that no request reaches upstreams of the failure domain."""
        await self.store.put("keyed.op", f"evacuate/{failure_domain}", b"{}")

    async def end_evacuation(self, failure_domain):
        await self.store.put("keyed.op", f"evacuate/{failure_domain}", None)

    @staticmethod
    async def wait_until(condition, timeout_s=5.0):
        """Polls until the condition holds; fails the test after the timeout."""
        end = asyncio.get_event_loop().time() + timeout_s
        while asyncio.get_event_loop().time() < end:
            result = condition()
            if asyncio.iscoroutine(result):
                result = await result
            if result:
                return
            await asyncio.sleep(0.02)
        raise AssertionError(f"condition does not hold within {timeout_s} s: {condition}")
