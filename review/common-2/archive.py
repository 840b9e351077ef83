"""Clients that read archives, and the endpoint that hands them out.

The check is LOST as RULES.md has it: a machine in touch passes requests from kept
connections on to a sound endpoint and closes those connections without an answer,
more than three times; and, around planned work (here a SIGHUP), a process has read
a whole request, has passed it on, and the connection ends without a complete answer.
"""

import asyncio
import signal
import socket
import time

from endpoint import Endpoint
from harness import (
    BROKEN, HELD, NOT_RUN, Fleet, has_trouble, limits, route, service, tenant)

PIECE_BYTES = 4 * 1024
ALLOWED_LOSSES = 3
BUDGET_WINDOW_S = 10
SMALL_BYTES = 2000
WAIT_MARGIN_S = 3


class ArchiveEndpoint(Endpoint):
    """Answers at once and whole, as fast as the answer is taken."""

    def __init__(self, *args, archive_bytes, **options):
        super().__init__(*args, **options)
        self.archive_bytes = archive_bytes

    async def work(self, request_id, line, headers, body, writer):
        await asyncio.sleep(self.work_s)
        size = SMALL_BYTES if "/small" in line else self.archive_bytes
        await self.answer(request_id, writer, b"a" * size)
        return True


class Answer:
    def __init__(self):
        self.status = 0
        self.expected = 0
        self.received = 0
        self.took_s = 0.0
        self.ended_how = ""

    @property
    def is_whole(self):
        return self.status == 200 and self.received == self.expected


class Client:
    """One kept connection with Ethernet's segment size and a small window: on the
    plain loopback device the kernel would take a whole archive at once, whatever
    the client reads."""

    def __init__(self, vm, number, timeout_ms, record):
        self.vm = vm
        self.number = number
        self.timeout_ms = timeout_ms
        self.record = record
        self.socket = socket.socket()
        self.socket.setblocking(False)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1448)
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 64 * 1024)

    async def connect(self):
        await asyncio.get_running_loop().sock_connect(self.socket, self.vm.front())

    async def get(self, path, pause=None):
        """`pause(received, expected, seconds)` tells how long to wait before the
        next read. Nothing is read meanwhile."""
        loop = asyncio.get_running_loop()
        answer = Answer()
        request_id = f"c{self.number}-{path.strip('/').replace('/', '-')}"
        sent = time.monotonic()
        self.record.write(f"client {self.number} sends {request_id} to {self.vm.name}")
        await loop.sock_sendall(self.socket, (
            f"GET {path} HTTP/1.1\r\nHost: h.example\r\n"
            f"Briarhub-Request-Id: {request_id}\r\n"
            f"Briarhub-Deadline-Remaining: {self.timeout_ms}\r\n"
            f"Api-Key: key-a\r\n\r\n").encode())
        data = b""
        try:
            while b"\r\n\r\n" not in data:
                piece = await loop.sock_recv(self.socket, PIECE_BYTES)
                if not piece:
                    raise ConnectionError("closed before the head")
                data += piece
            head, _, rest = data.partition(b"\r\n\r\n")
            answer.status = int(head.split(b" ")[1])
            fields = dict(line.lower().split(": ", 1)
                          for line in head.decode().split("\r\n")[1:])
            answer.expected = int(fields["content-length"])
            answer.received = len(rest)
            started = time.monotonic()
            while answer.received < answer.expected:
                if pause:
                    seconds = time.monotonic() - started
                    await asyncio.sleep(pause(answer.received, answer.expected, seconds))
                piece = await loop.sock_recv(self.socket, PIECE_BYTES)
                if not piece:
                    raise ConnectionError("closed")
                answer.received += len(piece)
        except (ConnectionError, OSError) as error:
            answer.ended_how = str(error)
        answer.took_s = time.monotonic() - sent
        self.record.write(
            f"client {self.number} has {answer.status}, {answer.received} of "
            f"{answer.expected} bytes of {request_id} after {answer.took_s:.2f} s"
            + ("" if answer.is_whole else
               f": CUT OFF ({answer.ended_how}); its time limit and the route's "
               f"timeout are {self.timeout_ms} ms"))
        return answer


async def run_downloads(record, pause, archive_bytes, timeout_ms, clients):
    """Clients on kept connections get an archive each, right after a SIGHUP."""
    async with Fleet(vms=3) as fleet:
        await fleet.configure([
            route("archive", "/archive/", "room", "download",
                  timeout_ms=timeout_ms, target_latency_ms=1500),
            service("room"), tenant("acme", ["key-a"], 48, 48), limits()])
        for number in range(4):
            await fleet.add(ArchiveEndpoint(
                f"i-{number}", "room", f"z{number % 2 + 1}",
                archive_bytes=archive_bytes, record=record))
        await fleet.start()
        await asyncio.sleep(BUDGET_WINDOW_S)  # steady state: no process has just started
        vm = fleet.vms[0]
        callers = [Client(vm, number, timeout_ms, record) for number in range(clients)]
        for caller in callers:
            await caller.connect()
            first = await caller.get("/archive/small")
            if not first.is_whole:
                record.write("the small answer that opens the connection failed")
                return NOT_RUN
        vm.signal(signal.SIGHUP)
        record.write(f"{vm.name} gets SIGHUP; its settings are as before")
        await asyncio.sleep(0.2)
        answers = await asyncio.wait_for(
            asyncio.gather(*(
                caller.get(f"/archive/{caller.number}", pause if has_trouble() else None)
                for caller in callers)),
            timeout_ms / 1000 + WAIT_MARGIN_S)
        cut = sum(not answer.is_whole and answer.took_s * 1000 < timeout_ms
                  for answer in answers)
        text = (f"{cut} of {clients} archives were cut off before the time limit; LOST "
                f"allows {ALLOWED_LOSSES} at any time and none around a SIGHUP")
        record.write(text)
        print(text)
        return BROKEN if cut > ALLOWED_LOSSES else HELD
