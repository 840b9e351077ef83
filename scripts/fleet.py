"""Runs a small fleet of entry VMs on loopback, with stand-ins for the platform
and the upstreams, for the demo, the measurements and the process tests.

Every VM has its own loopback address, so that ports never collide. Signals go
only to processes that this module started.
"""

import http.client
import json
import os
import signal
import subprocess
import tempfile
import threading
import time

ADMIN_TOKEN = "local-admin-token"
CALLER_PORT = 8080
PEER_PORT = 8081
ADMIN_PORT = 8082
PLATFORM_PORT = 9000
UPSTREAM_PORT = 7000

FAILURE_DOMAINS = ("a", "b", "c", "d")

# Upstream count, slots and service time per service in the two deployments.
DEPLOYMENTS = {
    "kairouan": {
        "region": "tn-north",
        "services": {
            "ledger-desk": {"count": 25, "slots": 2, "service_ms": 20},
            "archive-room": {"count": 10, "slots": 2, "service_ms": 20},
        },
    },
    "kolamba": {
        "region": "lk-west",
        "services": {
            "order-desk": {"count": 20, "slots": 4, "service_ms": 20},
            "proof-vault": {"count": 10, "slots": 4, "service_ms": 20},
        },
    },
}


def repository_root():
    return os.path.dirname(os.path.dirname(os.path.abspath(__file__)))


def split_address(address):
    ip, port = address.rsplit(":", 1)
    return ip, int(port)


def http_request(address, method, path, body=None, headers=None, timeout=10.0):
    """Sends one HTTP request; returns (status, headers, body bytes)."""
    ip, port = split_address(address)
    connection = http.client.HTTPConnection(ip, port, timeout=timeout)
    try:
        data = body
        if isinstance(body, (dict, list)):
            data = json.dumps(body).encode()
        connection.request(method, path, body=data, headers=headers or {})
        response = connection.getresponse()
        return response.status, dict(response.getheaders()), response.read()
    finally:
        connection.close()


def wait_until(condition, timeout, interval=0.05):
    """Polls the condition; returns the seconds until it holds, None on timeout."""
    start = time.monotonic()
    while time.monotonic() - start < timeout:
        if condition():
            return time.monotonic() - start
        time.sleep(interval)
    return None


class Process:
    """A child process whose output goes to a log file."""

    def __init__(self, arguments, log_path, env=None):
        self.log_path = log_path
        self._log = open(log_path, "ab")
        self.arguments = arguments
        self.popen = subprocess.Popen(
            arguments,
            stdout=self._log,
            stderr=subprocess.STDOUT,
            stdin=subprocess.DEVNULL,
            env=env,
        )

    def running(self):
        return self.popen.poll() is None

    def send_signal(self, number):
        if self.running():
            self.popen.send_signal(number)

    def stop(self, timeout=5.0):
        """Sends SIGTERM, then SIGKILL after the timeout; returns the exit code."""
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGTERM)
        try:
            self.popen.wait(timeout)
        except subprocess.TimeoutExpired:
            self.popen.kill()
            self.popen.wait()
        self._log.close()
        return self.popen.returncode


