"""The demo: the whole path at work on loopback, with each step checked."""

import hashlib
import http.client
import json
import os
import signal
import sys
import threading
import time
import uuid


from fleet import Background, Fleet, call, split_address, wait_until

ACCOUNT = "pet-shops-pettah"
KEY = f"demo-key-{ACCOUNT}"
OTHER_ACCOUNT = "groomers-guild"
OTHER_KEY = f"demo-key-{OTHER_ACCOUNT}"

EJECTION_LIMIT_S = 10.0
WITHDRAWAL_LIMIT_S = 4.0


def uuid7():
    """A UUIDv7 (RFC 9562) as text."""
    value = int(time.time() * 1000) << 80
    value |= int.from_bytes(os.urandom(10), "big")
    value = (value & ~(0xF << 76)) | (0x7 << 76)
    value = (value & ~(0x3 << 62)) | (0x2 << 62)
    return str(uuid.UUID(int=value))


def bearer(key, **more):
    return {"Authorization": f"Bearer {key}", **more}


class Demo:
    def __init__(self, fleet):
        self.fleet = fleet
        self.failures = 0

    def check(self, passed, text):
        print(f"{'ok  ' if passed else 'FAIL'} {text}", flush=True)
        self.failures += 0 if passed else 1

    def get(self, entry, path, key=KEY, timeout=10.0):
        return call(entry.address, "GET", path, headers=bearer(key),
                    timeout=timeout)

    def preview(self, entry, name, key=KEY, account=ACCOUNT):
        """True if the caller gets the whole answer to its own request."""
        path = f"/previews/{name}"
        status, headers, body = self.get(entry, path, key)
        if status != 200:
            return (False, f"{status} {headers.get('Briarhub-Result')}")
        answer = json.loads(body)
        own = answer["path"] == path and answer["account"] == account
        return (own, "200")

    def show_previews(self):
        results = [
            self.preview(entry, f"tag-{entry.index}-{i}", key, account)
            for entry in self.fleet.entries
            for i in range(5)
            for key, account in ((KEY, ACCOUNT), (OTHER_KEY, OTHER_ACCOUNT))
        ]
        good = sum(1 for own, _ in results if own)
        self.check(
            good == len(results),
            f"previews: {good} of {len(results)} answered for their own account",
        )

    def show_refusals(self):
        entry = self.fleet.entries[0]
        no_key = call(entry.address, "GET", "/previews/x")[0]
        bad_key = self.get(entry, "/previews/x", "wrong")[0]
        unknown = self.get(entry, "/nowhere")[0]
        self.check(
            (no_key, bad_key, unknown) == (401, 401, 404),
            "refused: no key, unknown key, unknown route",
        )

    def show_order(self):
        idempotency_key = uuid7()
        headers = bearer(KEY, **{"Idempotency-Key": idempotency_key})
        answers = [
            call(entry.address, "POST", "/engraving-orders/new",
                 b'{"tag":"Rex"}', headers)
            for entry in self.fleet.entries[:3]
        ]
        bodies = {body for status, _, body in answers if status == 200}
        runs = [
            run
            for upstream in self.fleet.of_service("order-desk")
            for run in upstream.runs()
            if run["idempotency_key"] == idempotency_key
        ]
        self.check(
            len(bodies) == 1
            and all(status == 200 for status, _, _ in answers)
            and len(runs) == 1,
            f"engraving order: sent 3 times with one key through 3 VMs, "
            f"ran {len(runs)} time, {len(bodies)} answer "
            f"{[a[0] for a in answers]}",
        )
        status, headers, _ = call(
            self.fleet.entries[0].address, "POST", "/engraving-orders/new",
            b"{}", bearer(KEY))
        self.check(
            status == 400 and headers.get("Briarhub-Result") == "4001",
            "engraving order without idempotency key refused",
        )

    def show_archive(self):
        path = "/proof-sheets/2026-11"
        status, headers, body = self.get(self.fleet.entries[1], path, timeout=30)
        digest = hashlib.sha256(body).hexdigest()
        self.check(
            status == 200
            and len(body) == int(headers["Content-Length"])
            and headers.get("ETag", "").strip('"') == digest,
            f"proof-sheet archive: {len(body)} bytes, complete",
        )

    def show_ejection(self):
        sick = self.fleet.of_service("order-desk")[0]

        def send(number):
            entry = self.fleet.entries[number % len(self.fleet.entries)]
            try:
                result = self.preview(entry, f"load-{number}")
            except OSError as error:
                result = (False, str(error))
            time.sleep(0.02)
            return result

        with Background(send, 8) as load:
            time.sleep(2)
            sick.fault(kind="hang")
            took = wait_until(lambda: self.out_everywhere(sick),
                              EJECTION_LIMIT_S)
            time.sleep(1)
        good = sum(1 for own, _ in load.results if own)
        reasons = sorted({text for own, text in load.results if not own})
        self.check(
            took is not None,
            f"hung upstream out of service on every VM after "
            f"{took if took is None else round(took, 1)} s",
        )
        self.check(
            good == len(load.results),
            f"previews during the hang: {good} of {len(load.results)} "
            f"answered {reasons}",
        )
        sick.clear()

    def out_everywhere(self, upstream):
        for entry in self.fleet.entries:
            _, body = entry.admin("/api/v1/upstreams")
            rows = body if isinstance(body, list) else body["upstreams"]
            row = next(r for r in rows if r["upstream"] == upstream.name)
            if row["status"] not in ("avoided", "ejected", "probing"):
                return False
        return True

    def show_withdrawal(self):
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
                                   headers=bearer(OTHER_KEY))
                response = connection.getresponse()
                response.read()
                result.append(response.status)
            return result

        before = statuses()
        _, body = entry.admin("/api/v1/config")
        key_id = next(
            name
            for name, key in body["config"]["keys"].items()
            if key["account"] == OTHER_ACCOUNT
        )
        start = time.monotonic()
        code, _ = self.fleet.ctl("key", "withdraw", key_id)
        wait_until(lambda: statuses() == [401] * len(connections),
                   WITHDRAWAL_LIMIT_S)
        took = time.monotonic() - start
        after = statuses()
        self.check(
            before == [200] * len(before)
            and code == 0
            and after == [401] * len(after)
            and took <= WITHDRAWAL_LIMIT_S,
            f"key withdrawn: refused on open connections of every VM after "
            f"{took:.1f} s",
        )
        for connection in connections:
            connection.close()

    def show_key_secrecy(self):
        seen = [
            run
            for upstream in self.fleet.upstreams
            for run in upstream.runs()
            if run["credentials"] or "demo-key" in json.dumps(run)
        ]
        self.check(not seen, "no upstream saw a caller's key")

    def show_shutdown(self):
        entry = self.fleet.entries[-1]
        for upstream in self.fleet.of_service("order-desk"):
            upstream.fault(kind="slow", factor=10, share=1)
        results = []

        def send(number):
            results.append(self.preview(entry, f"last-{number}"))

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
        good = sum(1 for own, _ in results if own)
        self.check(
            good == 5 and code == 0,
            f"graceful shutdown: {good} of 5 requests in flight answered "
            f"{sorted({t for o, t in results if not o})}, exit code {code}",
        )

    def run(self):
        code, _ = self.fleet.ctl("validate", self.fleet.example())
        self.check(code == 0, "briarctl validates the example configuration")
        self.fleet.apply_example()
        self.check(True, "configuration accepted, 4 entry VMs ready")
        self.show_previews()
        self.show_refusals()
        self.show_order()
        self.show_archive()
        self.show_ejection()
        self.show_withdrawal()
        self.show_key_secrecy()
        self.show_shutdown()


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
