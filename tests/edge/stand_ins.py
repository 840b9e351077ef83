"""Stand-ins for the platform's store, for upstreams and for callers.

They implement the published protocol as far as the tests and the soak need it,
and let a test inject faults.
"""

import asyncio
import base64
import json
import socket
import struct
import time


async def read_head(reader):
    """Reads one message head; returns (start line, headers), None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_message(reader, body_delay_s=0.0):
    """Reads one message; returns (start line, headers, body), None at the end. Reads
    nothing for `body_delay_s` after the head."""
    head = await read_head(reader)
    if head is None:
        return None
    line, headers = head
    await asyncio.sleep(body_delay_s)
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            body = b""
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                data = await reader.readexactly(size + 2)
                if size == 0:
                    break
                body += data[:-2]
        elif "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
        elif line.startswith("HTTP/") and " 204" not in line:
            body = await reader.read()
        else:
            body = b""
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None
    return line, headers, body


def encode_response(status, headers, body=b""):
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Server:
    """A TCP server that aborts its connections when it stops."""

    def __init__(self):
        self.server = None
        self.port = 0
        self.writers = set()

    async def listen(self, host="127.0.0.1", port=0, receive_buffer_bytes=None):
        listener = socket.create_server((host, port))
        if receive_buffer_bytes:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes)
        self.server = await asyncio.start_server(self._handle_connection, sock=listener)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def _handle_connection(self, reader, writer):
        self.writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def serve(self, reader, writer):
        raise NotImplementedError

    def drop_connections(self):
        for writer in list(self.writers):
            if writer.transport:
                writer.transport.abort()

    def stop(self):
        if self.server:
            self.server.close()
        self.drop_connections()


class Store(Server):
    """The platform's store: compacted topics of keyed records, with long polls."""

    def __init__(self):
        super().__init__()
        self.topics = {}
        self.append_times = {}  # per topic, of each record
        self.first_offset = {}
        self.era = 0  # number of returns from an older copy; in a header unless 0
        self.sends_era = True
        self.is_away = False  # connections are reset
        self.changed = asyncio.Condition()
        self.status = None  # respond to every call with this status
        self.never_responds = False
        self.delay_s = 0.0
        self.notifies_readers = True  # False: long polls end only at their timeout
        self.silent_writers = set()  # connections that get no further response
        self.calls = 0

    def records(self, topic):
        return self.topics.setdefault(topic, [])

    def append(self, topic, key, value):
        self.records(topic).append((key, value))
        self.append_times.setdefault(topic, []).append(time.time())

    async def put(self, topic, key, value):
        """Appends a record; `value` None deletes the key."""
        async with self.changed:
            self.append(topic, key, value)
            self.changed.notify_all()

    async def return_from_copy(self, copied_at, away_s):
        """Goes away and returns from the copy of a time; what came later is lost."""
        self.is_away = True
        self.drop_connections()
        await asyncio.sleep(away_s)
        async with self.changed:
            for topic, times in self.append_times.items():
                kept = sum(appended <= copied_at for appended in times)
                del self.topics[topic][kept:], times[kept:]
                self.first_offset[topic] = min(self.first_offset.get(topic, 0), kept)
            self.era += 1
            self.is_away = False
            self.changed.notify_all()

    async def compact_topic(self, topic):
        """Deletes the history of the topic; the newest record of each key remains."""
        async with self.changed:
            self.first_offset[topic] = len(self.records(topic))
            self.changed.notify_all()

    async def put_without_history(self, topic, key, value):
        """Appends a record and deletes the history before a waiting read gets it."""
        async with self.changed:
            self.append(topic, key, value)
            self.first_offset[topic] = len(self.records(topic))
            self.changed.notify_all()

    def silence_connections(self):
        """Open connections get no further response and no reset; new ones work."""
        self.silent_writers |= self.writers

    def newest_records(self, topic):
        found = {}
        for offset, (key, value) in enumerate(self.records(topic)):
            found[key] = (offset, value)
        return {k: v for k, v in found.items() if v[1] is not None}

    async def serve(self, reader, writer):
        while True:
            message = await read_message(reader)
            if message is None:
                return
            self.calls += 1
            if self.is_away:
                writer.transport.abort()
                return
            if self.never_responds:
                await asyncio.sleep(3600)
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            line, _, body = message
            if self.status:
                response = self.respond(self.status)
            else:
                method, target, _ = line.split(" ")
                response = await self.handle_call(method, target, body)
            if writer in self.silent_writers:
                await asyncio.sleep(3600)
            writer.write(response)
            await writer.drain()

    def respond(self, status, body=b""):
        has_era = self.sends_era and self.era > 0
        headers = {"Store-Era": self.era} if has_era else {}
        return encode_response(status, headers, body)

    async def handle_call(self, method, target, body):
        path, _, query = target.partition("?")
        arguments = dict(item.split("=") for item in query.split("&") if item)
        topic = arguments.get("topic", "")
        if path == "/log-append":
            position = 0
            while position < len(body):
                (length,) = struct.unpack(">I", body[position : position + 4])
                content = body[position + 4 : position + 4 + length]
                position += 4 + length
                size = content[0]
                key, value = content[1 : 1 + size], content[1 + size :]
                await self.put(topic, key.decode(), value or None)
            text = json.dumps({"end_offset": len(self.records(topic))})
            return self.respond(200, text.encode())
        if path == "/log-newest":
            items = [
                {
                    "key": key,
                    "value": base64.b64encode(value).decode(),
                    "offset": offset,
                }
                for key, (offset, value) in self.newest_records(topic).items()
            ]
            end = len(self.records(topic))
            text = {"items": items, "has_more": False, "end_offset": end}
            return self.respond(200, json.dumps(text).encode())
        if path == "/log-read":
            return await self.read(topic, arguments)
        return self.respond(404)

    async def read(self, topic, arguments):
        start = int(arguments["from"])
        wait_s = int(arguments.get("wait_ms", 0)) / 1000
        first = self.first_offset.get(topic, 0)
        if not first <= start <= len(self.records(topic)):
            return self.respond(410, json.dumps({"first_offset": first}).encode())

        def has_new_records():
            return len(self.records(topic)) > start

        if wait_s and not has_new_records() and not self.notifies_readers:
            await asyncio.sleep(wait_s)
        elif wait_s and not has_new_records():
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait_for(has_new_records), wait_s)
                except asyncio.TimeoutError:
                    pass
        records = self.records(topic)
        text = struct.pack(">QQ", len(records), self.first_offset.get(topic, 0))
        for key, value in records[max(start, self.first_offset.get(topic, 0)):]:
            content = bytes([len(key)]) + key.encode() + (value or b"")
            text += struct.pack(">I", len(content)) + content
        return self.respond(200, text)


