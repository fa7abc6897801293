"""A small deployment on loopback for the scripts in review/: the programs of deploy/system.toml as processes, and
stand-ins of the platform, of replicas, of clients and of the operator. Standard library only."""

import http.client
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
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

# Bounds of the sheet of the site tsh-counter.
BOUNDS = {
    "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 3000, "graceS": 8,
    "lossSlackMs": 200, "configApplyMs": 2000, "retryBudgetRatio": 0.2, "budgetWindowS": 10, "retryBudgetExtra": 56,
    "quotaWindowS": 8, "quotaOverage": 0.1, "quotaSlack": 140000, "leaseMs": 3000, "reportWindowS": 5,
    "usageLateS": 10, "recoveryS": 12,
}
FRONT_PORT, READY_PORT, CONTROL_PORT, CLOUD_PORT, REPLICA_PORT = 8221, 8224, 8229, 8225, 8080
INTERNAL_PORTS = [7600, 7601, 7615]
ZONES = ["z-a", "z-b", "z-c", "z-d"]


class Record:
    """Writes record.txt: seconds since the start, and what was seen."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.lock = threading.Lock()
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def line(self, text):
        with self.lock:
            self.file.write(f"{self.now():8.3f} {text}\n")
            self.file.flush()


def render(template, fields):
    """Fills a settings template as DEPLOY.md tells: {{a}}, {{a.b}}, {{a.0}}; nothing where there is no value."""

    def value(match):
        at = fields
        for part in match.group(1).split("."):
            if isinstance(at, list):
                at = at[int(part)] if int(part) < len(at) else None
            else:
                at = (at or {}).get(part)
        if at is None:
            return ""
        if isinstance(at, bool):
            return "true" if at else "false"
        return ",".join(map(str, at)) if isinstance(at, list) else str(at)

    return re.sub(r"\{\{([A-Za-z0-9.]+)\}\}", value, template)


def read_head(file):
    """Reads a head; returns its first line and its headers by lower-case name, or None at the end."""
    first = file.readline()
    if not first:
        return None
    headers = {}
    while True:
        line = file.readline()
        if not line:
            return None
        line = line.rstrip(b"\r\n")
        if not line:
            return first.decode("latin-1").rstrip("\r\n"), headers
        name, _, text = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = text.strip()


def listen(address):
    server = socket.socket()
    server.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    server.bind(address)
    server.listen(256)
    return server


class TcpServer:
    """Serves each connection on a thread."""

    def __init__(self, address):
        self.address = address
        self.server = listen(address)
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                connection, peer = self.server.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._run, args=(connection, peer), daemon=True).start()

    def _run(self, connection, peer):
        try:
            with connection, connection.makefile("rb") as file:
                self.serve(connection, file, peer)
        except OSError:
            pass

    def close(self):
        self.server.close()


class Platform(TcpServer):
    """The platform's list and duties. `entries` holds the list as JSON texts in bytes, one an entry."""

    def __init__(self, address, record):
        self.entries, self.lock, self.record, self.reads, self.calls = [], threading.Lock(), record, 0, []
        super().__init__(address)

    def serve(self, connection, file, peer):
        while (head := read_head(file)) is not None:
            first, headers = head
            body = file.read(int(headers.get("content-length", 0)))
            if first.startswith("GET /instances"):
                with self.lock:
                    self.reads += 1
                    reply = b'{"instances":[' + b",".join(self.entries) + b'],"next":null}'
            else:
                with self.lock:
                    self.calls.append((time.monotonic(), first, headers, body))
                reply = b"{}"
            connection.sendall(
                b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % len(reply) + reply)

    def set(self, entries):
        with self.lock:
            self.entries = list(entries)


def entry(replica, state="ready"):
    """Returns the list's entry of a replica, as PROTOCOL.md shows it."""
    return json.dumps({
        "service": replica.service, "address": "%s:%d" % replica.address, "zone": replica.zone, "version": "v1",
        "slots": replica.slots, "state": state, "coldRemainingMs": 0, "stage": "both", "models": [],
        "id": replica.id, "born": replica.born}).encode()


