"""A small deployment on loopback, for the scripts of review/9 to review/13.

The entries and sidecars are the programs of the deploy file, started with
settings rendered from deploy/*.json.tmpl. The store and the workers are
stand-ins written from the platform's pages; each is a process of its own:

  world.py store   MACHINE=IP:PORT,... RECORD
  world.py worker  IP:PORT SIDECAR NAME CPU RECORD

Both append what they see to RECORD, one JSON object a line; times are seconds
of the monotonic clock, which all processes of the machine share. Standard
library only.
"""

import asyncio
import base64
import functools
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.realpath(os.path.join(os.path.dirname(__file__), "..", ".."))

ROW_BYTES = 65536  # platform.rowBytes
PAGE_ROWS = 500
PAGE_BYTES = 1_000_000
TX_ENTRIES = 100
TX_BYTES = 1_000_000
TX_S = 0.004  # platform.txMs
HOLD_MAX_MS = 1000
STOP_S = 0.02  # at most stopTimeoutMs
ENDS_AT_ONCE = 500
HEARTBEAT_S = 1.5
RESEND_S = 1.3


def now():
    return time.monotonic()


class Recorder:
    def __init__(self, path):
        self.file = open(path, "a", buffering=1)

    def write(self, what, **fields):
        self.file.write(json.dumps({"t": round(now(), 4), "what": what, **fields}) + "\n")


# ---- HTTP -------------------------------------------------------------------