class EntryVm:
    """One entry VM with its process, addresses and admin client."""

    def __init__(self, fleet, index):
        self.fleet = fleet
        self.index = index
        self.vm_id = f"entry-{index:03d}"
        self.domain = FAILURE_DOMAINS[index % len(FAILURE_DOMAINS)]
        self.ip = fleet.ip(index + 1)
        self.address = f"{self.ip}:{CALLER_PORT}"
        self.peer_address = f"{self.ip}:{PEER_PORT}"
        self.admin_address = f"{self.ip}:{ADMIN_PORT}"
        self.process = None

    def start(self):
        settings = {
            "BRIARHUB_VM_ID": self.vm_id,
            "BRIARHUB_FAILURE_DOMAIN": self.domain,
            "BRIARHUB_LISTEN": self.address,
            "BRIARHUB_PEER_LISTEN": self.peer_address,
            "BRIARHUB_ADMIN_LISTEN": self.admin_address,
            "BRIARHUB_PLATFORM": self.fleet.platform_address,
            "BRIARHUB_ADMIN_TOKEN": ADMIN_TOKEN,
            "BRIARHUB_LOG_RETENTION_S": str(self.fleet.retention_s),
        }
        settings.update(self.fleet.extra_settings)
        self.process = Process(
            [self.fleet.binary("briarhub")],
            os.path.join(self.fleet.directory, f"{self.vm_id}.log"),
            env={**os.environ, **settings},
        )

    def ready(self):
        try:
            return http_request(self.admin_address, "GET", "/readyz", timeout=1)[0] == 200
        except OSError:
            return False

    def admin_request(self, path, method="GET", body=None):
        headers = {"Authorization": f"Bearer {ADMIN_TOKEN}"}
        status, _, text = http_request(self.admin_address, method, path, body, headers)
        return status, json.loads(text)

    def metrics(self):
        """Returns a mapping from series name with labels to value."""
        _, _, text = http_request(self.admin_address, "GET", "/metrics")
        series = {}
        for line in text.decode().splitlines():
            if line and not line.startswith("#"):
                name, value = line.rsplit(" ", 1)
                series[name] = float(value)
        return series

    def directory_entry(self, state="live"):
        return {
            "id": self.vm_id,
            "role": "entry",
            "failure_domain": self.domain,
            "region": self.fleet.region,
            "address": self.address,
            "peer_address": self.peer_address,
            "state": state,
        }


class Upstream:
    """One upstream; the upstreams of a service share a stand-in process."""

    def __init__(self, fleet, service, name, address, domain, slots):
        self.fleet = fleet
        self.service = service
        self.name = name
        self.address = address
        self.domain = domain
        self.slots = slots

    def inject_fault(self, **fault):
        status, _, text = http_request(self.address, "PUT", "/test/fault", fault)
        assert status == 200, (status, text)

    def clear_fault(self):
        self.inject_fault(kind="none")

    def runs(self):
        _, _, text = http_request(self.address, "GET", "/test/runs", timeout=30)
        return json.loads(text)

    def directory_entry(self, state="live"):
        return {
            "id": self.name,
            "role": "upstream",
            "service": self.service,
            "failure_domain": self.domain,
            "region": self.fleet.region,
            "address": self.address,
            "state": state,
            "slots": self.slots,
        }