class Replica(TcpServer):
    """A replica of a plain service. `behave(request id, headers)` may answer by itself with bytes; otherwise the
    request runs for `work` seconds and is answered with a seal."""

    def __init__(self, address, name, service, zone, record, slots=6, work=0.03):
        self.id, self.service, self.zone, self.slots, self.work = name, service, zone, slots, work
        self.record, self.born = record, int(time.time() * 1000)
        self.running, self.lock, self.runs, self.arrivals = 0, threading.Lock(), [], []
        self.behave, self.draining = None, False
        super().__init__(address)

    def serve(self, connection, file, peer):
        while (head := read_head(file)) is not None:
            first, headers = head
            file.read(int(headers.get("content-length", 0)))
            connection.sendall(self.answer(first, headers))

    def answer(self, first, headers):
        path = first.split(" ")[1]
        request = headers.get("request-id", "")
        load = f"Server-Load: {self.running},0,{self.slots}\r\n"
        if path == "/health":
            status = "503 Service Unavailable" if self.draining else "200 OK"
            return f"HTTP/1.1 {status}\r\nInstance-Id: {self.id}\r\n{load}Content-Length: 0\r\n\r\n".encode()
        if path == "/gentianspring/report":
            body = json.dumps({"stage": "both", "models": [], "busy": False, "sequence": 0, "queued": 0,
                               "running": self.running, "kvUsed": 0, "kvTotal": 0, "handles": 0, "born": self.born,
                               "state": "draining" if self.draining else "ready"})
            return ("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(body)}\r\n\r\n{body}").encode()
        start = f"Request-Id: {request}\r\n{load}"
        if headers.get("expect-instance", self.id) != self.id:
            return f"HTTP/1.1 421 Misdirected Request\r\n{start}Not-Executed: 1\r\nContent-Length: 0\r\n\r\n".encode()
        with self.lock:
            self.arrivals.append((time.monotonic(), request))
        if self.behave is not None:
            answer = self.behave(self, request, start)
            if answer is not None:
                return answer
        self.run(request)
        body = f"done {request}"
        close = "Connection: close\r\n" if self.draining else ""
        return (f"HTTP/1.1 200 OK\r\n{start}Server-Seal: seal-{request}\r\n{close}"
                f"Content-Length: {len(body)}\r\n\r\n{body}").encode()

    def run(self, request):
        """Runs a request."""
        with self.lock:
            self.runs.append((time.monotonic(), request))
            self.running += 1
        self.record.line(f"run      {request} at {self.id}")
        time.sleep(self.work)
        with self.lock:
            self.running -= 1


