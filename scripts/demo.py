"""Demo: sends requests through a fleet on loopback and checks each step."""

import hashlib
import http.client
import json
import os
import signal
import sys
import threading
import time
import uuid


from fleet import BackgroundLoad, Fleet, http_request, split_address, wait_until

ACCOUNT = "pet-shops-pettah"
KEY = f"demo-key-{ACCOUNT}"
OTHER_ACCOUNT = "groomers-guild"
OTHER_KEY = f"demo-key-{OTHER_ACCOUNT}"

EJECTION_LIMIT_S = 10.0
WITHDRAWAL_LIMIT_S = 4.0


def make_uuid7():
    """Returns a new UUIDv7 (RFC 9562) as text."""
    value = int(time.time() * 1000) << 80
    value |= int.from_bytes(os.urandom(10), "big")
    value = (value & ~(0xF << 76)) | (0x7 << 76)
    value = (value & ~(0x3 << 62)) | (0x2 << 62)
    return str(uuid.UUID(int=value))


def bearer_headers(key, **extra_headers):
    return {"Authorization": f"Bearer {key}", **extra_headers}


class Demo:
    def __init__(self, fleet):
        self.fleet = fleet
        self.failures = 0

    def check(self, condition, text):
        print(f"{'ok  ' if condition else 'FAIL'} {text}", flush=True)
        self.failures += 0 if condition else 1

    def get(self, entry, path, key=KEY, timeout=10.0):
        return http_request(entry.address, "GET", path,
                            headers=bearer_headers(key), timeout=timeout)

    def request_preview(self, entry, name, key=KEY, account=ACCOUNT):
        """Requests a preview; returns (is_correct, status text).

        It is correct if the response belongs to this path and account.
        """
        path = f"/previews/{name}"
        status, headers, body = self.get(entry, path, key)
        if status != 200:
            return (False, f"{status} {headers.get('Briarhub-Result')}")
        response_body = json.loads(body)
        is_correct = response_body["path"] == path and response_body["account"] == account
        return (is_correct, "200")

    def check_previews(self):
        results = [
            self.request_preview(entry, f"tag-{entry.index}-{i}", key, account)
            for entry in self.fleet.entries
            for i in range(5)
            for key, account in ((KEY, ACCOUNT), (OTHER_KEY, OTHER_ACCOUNT))
        ]
        correct_count = sum(1 for is_correct, _ in results if is_correct)
        self.check(
            correct_count == len(results),
            f"previews: {correct_count} of {len(results)} responses match path and account",
        )

    def check_refusals(self):
        entry = self.fleet.entries[0]
        no_key = http_request(entry.address, "GET", "/previews/x")[0]
        bad_key = self.get(entry, "/previews/x", "wrong")[0]
        unknown = self.get(entry, "/nowhere")[0]
        self.check(
            (no_key, bad_key, unknown) == (401, 401, 404),
            "rejected: no key, unknown key, unknown route",
        )

    def check_order(self):
        idempotency_key = make_uuid7()
        headers = bearer_headers(KEY, **{"Idempotency-Key": idempotency_key})
        responses = [
            http_request(entry.address, "POST", "/engraving-orders/new",
                         b'{"tag":"Rex"}', headers)
            for entry in self.fleet.entries[:3]
        ]
        bodies = {body for status, _, body in responses if status == 200}
        runs = [
            run
            for upstream in self.fleet.upstreams_of_service("order-desk")
            for run in upstream.runs()
            if run["idempotency_key"] == idempotency_key
        ]
        self.check(
            len(bodies) == 1
            and all(status == 200 for status, _, _ in responses)
            and len(runs) == 1,
            f"engraving order: sent 3 times with one key through 3 VMs, "
            f"ran {len(runs)} time, {len(bodies)} distinct response "
            f"{[a[0] for a in responses]}",
        )
        status, headers, _ = http_request(
            self.fleet.entries[0].address, "POST", "/engraving-orders/new",
            b"{}", bearer_headers(KEY))
        self.check(
            status == 400 and headers.get("Briarhub-Result") == "4001",
            "engraving order without idempotency key rejected",
        )

    def check_archive(self):
        path = "/proof-sheets/2026-11"
        status, headers, body = self.get(self.fleet.entries[1], path, timeout=30)
        digest = hashlib.sha256(body).hexdigest()
        self.check(
            status == 200
            and len(body) == int(headers["Content-Length"])
            and headers.get("ETag", "").strip('"') == digest,
            f"proof-sheet archive: {len(body)} bytes, complete",
        )

    def check_ejection(self):
        hung_upstream = self.fleet.upstreams_of_service("order-desk")[0]

        def send(number):
            entry = self.fleet.entries[number % len(self.fleet.entries)]
            try:
                result = self.request_preview(entry, f"load-{number}")
            except OSError as error:
                result = (False, str(error))
            time.sleep(0.02)
            return result

        with BackgroundLoad(send, 8) as load:
            time.sleep(2)
            hung_upstream.inject_fault(kind="hang")
            elapsed_s = wait_until(
                lambda: self.is_out_of_service_everywhere(hung_upstream),
                EJECTION_LIMIT_S)
            time.sleep(1)
        correct_count = sum(1 for is_correct, _ in load.results if is_correct)
        reasons = sorted({text for is_correct, text in load.results if not is_correct})
        self.check(
            elapsed_s is not None,
            f"hung upstream out of rotation on every VM after "
            f"{elapsed_s if elapsed_s is None else round(elapsed_s, 1)} s",
        )
        self.check(
            correct_count == len(load.results),
            f"previews during the hang: {correct_count} of {len(load.results)} "
            f"succeeded {reasons}",
        )
        hung_upstream.clear_fault()

    def is_out_of_service_everywhere(self, upstream):
        for entry in self.fleet.entries:
            _, body = entry.admin_request("/api/v1/upstreams")
            rows = body if isinstance(body, list) else body["upstreams"]
            row = next(r for r in rows if r["upstream"] == upstream.name)
            if row["status"] not in ("avoided", "ejected", "probing"):
                return False
        return True

    def check_withdrawal(self):
        entry = self.fleet.entries[0]
        connections = []
        for each in self.fleet.entries:
            ip, port = split_address(each.address)
            connection = http.client.HTTPConnection(ip, port, timeout=10)
            connections.append(connection)

        def statuses():
            result = []
            for connection in connections:
                connection.request("GET", "/previews/open",
                                   headers=bearer_headers(OTHER_KEY))
                response = connection.getresponse()
                response.read()
                result.append(response.status)
            return result

        before = statuses()
        _, body = entry.admin_request("/api/v1/config")
        key_id = next(
            name
            for name, key in body["config"]["keys"].items()
            if key["account"] == OTHER_ACCOUNT
        )
        start = time.monotonic()
        code, _ = self.fleet.run_briarctl("key", "withdraw", key_id)
        wait_until(lambda: statuses() == [401] * len(connections),
                   WITHDRAWAL_LIMIT_S)
        elapsed_s = time.monotonic() - start
        after = statuses()
        self.check(
            before == [200] * len(before)
            and code == 0
            and after == [401] * len(after)
            and elapsed_s <= WITHDRAWAL_LIMIT_S,
            f"withdrawn key: rejected on open connections of every VM after "
            f"{elapsed_s:.1f} s",
        )
        for connection in connections:
            connection.close()

    def check_key_secrecy(self):
        runs_with_key = [
            run
            for upstream in self.fleet.upstreams
            for run in upstream.runs()
            if run["credentials"] or "demo-key" in json.dumps(run)
        ]
        self.check(not runs_with_key, "no upstream received a caller's key")

    def check_shutdown(self):
        entry = self.fleet.entries[-1]
        for upstream in self.fleet.upstreams_of_service("order-desk"):
            upstream.inject_fault(kind="slow", factor=10, share=1)
        results = []

        def send(number):
            results.append(self.request_preview(entry, f"last-{number}"))

        threads = [
            threading.Thread(target=send, args=(i,)) for i in range(5)
        ]
        for thread in threads:
            thread.start()
        time.sleep(0.1)
        entry.process.send_signal(signal.SIGTERM)
        for thread in threads:
            thread.join()
        code = entry.process.popen.wait(20)
        correct_count = sum(1 for is_correct, _ in results if is_correct)
        self.check(
            correct_count == 5 and code == 0,
            f"graceful shutdown: {correct_count} of 5 requests in flight succeeded "
            f"{sorted({t for o, t in results if not o})}, exit code {code}",
        )

    def run(self):
        code, _ = self.fleet.run_briarctl("validate", self.fleet.example_config_path())
        self.check(code == 0, "briarctl validates the example configuration")
        self.fleet.apply_example_config()
        self.check(True, "configuration accepted, 4 entry VMs ready")
        self.check_previews()
        self.check_refusals()
        self.check_order()
        self.check_archive()
        self.check_ejection()
        self.check_withdrawal()
        self.check_key_secrecy()
        self.check_shutdown()


def main():
    start = time.monotonic()
    with Fleet("kolamba", 4, {"order-desk": 6, "proof-vault": 3}) as fleet:
        demo = Demo(fleet)
        print(f"logs in {fleet.directory}")
        demo.run()
    print(f"{demo.failures} failures, {time.monotonic() - start:.0f} s")
    return 1 if demo.failures else 0


if __name__ == "__main__":
    sys.exit(main())
