"""Stand-ins for the platform, its workers and its clients, and a small deployment of dn-node.

They speak what the platform's pages say (PROTOCOL.md, DEPLOY.md) on loopback addresses and the
real clock. Where a page is silent they behave like a sound store, worker or client. Faults are
switched on by the scripts of the cases.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
import urllib.parse

HOST = "127.0.0.1"
ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

BROKEN, HELD, CANNOT_RUN = 1, 0, 2

# DEPLOY.md, "Settings of a process"; the bounds of the small deployment of kyriakidis-refill.
RECORD_BYTES = 262_144
CALL_BYTES = 2_097_152
HOLD_MAX_MS = 6_000
STOP_MS = 900
HEARTBEAT_S = 1.5


def now():
    return time.monotonic()


class Log:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = now()

    def __call__(self, kind, text=""):
        self.file.write(f"{now() - self.start:8.3f} {kind} {text}\n")
        self.file.flush()


class Abort(Exception):
    """The connection is reset instead of a response."""


async def read_message(reader):
    """Reads one HTTP message with a Content-Length; None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = b""
    length = int(headers.get("content-length", "0"))
    if length:
        try:
            body = await reader.readexactly(length)
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            return None
    return lines[0], headers, body


class HttpServer:
    """An HTTP/1.1 server on one loopback port; it can go down and come back on that port."""

    def __init__(self, handler):
        self.handler = handler  # async (method, path, query, headers, body) -> (status, body)
        self.port = 0
        self.server = None
        self.writers = set()
        self.tasks = set()

    @property
    def address(self):
        return f"{HOST}:{self.port}"

    async def up(self):
        if self.server is None:
            self.server = await asyncio.start_server(
                self._serve, HOST, self.port, limit=8 << 20, reuse_address=True)
            self.port = self.server.sockets[0].getsockname()[1]

    def down(self):
        """Resets all connections and refuses new ones, until up() is called."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    return
                line, headers, body = message
                method, target, _ = line.split(" ", 2)
                url = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
                status, reply = await self.handler(method, url.path, query, headers, body)
                kind = "application/json"
                if isinstance(reply, (dict, list)):
                    reply = json.dumps(reply).encode()
                elif reply is None:
                    reply = b"{}"
                else:
                    kind = "application/octet-stream"
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: {kind}\r\n"
                             f"Content-Length: {len(reply)}\r\n\r\n".encode() + reply)
                await writer.drain()
        except (ConnectionError, OSError, Abort):
            writer.transport.abort()
        except asyncio.CancelledError:
            writer.transport.abort()
        finally:
            self.tasks.discard(task)
            self.writers.discard(writer)
            try:
                writer.close()
            except RuntimeError:
                pass


async def http(address, method, path, body=None, headers=None, timeout=3.0):
    """Sends one request on a new connection. Returns (status, body), or (0, reason)."""
    host, port = address.rsplit(":", 1)
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port), limit=8 << 20)
            data = b"" if body is None else json.dumps(body).encode()
            lines = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(data)}"]
            names = {"Host": address, "Content-Type": "application/json"} | (headers or {})
            lines += [f"{name}: {value}" for name, value in names.items()]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + data)
            await writer.drain()
            message = await read_message(reader)
            if message is None:
                return 0, "broken"
            return int(message[0].split(" ")[1]), message[2]
    except TimeoutError:
        return 0, "timeout"
    except (ConnectionError, OSError) as error:
        return 0, type(error).__name__
    finally:
        if writer is not None:
            writer.close()


class Partition:
    def __init__(self):
        self.records = []  # (key, value or None, raw content)
        self.newest = {}
        self.producers = {}

    @property
    def end(self):
        return len(self.records)


class Producer:
    def __init__(self):
        self.epoch = -1
        self.last = None
        self.responses = []


class Group:
    def __init__(self):
        self.generation = 0
        self.members = {}  # name -> [last join, time to live, generation seen]
        self.target = {}   # (topic, partition) -> member that shall hold it
        self.holder = {}   # (topic, partition) -> member that holds it


class Store:
    """The platform's metadata store (PROTOCOL.md). Each node has an endpoint of its own."""

    PARTS = 16

    def __init__(self, log):
        self.log = log
        self.partitions = {}
        self.groups = {}
        self.changed = asyncio.Condition()
        self.endpoints = []
        self.one_way_s = 0.0  # Delay of the links to the store, in each direction.
        self.append_s = 0.003  # AppendMs

    async def add_endpoint(self):
        endpoint = None

        async def handle(*call):
            return await self.handle(endpoint, *call)

        endpoint = HttpServer(handle)
        await endpoint.up()
        self.endpoints.append(endpoint)
        return endpoint

    def partition(self, topic, part=0):
        return self.partitions.setdefault((topic, int(part)), Partition())

    async def put(self, topic, key, value):
        """A write of the operator or of a worker; None drops the key."""
        raw = bytes([len(key)]) + key.encode() + (value or b"")
        self._store(self.partition(topic), topic, raw)
        async with self.changed:
            self.changed.notify_all()

    @staticmethod
    def _store(log, topic, raw):
        if not topic.startswith("keyed."):
            log.records.append((None, raw, raw))
            return
        size = raw[0]
        key, value = raw[1:1 + size].decode("latin-1"), raw[1 + size:] or None
        if value is None:
            log.newest.pop(key, None)
        else:
            log.newest[key] = (value, log.end)
        log.records.append((key, value, raw))

    async def handle(self, endpoint, method, path, query, headers, body):
        await asyncio.sleep(self.one_way_s)
        if endpoint.server is None:
            raise Abort()  # The store went down before the call arrived.
        reply = await self.carry_out(path, query, body)
        await asyncio.sleep(self.one_way_s)
        if endpoint.server is None and path == "/api/log-append":
            self.log("answer-reset", f"carried out, not answered: Topic={query['Topic']} "
                                     f"Producer={query.get('Producer')} "
                                     f"Sequence={query.get('Sequence')} -> {reply[0]}")
        return reply

    async def carry_out(self, path, query, body):
        if path == "/api/log-append":
            if self.append_s > 0:
                await asyncio.sleep(self.append_s)
            return await self._append(query, body)
        if path == "/api/log-read":
            return await self._read(query)
        if path == "/api/log-newest":
            return self._newest(query)
        if path == "/api/log-join":
            return self._join(json.loads(body))
        if path == "/api/log-leave":
            return self._leave(json.loads(body))
        if path == "/api/log-owners":
            return self._owners(query)
        return 404, {}

    async def _append(self, query, body):
        topic = query["Topic"]
        log = self.partition(topic, query.get("part", 0))
        producer, sequence = None, None
        if "Producer" in query:
            producer = log.producers.setdefault(query["Producer"], Producer())
            epoch = int(query.get("epoch", 0))
            if epoch < producer.epoch:
                return 409, {"Reason": "fenced"}
            if epoch > producer.epoch:
                producer.epoch, producer.last, producer.responses = epoch, None, []
            if "Sequence" in query and body:
                sequence = int(query["Sequence"])
                for known, response in producer.responses:
                    if known == sequence:
                        return 200, response  # A repeat of one of the last five appends.
                if producer.last is not None and sequence != producer.last + 1:
                    return 409, {"Reason": "seq", "Sequence": producer.last + 1}
        records, rest, total = [], body, 0
        while rest:
            size = struct.unpack(">I", rest[:4])[0]
            records.append(rest[4:4 + size])
            total += size
            rest = rest[4 + size:]
        if total > CALL_BYTES or any(len(record) > RECORD_BYTES for record in records):
            self.log("store-refuses", f"topic={topic} largest={max(map(len, records))} "
                                      f"RecordBytes={RECORD_BYTES} status=413")
            return 413, {}
        offset = log.end
        for record in records:
            self._store(log, topic, record)
        response = {"Offset": offset, "End": log.end}
        if producer is not None and sequence is not None:
            producer.last = sequence
            producer.responses = (producer.responses + [(sequence, response)])[-5:]
        async with self.changed:
            self.changed.notify_all()
        return 200, response

    async def _read(self, query):
        log = self.partition(query["Topic"], query.get("part", 0))
        start = int(query["From"])
        deadline = now() + int(query.get("WaitMs", 0)) / 1000
        while log.end <= start and now() < deadline:
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), max(0.001, deadline - now()))
                except TimeoutError:
                    pass
        limit = int(query.get("MaxKb", 1024)) * 1024
        page = struct.pack(">qq", log.end, 0)
        for _, _, raw in log.records[start:]:
            if len(page) > 16 and len(page) + 4 + len(raw) > limit:
                break
            page += struct.pack(">I", len(raw)) + raw
        return 200, page

    def _newest(self, query):
        log = self.partition(query["Topic"], query.get("part", 0))
        after = query.get("After")
        keys = sorted(key for key in log.newest if after is None or key > after)
        items, size = [], 0
        for key in keys[:500]:
            value, offset = log.newest[key]
            size += len(value)
            if items and size > 1_000_000:
                break
            items.append({"Key": key, "Value": base64.b64encode(value).decode(),
                          "Offset": offset})
        return 200, {"items": items, "HasMore": len(items) < len(keys), "End": log.end}

    def _expire(self, group):
        gone = [name for name, (seen, ttl, _) in group.members.items() if now() - seen > ttl]
        for name in gone:
            del group.members[name]
        if gone:
            self._assign(group)

    def _assign(self, group):
        """Distributes the partitions evenly and keeps what can be kept."""
        group.generation += 1
        members = sorted(group.members)
        for key, holder in list(group.holder.items()):
            if holder not in group.members:
                del group.holder[key]
        if not members:
            group.target = {}
            return
        most = -(-self.PARTS // len(members))
        counts = dict.fromkeys(members, 0)
        topics = sorted({topic for topic, _ in group.target} | {group.topic})
        target = {}
        for topic in topics:
            free = []
            for part in range(self.PARTS):
                old = group.target.get((topic, part))
                if old in counts and counts[old] < most:
                    counts[old] += 1
                    target[(topic, part)] = old
                else:
                    free.append(part)
            for part in free:
                least = min(members, key=lambda name: counts[name])
                counts[least] += 1
                target[(topic, part)] = least
        group.target = target

    def _join(self, body):
        group = self.groups.setdefault(body["group"], Group())
        group.topic = body["Topics"][0]
        self._expire(group)
        name, seen = body["Member"], int(body["Generation"])
        known = name in group.members
        group.members[name] = [now(), max(1000, int(body["TtlMs"])) / 1000, seen]
        if not known:
            self._assign(group)
        # A partition that this member no longer has to hold is free once it names the generation.
        for key, holder in list(group.holder.items()):
            if holder == name and group.target.get(key) != name and seen >= group.generation:
                del group.holder[key]
        rows = []
        for key, member in group.target.items():
            if member != name:
                continue
            if group.holder.get(key, name) == name:
                group.holder[key] = name
                rows.append([key[0], key[1], 0])
        return 200, {"Generation": group.generation, "parts": rows}

    def _leave(self, body):
        group = self.groups.setdefault(body["group"], Group())
        self._expire(group)
        if group.members.pop(body["Member"], None) is not None:
            self._assign(group)
        return 200, {}

    def _owners(self, query):
        group = self.groups.get(query["group"])
        if group is None:
            return 200, {"parts": []}
        self._expire(group)
        return 200, {"parts": [[topic, part, member, 0]
                               for (topic, part), member in sorted(group.holder.items())]}

    def owner_of(self, partition=0):
        for group in self.groups.values():
            for (_, part), member in group.holder.items():
                if part == partition:
                    return member
        return ""


class Run:
    def __init__(self, worker, task, run, token, due):
        self.worker, self.task, self.run, self.token = worker, task, run, token
        self.due = due  # When it ends as done; None: it lasts.
        self.started = now()
        self.ended = None
        self.how = None
        self.noted = None  # When LastSeen reached its end.
        self.lapsed_lease = False

    def percent(self):
        if self.due is None:
            return 100
        return min(99, int(100 * (now() - self.started) / max(0.001, self.due - self.started)))


class Worker:
    """A worker that guards its capacity. `seconds(task, spec)` is how long a task runs."""

    def __init__(self, store, log, name, service, seconds, cpu=64_000, mem=256_000, rack="r1"):
        self.store, self.log, self.name, self.service = store, log, name, service
        self.seconds, self.cpu, self.mem, self.rack = seconds, cpu, mem, rack
        self.demand = lambda task: (0, 0)  # Cpu and MemMb of a task.
        self.runs = []  # Of all incarnations.
        self.server = HttpServer(self.handle)
        self.before_order = None  # async (worker, path, body) -> None, or raises Abort
        self.alive = False
        self.tasks = []

    async def start(self):
        self.born = int(time.time() * 1000)
        self.clock_start = now() - random.uniform(100, 400) if not hasattr(self, "lives") else now()
        self.lives = getattr(self, "lives", 0) + 1
        self.token, self.until, self.sequence, self.next_end = 0, 0, 0, 1
        self.running, self.ends, self.highest = {}, [], {}
        self.alive = True
        await self.server.up()
        self.log("worker-up", f"{self.name} born={self.born} clock={self.clock()}")
        self.tasks = [asyncio.create_task(self._beat())]

    def crash(self):
        """Everything that runs here ends; nothing is said."""
        self.alive = False
        for run in self.running.values():
            run.ended, run.how = now(), "crashed"
            self.log("run-crashed", f"{self.name} {run.task} run={run.run}")
        self.running = {}
        for task in self.tasks:
            task.cancel()
        self.server.down()
        self.log("worker-crashed", self.name)

    def clock(self):
        return int((now() - self.clock_start) * 1000)

    async def _beat(self):
        while True:
            self.sequence += 1
            entry = {"Service": self.service, "Address": self.server.address, "Zone": "z1",
                     "Version": "1", "Slots": 8, "State": "ready", "ColdRemainingMs": 0,
                     "Sequence": self.sequence, "born": self.born, "ClockMs": self.clock(),
                     "Capacity": {"Cpu": self.cpu, "MemMb": self.mem, "Gpu": 0},
                     "Labels": ["a", self.rack]}
            await self.store.put("keyed.servers", self.name, json.dumps(entry).encode())
            await asyncio.sleep(HEARTBEAT_S)

    async def unlist(self):
        """The entry of a worker that has been silent for three heartbeat intervals."""
        await self.store.put("keyed.servers", self.name, None)
        self.log("worker-entry-removed", self.name)

    def _end(self, run, how):
        run.ended, run.how = now(), how
        del self.running[run.task]
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.run)
        self.ends.append([self.next_end, run.task, run.run, how, "", run])
        self.next_end += 1
        self.log("run-ended", f"{self.name} {run.task} run={run.run} how={how}")

    def advance(self):
        for run in [r for r in self.running.values() if r.due is not None and now() >= r.due]:
            self._end(run, "done")
        if self.running and self.clock() > self.until:
            for end in self.ends:
                end[5].lapsed_lease = True
            for run in list(self.running.values()):
                self._end(run, "lapsed")

    async def handle(self, method, path, query, headers, body):
        if headers.get("expected-instance", self.name) != self.name:
            return 421, {}
        body = json.loads(body)
        if self.before_order is not None:
            await self.before_order(self, path, body)
        return await self.carry_out(path, body)

    async def carry_out(self, path, body):
        if path == "/api/run-start":
            return self._start(body)
        if path == "/api/run-stop":
            return self._stop(body)
        if path == "/api/hold":
            return await self._hold(body)
        if path == "/api/pace":
            self.advance()
            if body["FencingToken"] < self.token:
                return self._refuse("fence")
            return 200, {"ClockMs": self.clock()}
        return 404, {}

    def _refuse(self, reason):
        return 409, {"ClockMs": self.clock(), "Reason": reason}

    def _start(self, body):
        self.advance()
        task, number, token = body["Task"], body["Run"], body.get("FencingToken", 0)
        if token < self.token:
            return self._refuse("fence")
        self.token = token
        until = min(body["UntilMs"], self.clock() + HOLD_MAX_MS)
        if until <= self.clock():
            return self._refuse("late")
        self.until = max(self.until, until)
        if task in self.running:
            if self.running[task].run == number:
                return 200, {"ClockMs": self.clock()}
            return self._refuse("old")
        if number <= self.highest.get(task, 0):
            return self._refuse("old")
        cpu, mem = self.demand(task)
        used = [self.demand(other) for other in self.running]
        if sum(u[0] for u in used) + cpu > self.cpu or sum(u[1] for u in used) + mem > self.mem:
            return self._refuse("room")
        lasts = self.seconds(task, body["Spec"])
        run = Run(self.name, task, number, token, None if lasts is None else now() + lasts)
        self.running[task] = run
        self.runs.append(run)
        self.log("run-started", f"{self.name} {task} run={number} token={token}")
        return 200, {"ClockMs": self.clock()}

    def _stop(self, body):
        self.advance()
        task, number = body["Task"], body["Run"]
        if body.get("FencingToken", 0) < self.token:
            return self._refuse("fence")
        self.token = body.get("FencingToken", 0)
        run = self.running.get(task)
        if run is not None and run.run <= number:
            self._end(run, "stopped")
        self.highest[task] = max(self.highest.get(task, 0), number)
        return 200, {"ClockMs": self.clock()}

    async def _hold(self, body):
        token = body.get("FencingToken", 0)
        deadline = now() + body.get("WaitMs", 0) / 1000
        self.advance()
        if token < self.token:
            return self._refuse("fence")
        self.token = token
        if "UntilMs" in body:
            self.until = max(self.until, min(body["UntilMs"], self.clock() + HOLD_MAX_MS))
        last = body.get("LastSeen", 0)
        for end in [end for end in self.ends if end[0] <= last]:
            if not end[5].lapsed_lease:
                end[5].noted = now()
            self.ends.remove(end)
        life = self.lives
        while True:
            self.advance()
            if life != self.lives or not self.alive:
                raise Abort()
            if token < self.token:
                return self._refuse("fence")
            if self.ends or now() >= deadline:
                break
            await asyncio.sleep(0.01)
        return 200, {"ClockMs": self.clock(), "born": self.born,
                     "Running": [[run.task, run.run, "", run.percent(), self.demand(run.task)[0]]
                                 for run in self.running.values()],
                     "Finished": [end[:5] for end in self.ends[:500]]}


