"""Fault tests with real processes: VM kill and pause, network partition, lost
platform responses, log outage.

The checks use only what callers, upstreams and the platform observe. Waits poll
for a condition with a generous timeout, so that the result does not depend on
the load of the machine. Guaranteed time limits count from a stated event.
"""

import json
import os
import signal
import sys
import threading
import time
import unittest

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(ROOT, "scripts"))

from demo import bearer_headers, make_uuid7  # noqa: E402
from fleet import Fleet, http_request, wait_until  # noqa: E402

ACCOUNT = "pet-shops-pettah"
KEY = f"demo-key-{ACCOUNT}"
SHORT_MS = 1500


class Order:
    """One non-idempotent request and all responses that its caller received."""

    def __init__(self):
        self.key = make_uuid7()
        self.responses = []  # (status, result code, run state, body)

    def send(self, entry):
        headers = bearer_headers(KEY, **{"Idempotency-Key": self.key})
        try:
            status, response_headers, body = http_request(
                entry.address, "POST", "/engraving-orders/new",
                self.key.encode(), headers, timeout=15)
        except OSError as error:
            self.responses.append((0, "", "may_have_run", str(error)))
            return 0
        code = response_headers.get("Briarhub-Result", "0")
        run = "ran"
        if status != 200:
            run = json.loads(body).get("run", "may_have_run")
        self.responses.append((status, code, run, body))
        return status


