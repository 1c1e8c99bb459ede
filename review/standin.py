"""Stand-ins for the scripts in this folder: the platform's store, runners, clients, and instances of
bendsaddle that run as separate processes. Only the standard library. All addresses are loopback."""

import asyncio, json, os, random, shutil, signal, socket, subprocess, sys, tempfile, time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PROGRAM = os.path.join(ROOT, "target", "release", "bendsaddle-platform")
START = time.monotonic()


def now():
    return time.monotonic() - START


class Record:
    """What was sent, answered and run, one line each."""

    def __init__(self, path):
        self.file = open(path, "w")

    def __call__(self, what, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{now():9.4f} {what} {text}\n")

    def close(self):
        self.file.close()


def free_ports(count, host="127.0.0.1"):
    """Ports that are free now; each lies outside the range of ports given to outgoing connections."""
    ports, port = [], 15000 + (os.getpid() * 37) % 9000
    while len(ports) < count:
        port += 1
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(socket.AF_INET, kind) as probe:
                    probe.bind((host, port))
            ports.append(port)
        except OSError:
            pass
    return ports


# HTTP/1.1


async def read_head(reader):
    """The first line and the headers of a message; `None` at the end of the connection."""
    try:
        text = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = text.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers, answer=False):
    """The body of a message and whether it is whole."""
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            body = b""
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                if size == 0:
                    await reader.readuntil(b"\r\n")
                    return body, True
                body += await reader.readexactly(size)
                await reader.readexactly(2)
        if "content-length" in headers:
            return await reader.readexactly(int(headers["content-length"])), True
        if answer:
            return await reader.read(), True
        return b"", True
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return b"", False