class Deployment:
    """The processes with their addresses, settings and folders."""

    def __init__(self, record, cores=3, fronts=2):
        self.record, self.cores, self.fronts = record, cores, fronts
        self.folder = tempfile.mkdtemp(prefix="gentian-review-")
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as file:
            self.roles = tomllib.load(file)["roles"]
        self.net = self._claim()
        self.processes, self.started = {}, set()
        self.platform = Platform((self.ip(5), CLOUD_PORT), record)
        self.replicas = 0

    def _claim(self):
        """Finds a loopback subnet whose ports are free."""
        for number in range(os.getpid() % 200, os.getpid() % 200 + 50):
            self.net = f"127.91.{number % 250}."
            probes = [(self.ip(5), CLOUD_PORT), (self.ip(6), CLOUD_PORT)]
            probes += [(self.ip(11 + at), port) for at in range(self.cores + 1) for port in [CONTROL_PORT, 7600]]
            probes += [(self.ip(31 + at), port) for at in range(self.fronts) for port in [FRONT_PORT, READY_PORT, 7600]]
            try:
                for probe in probes:
                    listen(probe).close()
                self.claim = listen((self.ip(250), CLOUD_PORT))
                return self.net
            except OSError:
                continue
        raise RuntimeError("no free loopback subnet")

    def ip(self, host):
        return f"{self.net}{host}"

    def core_ip(self, at):
        return self.ip(11 + at)

    def front_ip(self, at):
        return self.ip(31 + at)

    def replica(self, service, zone=ZONES[0], **other):
        self.replicas += 1
        name = f"i-{self.replicas:08x}"
        return Replica((self.ip(100 + self.replicas), REPLICA_PORT), name, service, zone, self.record, **other)

    def start(self, name, seeds=None):
        """Starts a process, `core-N` or `front-N`, with the command of the deploy file and its filled template. The whole
        system starts for the first time only with the processes that this deployment begins with."""
        kind, number = name.split("-")
        at = int(number)
        is_core = kind == "core"
        role = next(role for role in self.roles.values() if role["on"] == kind)
        ip = self.core_ip(at) if is_core else self.front_ip(at)
        data = os.path.join(self.folder, f"{name}-data") if is_core else None
        if data:
            os.makedirs(data, exist_ok=True)
        fields = {
            "nodeName": name, "role": kind, "ip": ip, "zone": ZONES[at % len(ZONES)], "region": "r",
            "listen": {"control": f"{ip}:{CONTROL_PORT}"} if is_core else
                      {"front": f"{ip}:{FRONT_PORT}", "ready": f"{ip}:{READY_PORT}"},
            "internalPorts": INTERNAL_PORTS,
            "seeds": [f"{self.core_ip(seed)}:{CONTROL_PORT}" for seed in seeds or range(min(3, self.cores))],
            "firstStart": name not in self.started and at < (self.cores if is_core else self.fronts), "dataDir": data, "bounds": BOUNDS,
            "limits": {"memoryMb": 256 if is_core else 260},
            "cloud": {"address": f"{self.ip(5)}:{CLOUD_PORT}", "ratePerS": 44.0},
        }
        self.started.add(name)
        with open(os.path.join(ROOT, role["template"]), encoding="utf-8") as file:
            text = render(file.read(), fields)
        settings = os.path.join(self.folder, f"{name}.settings")
        with open(settings, "w", encoding="utf-8") as file:
            file.write(text)
        log = open(os.path.join(self.folder, f"{name}.log"), "ab")
        command = role["run"].split(" ")
        command[0] = os.path.join(ROOT, command[0])
        environment = {**({"RUST_BACKTRACE": "1"} if os.environ.get("RUST_BACKTRACE") else {}), "PATH": os.environ.get("PATH", ""), "GENTIANSPRING_NODE_FILE": settings}
        self.processes[name] = subprocess.Popen(command, cwd=ROOT, env=environment, stdout=log, stderr=log)
        log.close()
        self.record.line(f"start    {name}")

    def start_all(self):
        for at in range(self.cores):
            self.start(f"core-{at}")
        for at in range(self.fronts):
            self.start(f"front-{at}")

    def signal(self, name, number):
        self.processes[name].send_signal(number)
        self.record.line(f"signal   {signal.Signals(number).name} to {name}")

    def kill(self, name):
        self.signal(name, signal.SIGKILL)
        self.processes[name].wait()

    def wipe(self, name):
        """Empties the disk of a core machine whose process has ended."""
        shutil.rmtree(os.path.join(self.folder, f"{name}-data"))

    def stop(self):
        """Ends all processes that this deployment started."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        if os.environ.get("KEEP") == "1":
            print(f"logs are kept in {self.folder}", file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def call(self, at, method, path, body=None, wait=1.0):
        """Calls the operator's API at one core machine; returns status and body, or None without a clear answer."""
        connection = http.client.HTTPConnection(self.core_ip(at), CONTROL_PORT, timeout=wait)
        try:
            headers = {"Content-Type": "application/json"} if body is not None else {}
            connection.request(method, path, body=body, headers=headers)
            reply = connection.getresponse()
            return reply.status, reply.read()
        except (OSError, http.client.HTTPException):
            return None
        finally:
            connection.close()

    def publish(self, config, limit=10.0):
        """Sends a configuration as an operator does, to one machine after the other, until it is acknowledged."""
        body, until, at = json.dumps(config).encode(), time.monotonic() + limit, 0
        while time.monotonic() < until:
            reply = self.call(at % self.cores, "PUT", "/gentianspring/config", body, wait=1.0)
            self.record.line(f"operator PUT version {config['version']} at core-{at % self.cores}: {reply and reply[0]}")
            if reply and reply[0] == 200:
                return True
            at += 1
            time.sleep(0.2)
        return False

    def ready(self, at):
        connection = http.client.HTTPConnection(self.front_ip(at), READY_PORT, timeout=1)
        try:
            connection.request("GET", "/gentianspring/ready")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()

    def wait_ready(self, limit=12.0):
        until = time.monotonic() + limit
        while time.monotonic() < until:
            if all(self.ready(at) for at in range(self.fronts)):
                self.record.line("ready    all fronts")
                return True
            time.sleep(0.1)
        return False


