"""An endpoint as PROTOCOL.md describes it, for the cases of the second review."""

import asyncio
import json
import time

from harness import encode_response, read_message


class Endpoint:
    """Runs requests in `slots` slots, announces itself and records its runs."""

    def __init__(self, name, service, zone="z1", slots=4, work_s=0.05, record=None):
        self.name = name
        self.service = service
        self.zone = zone
        self.slots = asyncio.Semaphore(slots)
        self.slot_count = slots
        self.work_s = work_s
        self.record = record
        self.state = "ready"
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.beats = True
        self.server = None
        self.port = 0
        self.writers = set()
        self.runs = []  # (monotonic time, request id, request line, headers, body)
        self.arrivals = []  # the same of all that arrives here

    def write(self, text):
        if self.record:
            self.record.write(text)

    async def listen(self):
        self.server = await asyncio.start_server(
            self.handle, "127.0.0.1", self.port, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]

    def stop(self):
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def announcement(self):
        self.sequence += 1
        return json.dumps({
            "service": self.service, "address": f"127.0.0.1:{self.port}",
            "zone": self.zone, "version": "v1", "slots": self.slot_count,
            "state": self.state, "warmup_left_ms": 0, "sequence": self.sequence,
            "born": self.born}).encode()

    async def beat(self, store):
        await store.put("keyed.servers", self.name, self.announcement())

    async def handle(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                if not await self.serve(message, writer):
                    break
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def serve(self, message, writer):
        line, headers, body = message
        request_id = headers.get("briarhub-request-id", "")
        target = headers.get("briarhub-target-instance")
        if line.split(" ")[1] == "/health":
            status = 200 if self.state == "ready" else 503
            writer.write(encode_response(status, {"Briarhub-Instance-Id": self.name}))
            return True
        if target and target != self.name:
            writer.write(encode_response(421, {"Briarhub-Request-Id": request_id}))
            return True
        self.arrivals.append((time.monotonic(), request_id, line, headers, body))
        async with self.slots:
            self.runs.append((time.monotonic(), request_id, line, headers, body))
            self.write(f"{self.name} runs {request_id}: {line}")
            return await self.work(request_id, line, headers, body, writer)

    async def work(self, request_id, line, headers, body, writer):
        await asyncio.sleep(self.work_s)
        await self.answer(request_id, writer, f"answer to {request_id}".encode())
        return True

    def answer_headers(self, request_id):
        return {"Briarhub-Request-Id": request_id,
                "Briarhub-Response-Seal": f"seal-{self.name}-{request_id}",
                "Keep-Alive": "timeout=10"}

    async def answer(self, request_id, writer, body, status=200):
        writer.write(encode_response(status, self.answer_headers(request_id), body))
        await writer.drain()
        self.write(f"{self.name} has answered {request_id} with {status}, {len(body)} bytes")
