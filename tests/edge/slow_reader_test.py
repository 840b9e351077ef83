"""Callers and upstreams that read nothing for some seconds, at real edge processes.

The docstring of each test names the failure that it guards against. Needs no
test bench of the platform: `python3 tests/edge/slow_reader_test.py [NAME...]`.
"""

import asyncio
import os
import socket
import sys

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

from stand_ins import Caller, Upstream  # noqa: E402
from runner import check, run_tests  # noqa: E402
from fleet import FRONT_PORT, Fleet, account, limits, route, service  # noqa: E402

# Of Ethernet: with the larger segments of the loopback device, the kernels would take a
# whole response at once, whatever the caller reads.
SEGMENT_BYTES = 1448
RECEIVE_BUFFER_BYTES = 64 * 1024


class PausingCaller(Caller):
    """A caller that reads nothing for a while after it has sent a request."""

    def __init__(self, vm):
        super().__init__(FRONT_PORT)
        self.vm = vm

    async def connect(self):
        connection = socket.socket()
        connection.setblocking(False)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        await asyncio.get_running_loop().sock_connect(connection, (self.vm.ip, FRONT_PORT))
        self.reader, self.writer = await asyncio.open_connection(
            sock=connection, limit=SEGMENT_BYTES)

    async def request_and_pause(self, request_id, pause_s, time_limit_ms):
        await self.send(request_id, "/read/x", remaining_ms=time_limit_ms)
        self.writer.transport.pause_reading()
        await asyncio.sleep(pause_s)
        self.writer.transport.resume_reading()
        return await self.receive(0.0)


async def check_paused_responses(response_bytes, pause_s, time_limit_ms):
    async with Fleet(vms=1, upstreams=2) as fleet:
        await fleet.configure([
            route("read", "/read/", "desk", timeout_ms=time_limit_ms, max_attempts=1),
            service("desk"), account("acme", ["key-a"]), limits()])
        for upstream in fleet.upstreams:
            upstream.response_bytes = response_bytes
        await asyncio.sleep(1)
        callers = [PausingCaller(fleet.vms[0]) for _ in range(4)]
        responses = await asyncio.gather(*(
            caller.request_and_pause(f"r{number}", pause_s, time_limit_ms)
            for number, caller in enumerate(callers)))
        whole = sum(len(response.body) == response_bytes for response in responses)
        check(whole == len(callers), f"{whole} of {len(callers)} responses are whole")
        for caller in callers:
            caller.close()


async def test_response_that_waits_for_its_caller():
    """A caller that reads nothing for some seconds is taken for dead, and its response
    is cut off before its time limit."""
    await check_paused_responses(540_000, pause_s=4.0, time_limit_ms=8000)


async def test_response_that_waits_longer_than_a_write_may():
    """A response is cut off by a timeout for its write that ends before the time limit of
    its caller."""
    await check_paused_responses(1_900_000, pause_s=11.0, time_limit_ms=14000)


async def test_request_that_waits_for_its_upstream():
    """An upstream that reads a long request some seconds late is taken for dead, and the
    request is reset while the upstream works on it."""
    async with Fleet(vms=1, upstreams=0) as fleet:
        await fleet.configure([
            route("write", "/write/", "desk", kind="non_idempotent", timeout_ms=8000),
            service("desk"), account("acme", ["key-a"]), limits()])
        upstream = Upstream(fleet.store, "i-slow", "desk")
        upstream.body_delay_s = 4.0
        await upstream.listen(receive_buffer_bytes=RECEIVE_BUFFER_BYTES)
        await upstream.register()
        fleet.upstreams.append(upstream)
        await asyncio.sleep(1)
        response = await fleet.vms[0].caller().request(
            "w", "/write/x", method="POST", body=b"x" * 1_000_000, remaining_ms=8000)
        check(response.status == 200, response.status)


if __name__ == "__main__":
    sys.exit(run_tests(globals(), sys.argv[1:]))