def twice(workers):
    """Rule TWICE: two runs of a task at the same time, or a start after a noted end `done`."""
    runs = {}
    for worker in workers:
        for run in worker.runs:
            runs.setdefault(run.task, []).append(run)
    found = []
    for task, list_ in runs.items():
        list_.sort(key=lambda run: run.started)
        for i, first in enumerate(list_):
            for second in list_[i + 1:]:
                if first.ended is None or second.started < first.ended:
                    found.append((task, "two runs at the same time", first, second))
                elif first.how == "done" and first.noted is not None:
                    found.append((task, "start after a noted end `done`", first, second))
    return found


class Deployment:
    """A small deployment: a store, workers, and dn-node processes by the deploy file's command."""

    QUEUE_HOST = "queue.example"
    PREFIX = "/lohu930/"

    def __init__(self, folder):
        self.folder = folder
        self.status_s = 120  # Bounds.status_s
        self.log = Log(os.path.join(folder, "record.txt"))
        self.temp = tempfile.mkdtemp(prefix="dn-review-")
        self.store = Store(self.log)
        self.workers = []
        self.nodes = []
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            self.command = tomllib.load(file)["roles"]["node"]["run"].split()

    async def configure(self, version=3):
        config = {"Version": version, "Services": [{"Name": "refill", "AdmissionCheck": True}],
                  "Limits": {"MaxBodyBytes": 262144, "MaxHeaderBytes": 16384},
                  "Routes": [{"Name": "q", "Host": self.QUEUE_HOST, "PathPrefix": self.PREFIX,
                              "Service": "refill", "Priority": 0, "MaxAttempts": 4,
                              "Stretch": 2.0, "TargetLatencyMs": 1000}]}
        await self.store.put("keyed.op", "config", json.dumps(config).encode())

    async def add_worker(self, seconds, **more):
        worker = Worker(self.store, self.log, f"w{len(self.workers):02}xq7k1v9b3", "refill", seconds,
                        **more)
        self.workers.append(worker)
        await worker.start()
        return worker

    @staticmethod
    def free_port():
        with socket.socket() as probe:
            probe.bind((HOST, 0))
            return probe.getsockname()[1]

    async def add_node(self):
        endpoint = await self.store.add_endpoint()
        number = len(self.nodes) + 1
        front, ready, inner = (self.free_port() for _ in range(3))
        settings = os.path.join(self.temp, f"node-{number}.conf")
        lines = {"Node": f"edge-{number}", "Role": "node", "MachineClass": "edge",
                 "Serves": "edge", "Ip": HOST, "Zone": "z1", "Region": "r1",
                 "Listen.Front": f"{HOST}:{front}", "Listen.Ready": f"{HOST}:{ready}",
                 "PortRange": f"{inner},{inner}", "Bootstrap": "true",
                 "Limits.CpuShare": "0.25", "Limits.Cores": "1", "Limits.MemoryMb": "260",
                 "Limits.MaxFds": "4100", "Limits.LinkMbps": "1000.0", "HeartbeatMs": "1500",
                 "Bounds.GraceS": "6", "Bounds.HoldMaxMs": str(HOLD_MAX_MS),
                 "Bounds.StopMs": str(STOP_MS), "Bounds.status_s": str(self.status_s),
                 "Bounds.HarmMs": "4000", "Bounds.ContactMs": "4000", "Orders": "call",
                 "platform.Address": endpoint.address, "platform.form": "log",
                 "platform.RecordBytes": str(RECORD_BYTES),
                 "platform.CallBytes": str(CALL_BYTES), "platform.TtlMinMs": "1000"}
        with open(settings, "w", encoding="utf-8") as file:
            file.writelines(f"{name}={value}\n" for name, value in lines.items())
        node = {"number": number, "settings": settings, "front": f"{HOST}:{front}",
                "ready": f"{HOST}:{ready}", "inner": f"{HOST}:{inner}", "endpoint": endpoint,
                "process": None}
        self.nodes.append(node)
        await self.start_node(node)
        return node

    async def start_node(self, node):
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG")
                       if name in os.environ}
        environment["DANDELIONNOTCH_NODE_FILE"] = node["settings"]
        output = open(os.path.join(self.temp, f"node-{node['number']}.log"), "ab")
        program = os.path.join(ROOT, self.command[0])
        if not os.access(program, os.X_OK):
            raise RuntimeError("the program of the deploy file is not built")
        node["process"] = await asyncio.create_subprocess_exec(
            program, *self.command[1:], cwd=ROOT, env=environment, stdout=output, stderr=output)
        output.close()
        self.log("node-started", f"edge-{node['number']} pid={node['process'].pid}")

    def signal(self, node, number):
        self.log("node-signal", f"edge-{node['number']} {signal.Signals(number).name}")
        node["process"].send_signal(number)

    def owner(self):
        member = self.store.owner_of()
        for node in self.nodes:
            if member.startswith(node["inner"] + "/"):
                return node
        return None

    async def wait_ready(self, seconds=20):
        """Waits until all nodes are ready, a node owns the shard, and it has met all workers."""
        end = now() + seconds
        while now() < end:
            states = [(await http(node["ready"], "GET", "/api/ready"))[0] for node in self.nodes]
            if all(state == 200 for state in states) and self.owner() is not None:
                if all(worker.token > 0 for worker in self.workers):
                    self.log("ready", f"owner=edge-{self.owner()['number']}")
                    return
            await asyncio.sleep(0.1)
        raise RuntimeError("the deployment did not get ready")

    async def call(self, node, method, job="", body=None, timeout=3.0):
        status, reply = await http(
            node["front"], method, self.PREFIX + job, body,
            {"Host": self.QUEUE_HOST, "Timeout-Ms": str(int(timeout * 1000))}, timeout + 0.5)
        text = reply.decode("utf-8", "replace") if isinstance(reply, bytes) else reply
        self.log("client", f"edge-{node['number']} {method} {job or '(queue)'} -> {status} {text[:60]}")
        return status, text

    async def state(self, job, seconds=3.0):
        """The state of a job by any node that answers: a state, 410, or None."""
        end = now() + seconds
        while True:
            for node in self.nodes:
                status, text = await self.call(node, "GET", job)
                if status == 200:
                    return json.loads(text)["State"]
                if status == 410:
                    return 410
            if now() >= end:
                return None
            await asyncio.sleep(0.2)

    async def wait_state(self, job, states, seconds):
        end = now() + seconds
        while True:
            state = await self.state(job, 1.0)
            if state in states or now() >= end:
                return state
            await asyncio.sleep(0.3)

    def node_log(self, *words):
        """Lines of the nodes' logs that hold one of the words."""
        out = []
        for node in self.nodes:
            path = os.path.join(self.temp, f"node-{node['number']}.log")
            with open(path, encoding="utf-8", errors="replace") as file:
                out += [f"edge-{node['number']} {line.strip()}" for line in file
                        if any(word in line for word in words)]
        return out

    async def close(self):
        for node in self.nodes:
            if node["process"] is not None and node["process"].returncode is None:
                node["process"].kill()
                await node["process"].wait()
        for worker in self.workers:
            worker.server.down()
            for task in worker.tasks:
                task.cancel()
        for endpoint in self.store.endpoints:
            endpoint.down()
        if os.environ.get("KEEP"):
            print(self.temp)
        else:
            shutil.rmtree(self.temp, ignore_errors=True)


def new_id():
    return f"{random.getrandbits(64):016x}"


def main(file, case):
    """Runs `case(deployment)`, which returns BROKEN or HELD, and ends with that status."""

    async def run():
        deployment = Deployment(os.path.dirname(os.path.abspath(file)))
        deployment.log("case", f"TROUBLE={int(TROUBLE)}")
        result = CANNOT_RUN
        try:
            async with asyncio.timeout(110):
                result = await case(deployment)
        except Exception as error:  # pylint: disable=broad-except
            deployment.log("cannot-run", f"{type(error).__name__}: {error}")
            print(f"cannot run: {type(error).__name__}: {error}", file=sys.stderr)
            if os.environ.get("KEEP"):
                raise
        finally:
            await deployment.close()
        deployment.log("result", {BROKEN: "broken", HELD: "held"}.get(result, "could not run"))
        return result

    result = asyncio.run(run())
    sys.stdout.flush()
    os._exit(result)