class Proxy(Server):
    """A TCP proxy between the VMs and the store that injects network faults."""

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

        async def copy(source, sink, is_response):
            while True:
                data = await source.read(65536)
                if not data:
                    break
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                if self.mode == "silent" or (self.mode == "one_way" and is_response):
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


# Per fault, the start of a response and the data that is then sent without end.
# HEAD stands for the headers of a regular response.
ENDLESS_RESPONSES = {
    "endless_start": ("", b"x" * 65536),
    "endless_field": ("HTTP/1.1 200 X\r\nHEADX-Long: ", b"x" * 65536),
    "endless_fields": ("HTTP/1.1 200 X\r\nHEAD", b"X-Field: x\r\n" * 6000),
    "endless_interim": ("", b"HTTP/1.1 102 X\r\n\r\n" * 3000),
    "endless_body": ("HTTP/1.1 200 X\r\nHEADConnection: close\r\n\r\n", b"x" * 65536),
    "endless_failure": ("HTTP/1.1 500 X\r\nHEADConnection: close\r\n\r\n", b"x" * 65536),
    "endless_chunk_size": (
        "HTTP/1.1 200 X\r\nHEADTransfer-Encoding: chunked\r\n\r\n", b"0" * 65536),
    "endless_extension": (
        "HTTP/1.1 200 X\r\nHEADTransfer-Encoding: chunked\r\n\r\n5;a=", b"x" * 65536),
    "endless_trailer": (
        "HTTP/1.1 200 X\r\nHEADTransfer-Encoding: chunked\r\n\r\n0\r\nX-Long: ",
        b"x" * 65536),
}

# Per fault, the start of a response, which is followed by HELD_BYTES and then by nothing.
HELD_RESPONSES = {
    "held_head": "HTTP/1.1 200 X\r\nHEADX-Long: ",
    "held_trailer": ENDLESS_RESPONSES["endless_trailer"][0],
    "held_extension": ENDLESS_RESPONSES["endless_extension"][0],
}
HELD_BYTES = 250_000