def config(version, service, other=(), timeout=2500):
    """A configuration with a safe and an unsafe route to one service."""
    def route(name, prefix, kind, to, attempts):
        return {"name": name, "host": "shop.example", "pathPrefix": prefix, "kind": kind, "timeoutMs": timeout,
                "targetLatencyMs": 150, "priority": 2, "service": to, "maxAttempts": attempts, "public": False,
                "sticky": False, "resumable": False}
    routes = [route("lookup", "/lookup/", "safe", service, 2), route("deposit", "/deposit/", "unsafe", service, 2)]
    routes += [route(f"r-{name}", f"/{name}/", "safe", name, 2) for name in other]
    services = [{"name": name, "healthPath": "/health", "maxConnections": 110, "protocol": "h1", "tls": False}
                for name in [service, *other]]
    return {"version": version, "routes": routes, "services": services,
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000},
            "tenants": [{"name": "tan", "apiKeys": ["key-tan"], "priority": 1, "unit": "token_count",
                         "plainTokens": 200, "ratePerS": 0, "burst": 0}]}


_number = [0]
_number_lock = threading.Lock()


def new_id():
    with _number_lock:
        _number[0] += 1
        return f"{_number[0]:016x}"


def ask(deployment, at, path, method="POST", body=b"x" * 40, deadline_ms=2500, request=None):
    """One client attempt on a connection of its own; returns (status or 0 without an answer, headers, body)."""
    request = request or new_id()
    record = deployment.record
    try:
        with socket.create_connection((deployment.front_ip(at), FRONT_PORT), timeout=1.0) as connection:
            connection.settimeout(deadline_ms / 1000.0 + 0.5)
            head = (f"{method} {path} HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: {request}\r\n"
                    f"Deadline-Ms: {deadline_ms}\r\nAuthorization: Bearer key-tan\r\n"
                    f"Content-Length: {len(body)}\r\n\r\n").encode()
            record.line(f"sent     {request} {method} {path} to front-{at}")
            connection.sendall(head + body)
            with connection.makefile("rb") as file:
                answer = read_head(file)
                if answer is None:
                    record.line(f"answered {request} with nothing: connection closed")
                    return 0, {}, b""
                status, headers = int(answer[0].split(" ")[1]), answer[1]
                content = file.read(int(headers.get("content-length", 0)))
                record.line(f"answered {request} {status}"
                            f"{' Retry-After ' + headers['retry-after'] if 'retry-after' in headers else ''}"
                            f"{' sealed' if 'server-seal' in headers else ''}")
                return status, headers, content
    except OSError as error:
        record.line(f"answered {request} with nothing: {error}")
        return 0, {}, b""