async def read_message(reader):
    """Returns (first line, headers, body); raises at the end of the stream."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                break
    else:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    return lines[0], headers, body


async def serve_connection(handler, reader, writer):
    try:
        while True:
            first, headers, body = await read_message(reader)
            method, target, _ = first.split(" ")
            answer = await handler(method, target, headers, body)
            if answer is None:  # no answer: the channel delivers nothing further
                break
            status, out = answer
            data = json.dumps(out).encode()
            writer.write(
                b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                % (status, len(data)) + data)
            await writer.drain()
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        pass
    finally:
        writer.close()


async def listen(handler, address):
    ip, port = address.rsplit(":", 1)
    return await asyncio.start_server(
        lambda r, w: serve_connection(handler, r, w), ip, int(port), limit=1 << 24, backlog=512)


async def call(address, method, path, body=None, headers=None, timeout=5.0):
    """One request on a connection of its own. Returns (status, JSON) or None."""
    async def exchange():
        ip, port = address.rsplit(":", 1)
        reader, writer = await asyncio.open_connection(ip, int(port), limit=1 << 24)
        try:
            data = b"" if body is None else json.dumps(body).encode()
            lines = [f"{method} {path} HTTP/1.1", "Connection: close",
                     "Content-Type: application/json", f"Content-Length: {len(data)}"]
            named = dict(headers or {})
            named.setdefault("Host", address)
            lines += [f"{k}: {v}" for k, v in named.items()]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + data)
            await writer.drain()
            first, _, out = await read_message(reader)
            return int(first.split(" ")[1]), json.loads(out or b"null")
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None


# ---- The store --------------------------------------------------------------


class Store:
    def __init__(self, record):
        self.rows = {}  # (table, part, key) -> (base64 text, version)
        self.changes = []  # (version, row JSON)
        self.version = 1
        self.record = record
        self.turn = asyncio.Lock()
        self.changed = asyncio.Condition()
        self.faults = {}  # machine -> [kind, until, probability]
        self.random = random.Random(1)

    def row_json(self, key):
        value, version = self.rows[key]
        return {"table": key[0], "part": key[1], "key": key[2], "value": value, "ver": version}

    def done(self, status, body):
        return status, {**body, "ver": self.version, "nowMs": int(now() * 1000)}

    async def transact(self, raw):
        tx = json.loads(raw)
        expected, puts, removes = (tx.get(n, []) for n in ("expectedRev", "setKeys", "remove"))
        key_of = lambda r: (r["table"], r.get("part", ""), r["key"])
        too_large = [r for r in puts if len(base64.b64decode(r["value"])) > ROW_BYTES]
        if too_large or len(raw) > TX_BYTES or len(expected) + len(puts) + len(removes) > TX_ENTRIES:
            for r in too_large:
                self.record.write("row refused", table=r["table"], key=r["key"],
                                  bytes=len(base64.b64decode(r["value"])))
            return self.done(400, {})
        async with self.turn:
            await asyncio.sleep(TX_S)
            rows = [self.row_json(key_of(r)) for r in expected if key_of(r) in self.rows]
            for r in expected:
                if self.rows.get(key_of(r), ("", 0))[1] != r["ver"]:
                    return self.done(412, {"rows": rows})
            self.version += 1
            for r in puts:
                self.rows[key_of(r)] = (r["value"], self.version)
                self.changes.append((self.version, self.row_json(key_of(r))))
                if r["table"] == "owners":
                    self.record.write("owner row", key=r["key"],
                                      value=base64.b64decode(r["value"]).decode())
            for r in removes:
                if self.rows.pop(key_of(r), None):
                    self.changes.append((self.version, {
                        "table": r["table"], "part": r.get("part", ""), "key": r["key"],
                        "value": "", "ver": self.version, "deleted": True}))
        async with self.changed:
            self.changed.notify_all()
        return self.done(200, {})

    def fault_of(self, machine):
        for name in (machine, "all"):
            kind, until, share = self.faults.get(name, ("", 0, 0))
            if now() < until and self.random.random() < share:
                return kind
        return ""

    async def handle_for(self, machine, method, target, headers, body):
        """Answers one machine's call, with the fault that is set for it."""
        if target == "/fault":
            f = json.loads(body)
            self.down_s = f.get("down_s", 0)
            self.faults[f["machine"]] = (f["kind"], now() + f["for_s"], f.get("share", 1.0))
            self.record.write("store fault", **f)
            return 200, {}
        kind = self.fault_of(machine)
        if kind == "goes down" and b'"jobs"' in body and target == "/api/rows-tx":
            # The call under way is done, its channel breaks, and from now on the
            # store is down for `down_s`.
            self.faults = {"all": ("busy", now() + self.down_s, 1.0)}
            status, _ = await self.handle(method, target, headers, body)
            self.record.write("store goes down", machine=machine, done=status == 200,
                              keys=[r["key"] for r in json.loads(body).get("setKeys", [])
                                    if r["table"] == "jobs"], for_s=self.down_s)
            return None
        if kind == "busy":
            return self.done(503, {})
        if kind == "reset":
            return None
        if kind == "silent":
            await asyncio.sleep(60)
            return None
        if kind == "slow":
            await asyncio.sleep(0.24)
        is_write = target == "/api/rows-tx"
        if kind == "late" and is_write:
            await asyncio.sleep(self.random.uniform(1, 6))
        answer = await self.handle(method, target, headers, body)
        if kind in ("lost", "late") and is_write:
            return None
        return answer

    async def handle(self, method, target, headers, body):
        path, _, query = target.partition("?")
        args = {}
        for pair in query.split("&"):
            name, _, value = pair.partition("=")
            args[name] = re.sub("%([0-9A-Fa-f]{2})", lambda m: chr(int(m[1], 16)), value)
        if path == "/api/rows-tx":
            return await self.transact(body)
        if path == "/api/rows-get":
            table, start = args["table"], args.get("from", "")
            limit = min(PAGE_ROWS, int(args.get("limit") or PAGE_ROWS))
            keys = sorted(k for k in self.rows
                          if k[0] == table and k[1] == args.get("part", "") and k[2] >= start)
            found, size = [], 0
            for k in keys[:limit]:
                row = self.row_json(k)
                size += len(row["value"])
                if found and size > PAGE_BYTES:
                    break
                found.append(row)
            return self.done(200, {"rows": found, "hasMore": len(found) < len(keys)})
        if path == "/api/rows-feed":
            after = int(args.get("after") or 0)
            until = now() + int(args.get("waitMs") or 0) / 1000
            while True:
                rows = [r for v, r in self.changes if v > after and r["table"] == args["table"]]
                if rows or now() >= until:
                    return self.done(200, {"rows": rows})
                async with self.changed:
                    try:
                        await asyncio.wait_for(self.changed.wait(), max(0.001, until - now()))
                    except asyncio.TimeoutError:
                        pass
        return self.done(404, {})