class Upstream(Server):
    """An upstream that registers itself in the store and records its runs."""

    def __init__(self, store, name, service, slots=2, failure_domain="z1"):
        super().__init__()
        self.store = store
        self.name = name
        self.service = service
        self.slots = slots
        self.failure_domain = failure_domain
        self.state = "ready"
        self.sequence = 0
        self.started_ms = int(time.time() * 1000)
        self.service_time_s = 0.01
        self.body_delay_s = 0.0  # between reading the head and the body of a request
        self.response_bytes = None  # length of response bodies; None for a short text
        self.runs = []  # (time, request id, headers, body, request line)
        self.cancelled = []
        self.rate_limit = None  # value of the field that limits the fleet's requests/s
        self.cold_until = 0.0  # announced as the time that it stays cold
        self.is_leaving = False  # True or a value: stated in every response
        self.retry_after = None  # value of the field in rejections ("shed")
        self.arrivals = []  # (time, request id) of all requests, including rejected ones
        self.rejections = []  # (time, request id, Retry-After or None)
        self.fault = None  # callable(headers) -> name of a fault, or None
        self.last_refused_id = ""
        self.endless_bytes = 0  # sent by faults of ENDLESS_RESPONSES
        self.idle_reset_after_s = None  # resets a connection on a request after this idle time
        self.running = 0

    async def register(self, **overrides):
        self.sequence += 1
        entry = {
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": self.failure_domain,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "warmup_left_ms": max(0, int((self.cold_until - time.time()) * 1000)),
            "sequence": self.sequence,
            "born": self.started_ms,
        }
        entry.update(overrides)
        text = json.dumps(entry).encode()
        await self.store.put("keyed.servers", self.name, text)

    async def unregister(self):
        await self.store.put("keyed.servers", self.name, None)

    async def send_endless_response(self, writer, fault, response_headers):
        """Sends an endless head or body until the peer closes the connection."""
        start, filler = ENDLESS_RESPONSES[fault]
        head = "".join(f"{name}: {value}\r\n" for name, value in response_headers.items())
        writer.write(start.replace("HEAD", head).encode())
        try:
            while not writer.transport.is_closing():
                writer.write(filler)
                self.endless_bytes += len(filler)
                await writer.drain()
        except ConnectionError:
            pass

    async def send_held_response(self, writer, fault, response_headers):
        head = "".join(f"{name}: {value}\r\n" for name, value in response_headers.items())
        writer.write(HELD_RESPONSES[fault].replace("HEAD", head).encode() + b"x" * HELD_BYTES)
        await writer.drain()
        await asyncio.sleep(30)

    def notice_headers(self):
        """Fields that tell about the upstream itself, in every response."""
        headers = {}
        if self.rate_limit is not None:
            headers["Server-Limit"] = self.rate_limit
        if self.is_leaving:
            headers["Server-Leaving"] = "1" if self.is_leaving is True else self.is_leaving
        return headers

    def seal(self, request_id):
        return f"seal-{self.name}-{request_id}"

    async def serve(self, reader, writer):
        idle_since = None
        while True:
            message = await read_message(reader, self.body_delay_s)
            if message is None:
                return
            resets_idle = self.idle_reset_after_s is not None and idle_since is not None
            if resets_idle and time.time() - idle_since > self.idle_reset_after_s:
                writer.transport.abort()
                return
            idle_since = time.time() + self.service_time_s
            line, headers, body = message
            request_id = headers.get("briarhub-request-id", "")
            target_instance = headers.get("briarhub-target-instance")
            if target_instance and target_instance != self.name:
                writer.write(
                    encode_response(421, {"Briarhub-Request-Id": request_id})
                )
                continue
            self.arrivals.append((time.time(), request_id))
            fault = self.fault(headers) if self.fault else None
            if fault == "shed":
                self.last_refused_id = request_id
                self.rejections.append((time.time(), request_id, self.retry_after))
                rejection_headers = {
                    "Briarhub-Request-Id": request_id,
                    "Briarhub-Not-Executed": "1",
                    **self.notice_headers(),
                }
                if self.retry_after is not None:
                    rejection_headers["Retry-After"] = self.retry_after
                writer.write(encode_response(503, rejection_headers))
                continue
            self.runs.append((time.time(), request_id, headers, body, line))
            if fault in ("repeated_refusal", "repeated_refusal_without_id"):
                refusal_headers = {"Briarhub-Not-Executed": "1", "Retry-After": "0.1"}
                if fault == "repeated_refusal":
                    refusal_headers["Briarhub-Request-Id"] = self.last_refused_id
                writer.write(encode_response(503, refusal_headers, b"full"))
            if fault == "reset":
                writer.transport.abort()
                return
            if fault == "partial_head":
                head = encode_response(
                    200,
                    {"Briarhub-Request-Id": request_id,
                     "Briarhub-Response-Seal": self.seal(request_id)},
                )
                writer.write(head.removesuffix(b"\r\n"))
                await writer.drain()
                return
            if fault == "hang":
                try:
                    await asyncio.wait_for(reader.read(1), 30)
                except asyncio.TimeoutError:
                    pass
                self.cancelled.append(request_id)
                return
            self.running += 1
            try:
                await asyncio.sleep(self.service_time_s)
            finally:
                self.running -= 1
            response_headers = {
                "Briarhub-Request-Id": request_id,
                "Briarhub-Response-Seal": self.seal(request_id),
                "Keep-Alive": "timeout=10",
                **self.notice_headers(),
            }
            text = f"answer of {self.name} to {request_id}".encode()
            if self.response_bytes is not None:
                text = b"x" * self.response_bytes
            if fault == "error":
                writer.write(encode_response(500, response_headers, b"failed"))
            elif fault == "truncate":
                writer.write(encode_response(200, response_headers, text)[:-4])
                await writer.drain()
                return
            elif fault == "extra":
                other_headers = dict(response_headers, **{"Briarhub-Request-Id": "other"})
                writer.write(encode_response(200, response_headers, text))
                writer.write(encode_response(200, other_headers, b"not yours"))
            elif fault == "no_length":
                head = "HTTP/1.1 200 X\r\nConnection: close\r\n"
                head += "".join(
                    f"{n}: {v}\r\n" for n, v in response_headers.items() if n != "Keep-Alive"
                )
                writer.write(head.encode() + b"\r\n" + text)
                await writer.drain()
                return
            elif fault in ENDLESS_RESPONSES:
                await self.send_endless_response(writer, fault, response_headers)
                return
            elif fault and fault.startswith("status "):
                writer.write(encode_response(fault.split()[1], response_headers, text))
            elif fault in HELD_RESPONSES:
                await self.send_held_response(writer, fault, response_headers)
                return
            elif fault == "large":
                writer.write(encode_response(200, response_headers, b"x" * 6_000_000))
            else:
                writer.write(encode_response(200, response_headers, text))
            await writer.drain()