class Fleet:
    """The platform stand-in, the upstream stand-ins and the entry processes."""

    def __init__(
        self,
        deployment,
        entries,
        upstreams=None,
        build="build/release",
        directory=None,
        seed=1,
        retention_s=86400,
        list_lag_ms=0,
        settings=None,
    ):
        self.build = os.path.join(repository_root(), build)
        self.directory = directory or tempfile.mkdtemp(prefix="briarhub-")
        os.makedirs(self.directory, exist_ok=True)
        self.deployment = deployment
        self.region = DEPLOYMENTS[deployment]["region"]
        self.seed = seed
        self.retention_s = retention_s
        self.list_lag_ms = list_lag_ms
        self.extra_settings = settings or {}
        # The second address byte comes from the process id, so that fleets which
        # run in parallel use different addresses.
        self._subnet = 1 + os.getpid() % 250
        self.platform_address = f"127.{self._subnet}.250.1:{PLATFORM_PORT}"
        self.entries = [EntryVm(self, i) for i in range(entries)]
        self._upstream_counts = upstreams or {}
        self.upstreams = []
        self._processes = []

    def ip(self, host):
        return f"127.{self._subnet}.1.{host}"

    def binary(self, name):
        folder = "tests" if name.endswith("stand-in") else "."
        return os.path.join(self.build, folder, name)

    def start(self):
        self._start_platform()
        services = DEPLOYMENTS[self.deployment]["services"]
        for number, (service, service_spec) in enumerate(services.items()):
            self._start_upstreams(number, service, service_spec)
        self.publish_vms()
        for entry in self.entries:
            entry.start()

    def _start_platform(self):
        self._spawn(
            "platform-stand-in",
            "platform",
            "--listen", self.platform_address,
            "--retention-s", str(self.retention_s),
            "--list-lag-ms", str(self.list_lag_ms),
        )
        self._wait_listening(self.platform_address, "/vms")

    def _start_upstreams(self, number, service, service_spec):
        count = self._upstream_counts.get(service, service_spec["count"])
        ip = f"127.{self._subnet}.2.{number + 1}"
        self._spawn(
            "upstream-stand-in",
            service,
            "--listen", f"{ip}:{UPSTREAM_PORT}",
            "--count", str(count),
            "--id", service,
            "--service", service,
            "--slots", str(service_spec["slots"]),
            "--service-time-ms", str(service_spec["service_ms"]),
            "--jitter-ms", "5",
            "--seed", str(self.seed),
        )
        for i in range(count):
            self.upstreams.append(
                Upstream(
                    self,
                    service,
                    f"{service}-{i}",
                    f"{ip}:{UPSTREAM_PORT + i}",
                    FAILURE_DOMAINS[i % len(FAILURE_DOMAINS)],
                    service_spec["slots"],
                )
            )
        self._wait_listening(f"{ip}:{UPSTREAM_PORT}", "/health")

    def _spawn(self, binary, name, *arguments):
        log = os.path.join(self.directory, f"{name}.log")
        process = Process([self.binary(binary), *arguments], log)
        self._processes.append(process)
        return process

    def _wait_listening(self, address, path):
        def listening():
            try:
                http_request(address, "GET", path, timeout=1)
                return True
            except OSError:
                return False

        if wait_until(listening, 10) is None:
            raise RuntimeError(f"{address} accepts no connection within 10 s")

    def publish_vms(self, leaving=(), absent=()):
        vms = [*self.entries, *self.upstreams]
        body = {
            "vms": [
                vm.directory_entry("leaving" if vm in leaving else "live")
                for vm in vms
                if vm not in absent
            ]
        }
        status, _, text = self.platform_request("PUT", "/test/vms", body)
        assert status == 200, (status, text)

    def platform_request(self, method, path, body=None):
        return http_request(self.platform_address, method, path, body)

    def run_briarctl(self, *arguments, entry=0):
        """Runs briarctl; returns (exit code, output)."""
        completed = subprocess.run(
            [
                self.binary("briarctl"),
                "--admin", self.entries[entry].admin_address,
                "--token", ADMIN_TOKEN,
                "--json",
                *arguments,
            ],
            capture_output=True,
            text=True,
            timeout=60,
        )
        return completed.returncode, completed.stdout + completed.stderr

    def example_config_path(self):
        return os.path.join(
            repository_root(), "examples", f"{self.deployment}.json"
        )

    def apply_example_config(self):
        """Applies the example configuration and waits until all VMs are ready."""

        def apply():
            return self.run_briarctl("apply", self.example_config_path())[0] == 0

        if wait_until(apply, 60, 0.2) is None:
            raise RuntimeError("example configuration was not accepted within 60 s")
        if wait_until(self.all_ready, 60) is None:
            raise RuntimeError("entry processes were not ready within 60 s")

    def all_ready(self):
        return all(
            entry.ready()
            for entry in self.entries
            if entry.process and entry.process.running()
        )

    def upstreams_of_service(self, service):
        return [u for u in self.upstreams if u.service == service]

    def stop(self):
        processes = [e.process for e in self.entries if e.process]
        processes += self._processes
        for process in processes:
            process.send_signal(signal.SIGCONT)
            process.send_signal(signal.SIGTERM)
        for process in processes:
            process.stop()

    def __enter__(self):
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *_):
        self.stop()


class BackgroundLoad:
    """Calls a function repeatedly in several threads and collects the results."""

    def __init__(self, function, threads):
        self._stop = threading.Event()
        self._lock = threading.Lock()
        self.results = []
        self._function = function
        self._threads = [
            threading.Thread(target=self._run_thread, args=(i,), daemon=True)
            for i in range(threads)
        ]

    def _run_thread(self, number):
        while not self._stop.is_set():
            result = self._function(number)
            with self._lock:
                self.results.append(result)

    def __enter__(self):
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_):
        self._stop.set()
        for thread in self._threads:
            thread.join()