def message(first, headers, body=b""):
    lines = [first] + [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def close(writer):
    try:
        writer.close()
    except RuntimeError:
        pass  # the loop has ended


# The platform's store


class Store:
    """The metadata store: objects by kind and name, conditional writes, watches."""

    def __init__(self):
        self.objects, self.events, self.revision = {}, [], 100
        self.changed = None
        self.address = None

    async def start(self):
        self.changed = asyncio.Condition()
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "%s:%d" % server.sockets[0].getsockname()[:2]

    def encode(self, name, revision, spec):
        meta = {"name": name, "revision": revision, "created": 1, "finalizers": [], "deleting": False}
        return {"metadata": meta, "spec": spec, "status": None}

    async def put(self, kind, name, spec):
        if self.objects.get((kind, name), (0, None))[1] == spec:
            return
        self.revision += 1
        self.objects[kind, name] = (self.revision, spec)
        self.events.append((self.revision, kind, self.encode(name, self.revision, spec), False))
        async with self.changed:
            self.changed.notify_all()

    async def remove(self, kind, name):
        found = self.objects.pop((kind, name), None)
        if found:
            self.revision += 1
            self.events.append((self.revision, kind, self.encode(name, self.revision, found[1]), True))
            async with self.changed:
                self.changed.notify_all()

    async def serve(self, reader, writer):
        try:
            while head := await read_head(reader):
                method, target, _ = head[0].split(" ")
                body, _ = await read_body(reader, head[1])
                status, answer = await self.answer(method, target, body)
                writer.write(message(f"HTTP/1.1 {status} Answer", [("Content-Type", "application/json")],
                                     json.dumps(answer).encode()))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            close(writer)

    async def answer(self, method, target, body):
        path, _, query = target.partition("?")
        query = dict(part.split("=", 1) for part in query.split("&") if "=" in part)
        parts = path.split("/")[3:]
        kind = parts[0]
        if method == "GET" and len(parts) == 2:
            if (kind, parts[1]) not in self.objects:
                return 404, {}
            return 200, self.encode(parts[1], *self.objects[kind, parts[1]])
        if method == "GET" and "watch" in query:
            since, until = int(query["watch"]), time.monotonic() + int(query.get("wait_ms", 0)) / 1000
            while True:
                events = [event for event in self.events if event[0] > since and event[1] == kind]
                left = until - time.monotonic()
                if events or left <= 0:
                    break
                async with self.changed:
                    try:
                        await asyncio.wait_for(self.changed.wait(), left)
                    except asyncio.TimeoutError:
                        pass
            return 200, {"events": [{"object": event[2], "deleted": event[3]} for event in events],
                         "timestamp": self.revision}
        if method == "GET":
            names = sorted(name for (its, name) in self.objects if its == kind and name > query.get("after", ""))
            items = [self.encode(name, *self.objects[kind, name]) for name in names]
            return 200, {"items": items, "has_more": False, "timestamp": self.revision}
        sent = json.loads(body)
        name = sent["metadata"]["name"]
        known = self.objects.get((kind, name))
        if method == "POST" and known:
            return 409, self.encode(name, *known)
        if method == "PUT" and not known:
            return 404, {}
        if method == "PUT" and sent["metadata"].get("revision", known[0]) != known[0]:
            return 409, self.encode(name, *known)
        await self.put(kind, name, sent["spec"])
        return 200, self.encode(name, *self.objects[kind, name])


# Instances


class Instance:
    """One process of the system, with the settings that the deploy file's template gives."""

    def __init__(self, folder, number, store, bounds=None):
        self.name, self.ip = f"front-{number}", f"127.0.0.{10 + number}"
        callers, health, peers, operators = free_ports(4, self.ip)
        self.callers, self.health = (self.ip, callers), (self.ip, health)
        self.peers = (self.ip, peers)
        self.log = os.path.join(folder, f"{self.name}.log")
        self.settings = os.path.join(folder, f"{self.name}.jsonc")
        self.first, self.process, self.store = True, None, store
        self.routing = {
            "machine": self.ip, "retryRatio": 0.2, "retrySlack": 54, "retryWindowMs": 10000,
            "firstStart": True, "leaseMs": 3000, "groups": 1, "loadWindowMs": 5000, "loadOverage": 1.1,
            "graceMs": 8000, "memoryMb": 260,
            "features": {"pace": True, "callerStrain": True, "expectedTime": True, "tokenMemory": True,
                         "returns": True, "readerBounds": True},
            "cores": 0.25, "linkMbps": 1000.0, **(bounds or {}),
        }
        self.operators = f"{self.ip}:{operators}"

    def start(self):
        routing = {**self.routing, "firstStart": self.first}
        self.first = False
        text = json.dumps({
            "instance": self.name, "zone": "zone-a", "callers": "%s:%d" % self.callers,
            "health": "%s:%d" % self.health, "peers": "%s:%d" % self.peers, "operators": self.operators,
            "platform": self.store, "routing": routing})
        with open(self.settings, "w") as file:
            file.write(text)
        with open(self.log, "a") as log:
            self.process = subprocess.Popen([PROGRAM, "serve", "--settings", self.settings], cwd=ROOT,
                                            stdin=subprocess.DEVNULL, stdout=log, stderr=log)

    def signal(self, number):
        self.process.send_signal(number)

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process:
            self.process.wait()

    async def ready(self):
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(*self.health), 0.5)
            writer.write(b"GET /api/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 0.5)
            writer.close()
            return bool(head) and head[0].split(" ")[1] == "200"
        except (OSError, asyncio.TimeoutError):
            return False

    async def wait_ready(self):
        until = time.monotonic() + 15
        while not await self.ready():
            if time.monotonic() > until or self.process.poll() is not None:
                raise RuntimeError(f"{self.name} is not ready")
            await asyncio.sleep(0.05)


# A plain service


class Runner:
    """A runner of a plain service: `slots` requests at once, `queue` more wait, others are declined
    with 503 and `Bendsaddle-Not-Executed`. A faulty one sends a share of its answers twice: the copy
    comes late, in the place of the next answer due on that connection."""

    def __init__(self, name, service, store, record, slots=6, queue=24, work=0.06, twice=0.0, seed=1):
        self.id, self.service, self.store, self.record = name, service, store, record
        self.slots, self.queue, self.work, self.twice = slots, queue, work, twice
        self.random = random.Random(seed)
        self.busy, self.waiting, self.seq = 0, [], 0
        self.connections, self.server = set(), None
        self.runs, self.arrivals, self.declined, self.copies = {}, {}, 0, 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        await self.enter()

    async def stop(self):
        """Ends as a process does: its port and its connections are closed. Its entry goes after three
        heartbeats of silence."""
        self.server.close()
        for writer in list(self.connections):
            writer.close()
        asyncio.get_running_loop().call_later(
            3 * 1.2, lambda: asyncio.ensure_future(self.store.remove("servers", self.id)))

    async def enter(self, state="ready"):
        await self.store.put("servers", self.id, {
            "service": self.service, "address": self.address, "zone": "zone-a", "version": "v1",
            "slots": self.slots, "state": state, "cold_left_ms": 0, "seq": 0})

    async def serve(self, reader, writer):
        copy = None
        self.connections.add(writer)
        try:
            while head := await read_head(reader):
                body, whole = await read_body(reader, head[1])
                if not whole:
                    break
                request = head[1].get("bendsaddle-request-id", "")
                if copy:
                    self.record("copy-sent", runner=self.id, on=id(writer) % 99991, before=request, copy=copy[0])
                    writer.write(copy[1])
                    self.copies += 1
                    copy = None
                answer = await self.answer(head, request, id(writer) % 99991)
                writer.write(answer)
                await writer.drain()
                if request and self.random.random() < self.twice:
                    copy = (request, answer)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            close(writer)

    async def answer(self, head, request, connection):
        method, path, _ = head[0].split(" ")
        ids = [("Bendsaddle-Request-Id", request), ("Bendsaddle-Instance-Id", self.id)]
        expected = head[1].get("bendsaddle-expect-instance", self.id)
        if expected != self.id:
            return message("HTTP/1.1 421 Misdirected", ids)
        if not request:
            return message("HTTP/1.1 200 OK", ids)
        self.arrivals[request] = self.arrivals.get(request, 0) + 1
        if self.busy >= self.slots and len(self.waiting) >= self.queue:
            self.declined += 1
            self.record("declined", runner=self.id, on=connection, request=request)
            return message("HTTP/1.1 503 Full", ids + [("Bendsaddle-Not-Executed", "1")])
        if self.busy >= self.slots:
            turn = asyncio.get_running_loop().create_future()
            self.waiting.append(turn)
            await turn
        else:
            self.busy += 1
        self.runs[request] = self.runs.get(request, 0) + 1
        self.record("run", runner=self.id, on=connection, request=request, time=self.runs[request])
        await asyncio.sleep(self.work * self.random.uniform(0.5, 1.5))
        self.seq += 1
        if self.waiting:
            self.waiting.pop(0).set_result(None)
        else:
            self.busy -= 1
        stamp = f"{self.id}.{self.seq}"
        answer = message("HTTP/1.1 200 OK", ids + [("Bendsaddle-Server-Stamp", stamp)], b"x" * 800)
        return answer[:-800] if method == "HEAD" else answer


# Clients


class Client:
    """A client with one kept connection, which sends one request after another."""

    def __init__(self, name, address, record, path="/export/", host="site.example", method="POST",
                 deadline_ms=4000, seed=1):
        self.name, self.address, self.record = name, address, record
        self.path, self.host, self.method, self.deadline_ms = path, host, method, deadline_ms
        self.random = random.Random(f"{name}-{seed}")
        self.connection, self.answers, self.sent = None, {}, 0

    async def close(self):
        if self.connection:
            self.connection[1].close()
        self.connection = None

    async def request(self, body=b"{}", headers=()):
        """Sends one request with an id of its own; returns the id and the answer's status (0: none)."""
        self.sent += 1
        name = f"{self.random.getrandbits(64):016x}"
        try:
            if not self.connection:
                self.connection = await asyncio.wait_for(asyncio.open_connection(*self.address), 1)
        except (OSError, asyncio.TimeoutError):
            self.connection = None
            self.answers[name] = 0
            return name, 0
        reader, writer = self.connection
        fields = [("Host", self.host), ("Bendsaddle-Request-Id", name),
                  ("Bendsaddle-Deadline-Ms", str(self.deadline_ms)), *headers]
        self.record("sent", client=self.name, request=name)
        status, after = 0, 0.0
        try:
            writer.write(message(f"{self.method} {self.path} HTTP/1.1", fields, body))
            head = await asyncio.wait_for(read_head(reader), self.deadline_ms / 1000)
            if head:
                _, whole = await asyncio.wait_for(read_body(reader, head[1], True), self.deadline_ms / 1000)
                status = int(head[0].split(" ")[1]) if whole else 0
                after = float(head[1].get("retry-after", 0))
        except (ConnectionError, asyncio.TimeoutError):
            pass
        if not status or head[1].get("connection", "") == "close":
            await self.close()
        self.record("answered", client=self.name, request=name, status=status)
        self.answers[name] = status
        if status in (429, 503):
            await asyncio.sleep(min(after, self.deadline_ms / 3000))
        return name, status


def configuration(routes, services, version=1, **more):
    return {"version": version, "routes": routes, "services": services,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000}, **more}


def route(name, service, kind="unsafe", attempts=2, timeout_ms=4000, objective_ms=300, **more):
    return {"name": name, "host": "site.example", "path_prefix": f"/{name}/", "kind": kind,
            "timeout_ms": timeout_ms, "target_latency_ms": objective_ms, "priority": 2, "service": service,
            "max_attempts": attempts, **more}


def play(case):
    """Runs `case(folder, record)` and exits with its verdict: True means that the rule was broken."""
    here = os.path.dirname(os.path.abspath(case.__code__.co_filename))
    folder = tempfile.mkdtemp(prefix="review-")
    record, instances = Record(os.path.join(here, "record.txt")), []
    code = 2
    # Ends the instances also when the script itself is ended.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        broken = asyncio.run(case(folder, record, instances))
        code = 1 if broken else 0
    except Exception as error:
        record("could-not-run", error=repr(error))
        print("could not run:", repr(error))
    finally:
        for instance in instances:
            instance.end()
        record("exit", code=code)
        record.close()
        if os.environ.get("REVIEW_LOGS"):
            shutil.copytree(folder, os.environ["REVIEW_LOGS"], dirs_exist_ok=True)
        shutil.rmtree(folder, ignore_errors=True)
    raise SystemExit(code)
