"""Stand-ins of the platform's store, of runners and of clients, and the start of instances.

`python3 standin2.py runner SPEC` is a runner, a process of its own. The store and the clients run
as threads of the script that imports this file. Only loopback addresses are used.
"""
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import uuid

ROOT = os.environ.get("REPOSITORY", os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target/release/bendsaddle-platform")
HEARTBEAT_S = 1.2


# ---------------------------------------------------------------- HTTP

def read_head(stream):
    """Reads a head from a buffered stream; returns its first line and headers, or None at the end."""
    line = stream.readline()
    while line in (b"\r\n", b"\n"):
        line = stream.readline()
    if not line:
        return None
    headers = {}
    while True:
        part = stream.readline()
        if not part:
            return None
        if part in (b"\r\n", b"\n"):
            return line.decode("latin1").strip(), headers
        name, _, value = part.decode("latin1").partition(":")
        headers[name.strip().lower()] = value.strip()


def read_body(stream, headers):
    """Reads the body of a request."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int(stream.readline().split(b";")[0], 16)
            body += stream.read(size)
            stream.readline()
            if size == 0:
                return body
    return stream.read(int(headers.get("content-length", 0)))


def listen(address):
    server = socket.socket()
    server.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    server.bind(address)
    server.listen(256)
    return server


def accept_forever(server, handle):
    def run():
        while True:
            try:
                connection, _ = server.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=handle, args=(connection,), daemon=True).start()
    threading.Thread(target=run, daemon=True).start()


def free_port(host="127.0.0.1"):
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


# ---------------------------------------------------------------- the store

class Store:
    """The platform's store: objects by kind and name, one revision, watches."""

    def __init__(self):
        self.lock = threading.Condition()
        self.revision = 1
        self.objects = {}
        self.events = []
        self.fault = lambda peer, method, path: None
        self.server = listen(("127.0.0.1", 0))
        self.address = "127.0.0.1:%d" % self.server.getsockname()[1]
        accept_forever(self.server, self.serve)

    def put(self, kind, name, spec, metadata=None):
        """Writes an object; returns the status and the object as it is then."""
        with self.lock:
            known = self.objects.get((kind, name))
            expected = (metadata or {}).get("revision")
            if expected is not None and (known is None or known["metadata"]["revision"] != expected):
                return (404, {}) if known is None else (409, known)
            if known is not None and known["spec"] == spec:
                return 200, known
            self.revision += 1
            created = known["metadata"]["created"] if known else self.revision
            entry = {"metadata": {"name": name, "revision": self.revision, "created": created,
                                  "finalizers": [], "deleting": False},
                     "spec": spec, "status": known["status"] if known else None}
            self.objects[(kind, name)] = entry
            self.events.append((self.revision, kind, entry, False))
            self.lock.notify_all()
            return 200, entry

    def remove(self, kind, name):
        with self.lock:
            known = self.objects.pop((kind, name), None)
            if known is not None:
                self.revision += 1
                self.events.append((self.revision, kind, known, True))
                self.lock.notify_all()

    def serve(self, connection):
        peer = connection.getpeername()[0]
        stream = connection.makefile("rb")
        try:
            while True:
                head = read_head(stream)
                if head is None:
                    return
                method, target, _ = head[0].split(" ")
                body = read_body(stream, head[1])
                fault = self.fault(peer, method, target)
                if fault == "silent":
                    time.sleep(60)
                    return
                if fault == "busy":
                    status, answer = 503, {}
                else:
                    status, answer = self.answer(method, target, body)
                if fault == "lost":
                    time.sleep(60)
                    return
                data = json.dumps(answer).encode()
                connection.sendall(b"HTTP/1.1 %d Store\r\nContent-Type: application/json\r\n"
                                   b"Content-Length: %d\r\n\r\n" % (status, len(data)) + data)
        except (OSError, ValueError):
            pass
        finally:
            connection.close()

    def answer(self, method, target, body):
        path, _, query = target.partition("?")
        query = dict(part.split("=", 1) for part in query.split("&") if "=" in part)
        parts = path.split("/")[3:]
        kind, name = parts[0], parts[1] if len(parts) > 1 else None
        if method == "GET" and name is None and "watch" in query:
            return self.watch(kind, int(query["watch"]), int(query.get("wait_ms", 0)))
        sent = json.loads(body) if body else {}
        with self.lock:
            if method == "GET" and name is None:
                after = query.get("after", "")
                items = [entry for (k, n), entry in sorted(self.objects.items())
                         if k == kind and n > after]
                return 200, {"items": items[:500], "has_more": len(items) > 500,
                             "timestamp": self.revision}
            if method == "GET":
                known = self.objects.get((kind, name))
                return (200, known) if known else (404, {})
            if method == "POST":
                name = sent["metadata"]["name"]
                if (kind, name) in self.objects:
                    return 409, self.objects[(kind, name)]
                return 201, self.put(kind, name, sent.get("spec"))[1]
            if method == "PUT":
                if (kind, name) not in self.objects:
                    return 404, {}
                return self.put(kind, name, sent.get("spec"), sent.get("metadata"))
            if method == "DELETE":
                self.remove(kind, name)
                return 200, {}
        return 400, {}

    def watch(self, kind, since, wait_ms):
        until = time.monotonic() + wait_ms / 1000
        with self.lock:
            while True:
                news = [(revision, entry, gone) for revision, k, entry, gone in self.events
                        if k == kind and revision > since]
                left = until - time.monotonic()
                if news or left <= 0:
                    return 200, {"events": [{"object": entry, "deleted": gone}
                                            for _, entry, gone in news],
                                 "timestamp": self.revision}
                self.lock.wait(left)


# ---------------------------------------------------------------- runners

def store_call(store, method, path, body):
    """One call of a runner to the store."""
    host, port = store.rsplit(":", 1)
    data = json.dumps(body).encode()
    with socket.create_connection((host, int(port)), timeout=5) as connection:
        connection.sendall(("%s %s HTTP/1.1\r\nHost: store\r\nContent-Length: %d\r\n\r\n"
                            % (method, path, len(data))).encode() + data)
        head = read_head(connection.makefile("rb"))
        return int(head[0].split(" ")[1])


class Runner:
    """A runner: serves requests, enters itself into the store, logs what it runs.

    What it does with a request follows from the request's path, after the route's prefix:
    PIECES-PAUSE_MS-FRAMING, for example `40-100-close`; framing is `close`, `length` or `chunked`.
    Where the path does not say, the answer has an event for 5 of the tokens asked for.
    A runner with `framed` states a length instead of `close`.
    """

    def __init__(self, spec):
        self.spec = spec
        self.id = spec["id"]
        self.state = "ready"
        self.seq = 0
        self.lock = threading.Lock()
        self.models = set(spec.get("models", []))
        self.loading = None
        self.orders = 0
        self.in_flight = 0
        self.log_lock = threading.Lock()
        self.log_file = open(spec["log"], "a", buffering=1)
        host, port = spec["address"].rsplit(":", 1)
        self.server = listen((host, int(port)))
        # SIGUSR1: it is to be taken away at short notice, as an operator of the machines decides.
        signal.signal(signal.SIGUSR1, lambda *_: self.drain())
        # SIGUSR2: it leaves as planned without a word: it writes no more, and serves on.
        signal.signal(signal.SIGUSR2, lambda *_: self.leave())
        accept_forever(self.server, self.serve)
        self.enter()

    def log(self, what, **fields):
        with self.log_lock:
            self.log_file.write(json.dumps({"at": time.time(), "runner": self.id, "what": what,
                                            **fields}) + "\n")

    def entry(self):
        if "engine" in self.spec:
            return {**self.plain_entry(), "stage": "both", "models": self.held(),
                    "available": {"in_memory": [], "on_disk": []}}
        return self.plain_entry()

    def held(self):
        with self.lock:
            return [{"name": name, "version": 1, "adapters": []} for name in sorted(self.models)]

    def plain_entry(self):
        entry = {"service": self.spec["service"], "address": self.spec["address"],
                 "zone": self.spec.get("zone", "z1"), "version": "v1",
                 "slots": self.spec.get("slots", 64), "state": self.state, "cold_left_ms": 0,
                 "seq": self.seq}
        if self.state == "draining" and "notice_ms" in self.spec:
            entry["remaining_ms"] = self.spec["notice_ms"]
        return entry

    def drain(self):
        self.state = "draining"
        self.log("draining")
        threading.Thread(target=self.enter, daemon=True).start()

    def leave(self):
        self.state = "left"
        self.log("leaves without a word")

    def enter(self):
        if self.state == "left":
            return
        self.seq += 1
        try:
            path = "/api/objects/servers"
            entry = self.entry()
            status = store_call(self.spec["store"], "PUT", path + "/" + self.id,
                                {"metadata": {"name": self.id}, "spec": entry})
            if status == 404:
                store_call(self.spec["store"], "POST", path,
                           {"metadata": {"name": self.id}, "spec": entry})
        except OSError as error:
            self.log("store", error=str(error))

    def run(self):
        while True:
            time.sleep(HEARTBEAT_S)
            self.enter()

    def serve(self, connection):
        stream = connection.makefile("rb")
        try:
            while True:
                head = read_head(stream)
                if head is None:
                    return
                method, target, _ = head[0].split(" ")
                body = read_body(stream, head[1])
                if not self.respond(connection, method, target, head[1], body):
                    return
        except (OSError, ValueError):
            pass
        finally:
            connection.close()

    def respond(self, connection, method, target, headers, body):
        if target == "/healthz":
            status = b"200 OK" if self.state == "ready" else b"503 Draining"
            connection.sendall(b"HTTP/1.1 " + status + b"\r\nBendsaddle-Instance-Id: "
                               + self.id.encode() + b"\r\nContent-Length: 0\r\n\r\n")
            return True
        if headers.get("bendsaddle-expect-instance", self.id) != self.id:
            connection.sendall(b"HTTP/1.1 421 Misdirected Request\r\nBendsaddle-Instance-Id: "
                               + self.id.encode() + b"\r\nContent-Length: 0\r\n\r\n")
            return True
        if target == "/api/report":
            return self.report(connection)
        if target == "/api/order":
            return self.take_order(connection, json.loads(body))
        request = headers.get("bendsaddle-request-id", "")
        model = headers.get("bendsaddle-model")
        if model is not None and model.split("/")[0] not in self.models:
            connection.sendall(b"HTTP/1.1 421 Misdirected Request\r\nBendsaddle-Request-Id: "
                               + request.encode() + b"\r\nBendsaddle-Instance-Id: "
                               + self.id.encode() + b"\r\nContent-Length: 0\r\n\r\n")
            return True
        self.in_flight += 1
        try:
            return self.run_request(connection, target, headers, request)
        finally:
            self.in_flight -= 1

    def report(self, connection):
        with self.lock:
            models = sorted(self.models)
            answer = {"stage": "both", "busy": self.loading is not None, "seq": self.orders,
                      "models": [{"name": name, "version": 1, "adapters": []} for name in models],
                      "queued": 0, "in_flight": self.in_flight, "kv_used": 0, "kv_total": 150000,
                      "handles": 0}
        return self.write_json(connection, 200, answer)

    def take_order(self, connection, order):
        """Loads or unloads a model; loads take as long as the configuration says."""
        with self.lock:
            model = order.get("model")
            status = 202
            if order.get("holder") is None or order.get("fencing_token") is None:
                status = 400
            elif self.loading is not None or order.get("expected", self.orders) != self.orders:
                status = 409
            elif (order["operation"] == "load") == (model in self.models):
                status = 200
            else:
                self.orders += 1
                if order["operation"] == "unload":
                    self.models.discard(model)
                else:
                    self.loading = model
                    threading.Thread(target=self.load, args=(model,), daemon=True).start()
        self.log("order", status=status, **order)
        return self.write_json(connection, status, {})

    def load(self, model):
        time.sleep(self.spec["engine"]["load_time_s"])
        with self.lock:
            self.models.add(model)
            self.loading = None
        self.enter()

    def write_json(self, connection, status, answer):
        data = json.dumps(answer).encode()
        connection.sendall(b"HTTP/1.1 %d Answer\r\nContent-Type: application/json\r\n"
                           b"Content-Length: %d\r\n\r\n" % (status, len(data)) + data)
        return True

    def run_request(self, connection, target, headers, request):
        last = target.rsplit("/", 1)[1]
        if "-" not in last:
            # As a model runner does: an event holds 5 of the tokens that the request asks for.
            tokens = headers.get("bendsaddle-token-usage", "100,100").split(",")[1]
            last = "%d-%d-chunked" % (int(tokens) // 5, self.spec.get("event_ms", 25))
        pieces, pause_ms, framing = last.split("-")
        pieces, pause = int(pieces), int(pause_ms) / 1000
        if framing == "close" and self.spec.get("framed"):
            framing = "length"
        first = int(headers.get("last-event-id", 0))
        self.log("runs", request=request, target=target, after=first)
        head = ("HTTP/1.1 200 OK\r\nBendsaddle-Request-Id: %s\r\nBendsaddle-Server-Stamp: %s.1\r\n"
                % (request, self.id))
        stream = target.split("/")[1] in ("stream", "chat", "fix")
        texts = [piece(request, number, stream) for number in range(first + 1, pieces + 1)]
        if stream:
            head += "Content-Type: text/event-stream\r\n"
        if framing == "close":
            head += "Connection: close\r\n"
        elif framing == "length":
            head += "Content-Length: %d\r\n" % sum(map(len, texts))
        else:
            head += "Transfer-Encoding: chunked\r\n"
        connection.sendall(head.encode() + b"\r\n")
        for number, text in enumerate(texts):
            time.sleep(pause)
            data = text if framing != "chunked" else b"%x\r\n%s\r\n" % (len(text), text)
            connection.sendall(data)
            self.log("sent", request=request, piece=first + number + 1)
        if framing == "chunked":
            connection.sendall(b"0\r\n\r\n")
        self.log("ends", request=request)
        return framing != "close"


def piece(request, number, stream):
    """A part of the answer to a request."""
    if stream:
        return b"id: %d\ndata: %s piece %d\n\n" % (number, request.encode(), number)
    return b"%s line %d\n" % (request.encode(), number)


# ---------------------------------------------------------------- instances, clients

class Scene:
    """The processes of a case and its record."""

    def __init__(self, folder):
        self.folder = folder
        self.temp = tempfile.mkdtemp(prefix="case-")
        self.started = time.time()
        self.lines = []
        self.processes = []
        self.runs_of_all = []
        self.store = Store()
        # Loopback addresses and internal ports of this run, so that runs do not meet.
        self.net = "127.%d.%d" % (16 + os.getpid() % 200, os.getpid() // 200 % 250)
        self.internal_ports = [free_port(), free_port()]

    def host(self, number):
        """The address of a machine of the system."""
        return "%s.%d" % (self.net, 10 + number)

    def note(self, text):
        self.lines.append("%8.3f  %s" % (time.time() - self.started, text))

    def runner(self, name, service, host="127.0.0.1", **more):
        spec = {"id": name, "service": service, "store": self.store.address,
                "address": "%s:%d" % (host, free_port(host)),
                "log": os.path.join(self.temp, name + ".log"), **more}
        path = os.path.join(self.temp, name + ".json")
        with open(path, "w") as file:
            json.dump(spec, file)
        process = subprocess.Popen([sys.executable, os.path.abspath(__file__), "runner", path])
        self.processes.append(process)
        return process

    def runs(self, name):
        with open(os.path.join(self.temp, name + ".log")) as file:
            return [json.loads(line) for line in file if line.endswith("\n")]

    def instance(self, name, host, first=True, store=None, **more):
        """Starts an instance as the deploy file does, with its template filled in."""
        ports = [free_port(host) for _ in range(4)]
        fields = {
            "node_name": name, "zone": "z1", "ip": host,
            "listen": {"front": "%s:%d" % (host, ports[0]), "ready_addr": "%s:%d" % (host, ports[1])},
            "internal_ports": more.pop("internal_ports", self.internal_ports),
            "platform": {"address": store or self.store.address}, "bootstrap": first,
            "bounds": {"budget_ratio": 0.2, "budget_slack": 54, "budget_window_s": 10,
                       "lease_ms": 3000, "ceiling_window_s": 5, "ceiling_overage": 1.1,
                       "grace_s": 8},
            "limits": {"memory_mb": 260, "cpu_share": 0.25, "link_mbps": 1000.0},
        }
        with open(os.path.join(ROOT, "deploy/settings.tmpl")) as file:
            text = fill(file.read(), fields)
        settings = os.path.join(self.temp, name + ".settings")
        with open(settings, "w") as file:
            file.write(text)
        log = open(os.path.join(self.temp, name + ".out"), "a")
        process = subprocess.Popen([PROGRAM, "serve", "--settings", settings], cwd=ROOT,
                                   stdout=log, stderr=log,
                                   env={"PATH": os.environ["PATH"], "HOME": self.temp})
        self.processes.append(process)
        process.front = (host, ports[0])
        process.ready = (host, ports[1])
        process.settings = settings
        process.log = log.name
        return process

    def wait_ready(self, instance, seconds=15):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            try:
                with socket.create_connection(instance.ready, timeout=1) as connection:
                    connection.sendall(b"GET /api/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
                    if b" 200 " in connection.recv(100):
                        return True
            except OSError:
                pass
            time.sleep(0.05)
        return False

    def end(self):
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait()
        for name in sorted(os.listdir(self.temp)):
            if name.endswith(".log"):
                self.runs_of_all += [line for line in self.runs(name[:-4]) if line["what"] != "sent"]
        shutil.rmtree(self.temp, ignore_errors=True)

    def write_record(self, verdict):
        with open(os.path.join(self.folder, "record.txt"), "w") as file:
            file.write("\n".join(self.lines) + "\n" + verdict + "\n")
            events = [(at, "client", text) for at, text in EXCHANGES]
            for line in self.runs_of_all:
                rest = {key: line[key] for key in line if key not in ("at", "runner", "what")}
                events.append((line["at"], line["runner"], "%s %s" % (line["what"], json.dumps(rest))))
            file.write("\nAll that was sent, answered and run:\n")
            for at, who, text in sorted(events):
                file.write("%8.3f  %s  %s\n" % (at - self.started, who, text))


def fill(template, fields):
    """Fills in the parts of the template language that the project's template uses."""
    def value(name):
        found = fields
        for key in name.split("."):
            found = found[int(key)] if isinstance(found, list) else found.get(key)
            if found is None:
                return None
        return found

    def section(match):
        return match.group(2) if value(match.group(1)) else ""
    template = re.sub(r"\{\{#([a-z_.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)

    def gap(match):
        found = value(match.group(1))
        return json.dumps(found) if match.group(2) else str(found if found is not None else "")
    return re.sub(r"\{\{([a-z_.0-9]+)(\|json)?\}\}", gap, template)


class Answer:
    """What a client got. `end` is `whole` (as its framing says), `cut` or `none`."""

    def __init__(self):
        self.status, self.headers, self.body, self.end, self.request = None, {}, b"", "none", ""


EXCHANGES = []


def ask(*args, **options):
    """Like `exchange`, and recorded."""
    options["request"] = options.get("request") or uuid.uuid4().hex[:16]
    front, path = args[:2]
    EXCHANGES.append((time.time(), "%s sent to %s:%d: %s" % (options["request"], *front, path)))
    answer = exchange(*args, **options)
    EXCHANGES.append((time.time(), "%s answered: %s, ends as %s, %d bytes, by %s" % (
        answer.request, answer.status, answer.end, len(answer.body),
        answer.headers.get("bendsaddle-server-stamp"))))
    return answer


def exchange(front, path, method="GET", deadline_ms=15000, headers=(), body=b"", request=None,
        timeout=20):
    """Sends a request on a new connection and reads its answer as its framing says."""
    answer = Answer()
    answer.request = request or uuid.uuid4().hex[:16]
    lines = ["%s %s HTTP/1.1" % (method, path), "Host: case.example",
             "Bendsaddle-Request-Id: " + answer.request,
             "Bendsaddle-Deadline-Ms: %d" % deadline_ms, *headers]
    if body or method == "POST":
        lines.append("Content-Length: %d" % len(body))
    try:
        with socket.create_connection(front, timeout=timeout) as connection:
            connection.sendall(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            read_answer(connection.makefile("rb"), method, answer)
    except (OSError, ValueError) as error:
        answer.end = "cut" if answer.status else "none"
        answer.headers["error"] = str(error)
    return answer


def read_answer(stream, method, answer):
    head = read_head(stream)
    if head is None:
        return
    answer.status, answer.headers = int(head[0].split(" ")[1]), head[1]
    answer.end = "cut"
    if "content-length" in answer.headers:
        length = int(answer.headers["content-length"])
        while len(answer.body) < length:
            part = stream.read1(length - len(answer.body))
            if not part:
                return
            answer.body += part
    elif answer.headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            line = stream.readline()
            if not line.endswith(b"\n"):
                return
            size = int(line, 16)
            data = stream.read(size + 2)
            if len(data) < size + 2:
                return
            if size == 0:
                break
            answer.body += data[:-2]
    else:
        # It ends with its connection; a reset raises an error.
        while True:
            part = stream.read1(65536)
            if not part:
                break
            answer.body += part
    answer.end = "whole"


def route(name, kind, service, **more):
    return {"name": name, "host": "case.example", "path_prefix": "/%s/" % name, "kind": kind,
            "timeout_ms": 15000, "target_latency_ms": 300, "priority": 0, "service": service,
            "max_attempts": 2, "resumable": False, "target_gap_ms": 300, **more}


def config(version, routes, services):
    return {"version": version, "routes": routes, "services": services,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 5000, "idle_timeout_ms": 10000}}


def engine(name, models, load_time_s, weights_mb=220000):
    """A service of model runners; each model takes a tenth of a runner's memory."""
    return {**service(name), "engine": {
        "slots": 64, "kv_capacity": 150000, "weights_mb": weights_mb, "adapter_slots": 8,
        "loads_per_s": 3.1, "models": [
            {"name": model, "weights_mb": weights_mb / 10, "load_time_s": load_time_s,
             "adapters": 0, "adapter_mb": 12} for model in models]}}


def service(name):
    return {"name": name, "health_path": "/healthz", "max_conns": 300, "protocol": "h1",
            "tls": False}


if __name__ == "__main__":
    with open(sys.argv[2]) as spec_file:
        Runner(json.load(spec_file)).run()