# ---- A worker ---------------------------------------------------------------


class Worker:
    """Runs tasks whose spec is "work:MS"."""

    def __init__(self, address, sidecar, name, cpu, record):
        self.address, self.sidecar, self.name, self.cpu = address, sidecar, name, cpu
        self.id = "i-" + os.urandom(4).hex()
        self.born = now()
        self.record = record
        self.fence = 0
        self.lease = 0
        self.lapsed = True
        self.runs = {}  # (task, run) -> [began, ends, stopping]
        self.over = {}  # task -> highest run stopped or ended
        self.failing = set()  # runs that will fail
        self.finished = []
        self.next_end = 1
        self.waiting = []
        self.state = "ready"
        self.fails = 0.0  # share of the runs that fail
        self.late = 0.0  # share of the orders without an answer, carried out late
        self.acked_draining = None
        self.random = random.Random(os.getpid())

    def clock(self):
        return int((now() - self.born) * 1000)

    def extend(self, body):
        deadline = min(body.get("deadlineMs", 0), self.clock() + HOLD_MAX_MS)
        self.lease = max(self.lease, deadline)

    def end(self, key, how):
        self.runs.pop(key)
        self.over[key[0]] = max(self.over.get(key[0], 0), key[1])
        self.record.write("end", worker=self.name, task=key[0], run=key[1], how=how, n=self.next_end)
        self.finished.append([self.next_end, key[0], key[1], how, ""])
        self.next_end += 1
        for waiter in self.waiting:
            waiter.set()

    def sweep(self):
        """Ends all runs that are due."""
        t = now()
        if self.clock() >= self.lease:
            if not self.lapsed:
                self.lapsed = True
                self.record.write("lapse", worker=self.name)
            for key in list(self.runs):
                self.end(key, "lapsed")
            return
        self.lapsed = False
        for key, (_, ends, stops) in list(self.runs.items()):
            if stops is not None and stops <= t and stops < ends:
                self.end(key, "stopped")
            elif ends <= t:
                self.end(key, "failed" if key in self.failing else "done")
                self.failing.discard(key)

    async def tick(self):
        while True:
            self.sweep()
            await asyncio.sleep(0.002)

    async def heartbeats(self):
        sequence = 0
        while True:
            sequence += 1
            answer = await call(self.sidecar, "POST", f"/api/instances/{self.id}/heartbeat", {
                "service": "desk", "addr": self.address, "zone": "a", "version": "v1", "slots": 8,
                "state": self.state, "coldLeftMs": 0,
                "capacity": {"cpu": self.cpu, "memMb": 1 << 20, "gpu": 0}, "labels": ["a", "r1-1"],
                "clockMs": self.clock(), "callSeq": sequence}, timeout=1.0)
            if answer and answer[0] == 200 and self.state == "draining":
                self.record.write("draining confirmed", worker=self.name)
            await asyncio.sleep(HEARTBEAT_S)

    async def later(self, target, headers, body):
        await asyncio.sleep(self.random.uniform(2, 12))
        await self.carry_out("POST", target, headers, body)

    async def handle(self, method, target, headers, body):
        if target == "/behave":
            for name, value in json.loads(body).items():
                setattr(self, name, value)
            return 200, {}
        if target != "/api/hold" and self.random.random() < self.late:
            asyncio.ensure_future(self.later(target, headers, body))
            await asyncio.sleep(30)
            return None
        return await self.carry_out(method, target, headers, body)

    async def carry_out(self, method, target, headers, body):
        expect = headers.get("x-cassiaferry-expect-instance")
        if expect and expect != self.id:
            return 421, {}
        self.sweep()
        request = json.loads(body)
        answer = lambda status, **rest: (status, {"clockMs": self.clock(), **rest})
        token = request.get("fencingToken", 0)
        if token < self.fence:
            return answer(409, reason="fence")
        self.fence = token
        if target == "/api/run-start":
            key = (request["task"], request["run"])
            if request.get("deadlineMs", 0) <= self.clock():
                return answer(409, reason="late")
            self.extend(request)
            if key in self.runs:
                return answer(200)
            if self.over.get(key[0], 0) >= key[1]:
                return answer(409, reason="old")
            t = now()
            self.runs[key] = [t, t + int(request["spec"].split(":")[1]) / 1000, None]
            if self.random.random() < self.fails:
                self.failing.add(key)
            self.record.write("start", worker=self.name, task=key[0], run=key[1])
            return answer(200)
        if target == "/api/run-stop":
            key = (request["task"], request["run"])
            self.over[key[0]] = max(self.over.get(key[0], 0), key[1])
            if key in self.runs and self.runs[key][2] is None:
                self.runs[key][2] = now() + STOP_S
            return answer(200)
        if target == "/api/hold":
            self.extend(request)
            seen = request.get("lastSeen", 0)
            forgotten = [e for e in self.finished if e[0] <= seen]
            for e in forgotten:
                if e[3] in ("done", "failed"):
                    self.record.write("noted", worker=self.name, task=e[1], run=e[2], how=e[3])
            self.finished = [e for e in self.finished if e[0] > seen]
            wait = min(request.get("waitMs", 0), 2000) / 1000
            if wait and not self.finished:
                event = asyncio.Event()
                self.waiting.append(event)
                try:
                    await asyncio.wait_for(event.wait(), wait)
                except asyncio.TimeoutError:
                    pass
                self.waiting.remove(event)
            t = now()
            running = [[k[0], k[1], "", int(100 * min(1, (t - b) / max(0.001, e - b)))]
                       for k, (b, e, _) in self.runs.items()]
            return answer(200, running=running, finished=self.finished[:ENDS_AT_ONCE])
        return answer(404)