class FaultTest(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet(
            "kolamba", 4, {"order-desk": 4, "proof-vault": 2},
            build=os.environ.get("BRIARHUB_BUILD", "build/release"))
        self.addCleanup(self.fleet.stop)
        self.fleet.start()
        self.fleet.apply_example_config()

    def runs_by_key(self):
        runs = {}
        for upstream in self.fleet.upstreams_of_service("order-desk"):
            for run in upstream.runs():
                runs.setdefault(run["idempotency_key"], []).append(run)
        return runs

    def check_orders(self, orders):
        self.check_runs(orders, self.runs_by_key())

    def check_runs(self, orders, runs):
        """Checks that each order runs at most once, that its successful responses
        are equal and belong to it, and that it has not run if all its responses
        say so."""
        for order in orders:
            count = len(runs.get(order.key, []))
            self.assertLessEqual(count, 1, order.responses)
            bodies = {a[3] for a in order.responses if a[0] == 200}
            self.assertLessEqual(len(bodies), 1, order.responses)
            if bodies:
                self.assertEqual(count, 1, order.responses)
                response_body = json.loads(bodies.pop())
                self.assertEqual(response_body["idempotency_key"], order.key)
                self.assertEqual(response_body["account"], ACCOUNT)
            if all(a[2] == "not_run" for a in order.responses):
                self.assertEqual(count, 0, order.responses)

    def send_during_fault(self, orders, entries, fault):
        """Sends each order through two VMs; the fault starts after 0.3 s."""

        def worker(number):
            for i in range(number, len(orders), 8):
                for attempt in range(2):
                    orders[i].send(entries[(i + attempt) % len(entries)])

        threads = [threading.Thread(target=worker, args=(n,)) for n in range(8)]
        for thread in threads:
            thread.start()
        time.sleep(0.3)
        fault()
        for thread in threads:
            thread.join()

    def test_orders_run_once_after_vm_kill_and_lost_responses(self):
        """Guards against a second run after the platform's response to a claim
        is lost, or after the VM that ran the order is killed."""
        orders = [Order() for _ in range(80)]

        def fault():
            self.fleet.platform_request("POST", "/test/lose-answers",
                                        {"count": 5, "stream": "claims-0"})
            time.sleep(0.3)
            self.fleet.entries[0].process.popen.kill()

        self.send_during_fault(orders, self.fleet.entries, fault)
        self.check_orders(orders)
        self.assertTrue(any(o.responses[0][0] == 200 for o in orders))

    def test_orders_are_not_run_during_a_log_outage(self):
        """Guards against running an order without a claim while the log is down."""
        before = Order()
        self.assertEqual(before.send(self.fleet.entries[0]), 200)
        self.fleet.platform_request("POST", "/test/outage", {"for_ms": 4000})
        orders = [Order() for _ in range(8)]
        for order in orders:
            order.send(self.fleet.entries[1])
        statuses = [o.responses[0][0] for o in orders]
        self.assertEqual(statuses, [503] * 8)
        self.check_orders([before, *orders])

        def order_succeeds():
            order = Order()
            orders.append(order)
            return order.send(self.fleet.entries[1]) == 200

        self.assertIsNotNone(wait_until(order_succeeds, 60, 0.3))
        self.check_orders([before, *orders])

    def test_paused_vm_does_not_serve_an_old_configuration(self):
        """Guards against a VM that resumes after a pause longer than every
        lease and still accepts a key that was withdrawn during the pause."""
        paused = self.fleet.entries[2]
        self.assertEqual(self.preview(paused), 200)
        paused.process.send_signal(signal.SIGSTOP)
        key_id = self.key_id()
        code, text = self.fleet.run_briarctl("key", "withdraw", key_id)
        self.assertEqual(code, 0, text)
        time.sleep(5)
        paused.process.send_signal(signal.SIGCONT)
        statuses = {self.preview(paused) for _ in range(20)}
        self.assertTrue(statuses <= {401, 503}, statuses)
        self.assertIsNotNone(
            wait_until(lambda: self.preview(paused) == 401, 60))

    def test_orders_of_a_paused_vm_run_once(self):
        """Guards against a second run when another VM takes over the claim of
        a VM that is paused and later resumes."""
        orders = [Order() for _ in range(40)]
        paused = self.fleet.entries[1]

        def fault():
            paused.process.send_signal(signal.SIGSTOP)
            time.sleep(4)
            paused.process.send_signal(signal.SIGCONT)

        self.send_during_fault(orders, self.fleet.entries, fault)
        self.check_orders(orders)

    def test_vm_partitioned_from_the_log_applies_a_key_withdrawal(self):
        """Guards against a VM that keeps accepting a withdrawn key because it
        cannot read the log."""
        partitioned = self.fleet.entries[3]
        self.fleet.platform_request(
            "POST", "/test/cut",
            {"vm": partitioned.vm_id, "for_ms": 60000, "direction": "answers"})
        time.sleep(2)
        self.assertEqual(self.preview(partitioned), 200)
        code, text = self.fleet.run_briarctl("key", "withdraw", self.key_id())
        self.assertEqual(code, 0, text)
        # `withdraw` returns when a majority stores the change. Every other VM
        # applies it or stops admitting requests within the freshness window.
        time.sleep(3)
        self.assertIn(self.preview(partitioned), (401, 503))

    def test_leaving_upstream_gets_no_new_work(self):
        """Guards against requests to an upstream that the platform lists as
        leaving."""
        leaving = self.fleet.upstreams_of_service("order-desk")[0]
        self.fleet.publish_vms(leaving=[leaving])
        time.sleep(4)
        before = len(leaving.runs())
        for i in range(40):
            self.assertEqual(
                self.preview(self.fleet.entries[i % 4]), 200)
        self.assertEqual(len(leaving.runs()), before)

    def test_replacement_vm_joins_during_a_log_outage(self):
        """Guards against a replacement VM that serves without the configuration,
        or waits for the log although its peers have the state."""
        replacement = self.fleet.entries[0]
        replacement.process.popen.kill()
        replacement.process.popen.wait()
        self.fleet.platform_request("POST", "/test/outage", {"for_ms": 20000})
        replacement.start()
        statuses = set()

        def serves():
            try:
                statuses.add(self.preview(replacement))
            except OSError:
                pass
            return 200 in statuses

        wait_until(serves, 60)
        self.assertTrue(statuses <= {200, 429, 503}, statuses)
        self.assertIn(200, statuses)

    def preview(self, entry):
        return http_request(entry.address, "GET", "/previews/x",
                            headers=bearer_headers(KEY), timeout=15)[0]

    def key_id(self):
        _, body = self.fleet.entries[0].admin_request("/api/v1/config")
        return next(
            name
            for name, key in body["config"]["keys"].items()
            if key["account"] == ACCOUNT
        )


class CheckerTest(unittest.TestCase):
    """Guards against a `check_runs` that accepts violations."""

    def assert_rejected(self, responses, run_count):
        order = Order()
        order.responses = responses
        with self.assertRaises(AssertionError):
            FaultTest().check_runs([order], {order.key: [{}] * run_count})

    def test_a_second_run_is_detected(self):
        self.assert_rejected([(0, "", "may_have_run", "")], 2)

    def test_a_false_refusal_is_detected(self):
        self.assert_rejected([(503, "4006", "not_run", b"")], 1)

    def test_two_different_responses_are_detected(self):
        self.assert_rejected([(200, "0", "ran", b"a"), (200, "0", "ran", b"b")], 1)

    def test_a_response_without_a_run_is_detected(self):
        self.assert_rejected([(200, "0", "ran", b"{}")], 0)


if __name__ == "__main__":
    unittest.main(verbosity=2)