class Response:
    """A response as the caller received it; `status` 0 means a closed connection."""

    def __init__(self, status=0, headers=None, body=b"", elapsed_s=0.0):
        self.status = status
        self.headers = headers or {}
        self.body = body
        self.elapsed_s = elapsed_s


class Caller:
    """A caller with one persistent connection."""

    def __init__(self, port):
        self.port = port
        self.reader = None
        self.writer = None

    async def connect(self):
        self.reader, self.writer = await asyncio.open_connection(
            "127.0.0.1", self.port
        )

    async def send(self, request_id, path, key="key-a", method="GET", body=b"",
                   remaining_ms=2500, host="h.example", extra_header=""):
        if self.writer is None:
            await self.connect()
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {host}",
            f"Briarhub-Request-Id: {request_id}",
            f"Briarhub-Deadline-Remaining: {remaining_ms}",
        ]
        if key:
            lines.append(f"Api-Key: {key}")
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        if extra_header:
            lines.append(extra_header)
        self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        await self.writer.drain()

    async def receive(self, started):
        message = await read_message(self.reader)
        elapsed_s = time.time() - started
        if message is None:
            self.close()
            return Response(elapsed_s=elapsed_s)
        line, headers, body = message
        if headers.get("connection", "").lower() == "close":
            self.close()
        return Response(int(line.split(" ")[1]), headers, body, elapsed_s)

    async def request(self, request_id, path, **options):
        started = time.time()
        try:
            await self.send(request_id, path, **options)
            return await self.receive(started)
        except (ConnectionError, OSError):
            self.close()
            return Response(elapsed_s=time.time() - started)

    def close(self):
        if self.writer:
            self.writer.transport.abort()
        self.reader = self.writer = None