# ---- The deployment ---------------------------------------------------------


def free_port(ip):
    s = socket.socket()
    s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    s.bind((ip, 0))
    port = s.getsockname()[1]
    s.close()
    return port


def render(template, fields):
    """Fills in {{a.b}}, the only kind of placeholder that the templates use."""
    with open(os.path.join(ROOT, template)) as f:
        text = f.read()
    return re.sub(r"\{\{([\w.]+)\}\}", lambda m: str(fields[m[1]]), text)


class Deployment:
    """Starts processes and ends them again; `record` gets what is seen."""

    def __init__(self, folder, entries=3, workers=3, cpu=16000, spare=0):
        self.folder = folder
        self.tmp = tempfile.mkdtemp(prefix="cassiaferry-case-")
        self.record_path = os.path.join(folder, "record.txt")
        open(self.record_path, "w").close()
        self.record = Recorder(self.record_path)
        self.children = []
        self.entry_count, self.worker_count, self.cpu = entries, workers, cpu
        self.spare = spare  # entries that may be added
        self.entries = []
        self.sidecars = []
        self.workers = []

    def spawn(self, command, log):
        out = open(os.path.join(self.tmp, log + ".log"), "a")
        child = subprocess.Popen(command, stdout=out, stderr=out, cwd=ROOT,
                                 stdin=subprocess.DEVNULL)
        self.children.append(child)
        return child

    def fields(self, name, ip, **more):
        return {"node": name, "zone": "a", "ip": ip, "platform.addr": self.stores[name],
                "bounds.holdMaxMs": HOLD_MAX_MS, "bounds.resendMs": 1300, "bounds.graceS": 6,
                "limits.linkMbps": 1000.0, **more}

    def settings(self, name, template, fields):
        path = os.path.join(self.tmp, name + ".conf")
        with open(path, "w") as f:
            f.write(render(template, fields))
        return path

    def start_entry(self, i):
        e = self.entries[i]
        e["process"] = self.spawn(["target/bin/cassiaferry-entry", "--settings", e["settings"]],
                                  e["name"])
        return e

    def add_entry(self):
        """Starts an entry on a new machine."""
        i = len(self.entries)
        ip = f"{self.net}.{i + 1}"
        ports = [free_port(ip) for _ in range(4)]
        e = {"name": f"edge-{i + 1}", "ip": ip, "front": f"{ip}:{ports[2]}",
             "ready": f"{ip}:{ports[3]}", "metrics": f"{ip}:{ports[1]}"}
        e["settings"] = self.settings(e["name"], "deploy/entry.json.tmpl", self.fields(
            e["name"], ip, **{"internalPorts.0": ports[0], "internalPorts.1": ports[1],
                              "listen.front": e["front"], "listen.readyAddr": e["ready"]}))
        self.entries.append(e)
        return self.start_entry(i)

    def start_sidecar(self, i):
        s = self.sidecars[i]
        s["process"] = self.spawn(["target/bin/cassiaferry-sidecar", "--settings", s["settings"]],
                                  s["name"])
        return s

    def start_worker(self, i):
        s = self.sidecars[i]
        self.workers[i] = {"name": f"w{i + 1}", "app": s["app"], "process": self.spawn(
            [sys.executable, os.path.realpath(__file__), "worker", s["app"], s["control"],
             f"w{i + 1}", str(self.cpu), self.record_path], f"w{i + 1}")}

    async def behave(self, i, **what):
        """Sets attributes of a worker."""
        self.record.write("behave", worker=f"w{i + 1}", **what)
        await call(self.sidecars[i]["app"], "POST", "/behave", what)

    def send_signal(self, machine, number):
        machine["process"].send_signal(number)
        self.record.write("signal", machine=machine["name"], signal=signal.Signals(number).name)

    async def start(self):
        me = [sys.executable, os.path.realpath(__file__)]
        net = "127.%d.%d" % (random.randint(20, 250), random.randint(1, 250))
        ip = f"{net}.250"
        machines = (["operator"] + [f"edge-{i + 1}" for i in range(self.entry_count + self.spare)] +
                    [f"side-{i + 1}" for i in range(self.worker_count)])
        self.stores = {m: f"{ip}:{free_port(ip)}" for m in machines}
        self.store = self.stores["operator"]
        named = ",".join(f"{m}={a}" for m, a in self.stores.items())
        self.spawn(me + ["store", named, self.record_path], "store")
        await self.until(lambda: call(self.store, "GET", "/api/rows-get?table=op&part="))
        await self.put_config(1)
        self.net = net
        for _ in range(self.entry_count):
            self.add_entry()
        for i in range(self.worker_count):
            ip = f"{net}.{i + 101}"
            control, app = f"{ip}:{free_port(ip)}", f"{ip}:{free_port(ip)}"
            s = {"name": f"side-{i + 1}", "ip": ip, "control": control, "app": app}
            s["settings"] = self.settings(s["name"], "deploy/sidecar.json.tmpl", self.fields(
                s["name"], ip, **{"listen.control": control, "app": app}))
            self.sidecars.append(s)
            self.start_sidecar(i)
            self.workers.append(None)
            self.start_worker(i)
        for e in self.entries:
            await self.until(lambda e=e: self.is_ready(e))
        await asyncio.sleep(3)

    async def put_config(self, version):
        config = {"version": version, "limits": {}, "services": [{"name": "desk"}], "routes": [
            {"name": "q", "host": "h.example", "pathPrefix": "/q/", "service": "desk",
             "priority": 0, "maxAttempts": 3, "stretch": 1.6, "targetLatencyMs": 60}]}
        value = base64.b64encode(json.dumps(config).encode()).decode()
        await call(self.store, "POST", "/api/rows-tx", {
            "setKeys": [{"table": "op", "part": "", "key": "config", "value": value}]})

    async def store_fault(self, machine, kind, for_s, share=1.0, **more):
        """The store fails for one machine, or for "all"."""
        await call(self.store, "POST", "/fault", {
            "machine": machine, "kind": kind, "for_s": for_s, "share": share, **more})

    async def is_ready(self, e):
        answer = await call(e["ready"], "GET", "/api/ready", timeout=1)
        return answer if answer and answer[0] == 200 else None

    async def until(self, check, seconds=20):
        end = now() + seconds
        while now() < end:
            result = await check()
            if result:
                return result
            await asyncio.sleep(0.05)
        raise RuntimeError("the deployment didn't come up")

    async def client(self, e, method, path, body=None, timeout=5.0, log=True):
        sent = now()
        answer = await call(e["front"], method, path, body, {
            "Host": "h.example", "X-Cassiaferry-Deadline-Ms": str(int(timeout * 1000))}, timeout)
        if log:
            self.record.write("call", sent=round(sent, 4), entry=e["name"], method=method,
                              path=path, answer=answer)
        return answer

    async def submit(self, job_id, body, first=0, tries=8):
        """Hands a job in as a client does: again after no answer, 502, 504, and
        as told after 429 and 503. Returns the entry that accepted it, or None."""
        for attempt in range(tries):
            e = self.entries[(first + attempt) % len(self.entries)]
            answer = await self.client(e, "POST", "/q/" + job_id, body)
            if answer and 200 <= answer[0] < 300:
                return e
            await asyncio.sleep(RESEND_S)
        return None

    def events(self):
        with open(self.record_path) as f:
            return [json.loads(line) for line in f]

    def stop(self):
        for child in self.children:
            if child.poll() is None:
                child.send_signal(signal.SIGCONT)
                child.kill()
        for child in self.children:
            child.wait()
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(self.tmp, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        shutil.rmtree(self.tmp, ignore_errors=True)


def new_id():
    return os.urandom(8).hex()


def run_case(folder, play, **shape):
    """Plays a case and exits: `play(deployment, trouble)` returns a list of
    what broke the rule, empty if it held."""
    if not os.path.exists(os.path.join(ROOT, "target/bin/cassiaferry-entry")):
        print("cannot run: target/bin is not built")
        sys.exit(2)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    deployment = Deployment(folder, **shape)

    async def main():
        await deployment.start()
        return await asyncio.wait_for(play(deployment, trouble), 105)
    try:
        broken = asyncio.run(main())
    except Exception as error:  # the case itself couldn't run
        print("cannot run:", repr(error))
        deployment.record.write("cannot run", why=repr(error))
        sys.exit(2)
    finally:
        deployment.stop()
    for line in broken:
        deployment.record.write("rule broken", why=line)
        print("rule broken:", line)
    if not broken:
        print("rule held")
    sys.exit(1 if broken else 0)


async def stand_in(kind, arguments):
    record = Recorder(arguments[-1])
    if kind == "store":
        store = Store(record)
        for pair in arguments[0].split(","):
            machine, address = pair.split("=")
            server = await listen(functools.partial(store.handle_for, machine), address)
    else:
        address, sidecar, name, cpu = arguments[:4]
        worker = Worker(address, sidecar, name, int(cpu), record)
        server = await listen(worker.handle, address)
        asyncio.ensure_future(worker.tick())
        asyncio.ensure_future(worker.heartbeats())
    await server.serve_forever()


if __name__ == "__main__":
    try:
        asyncio.run(stand_in(sys.argv[1], sys.argv[2:]))
    except KeyboardInterrupt:
        pass
