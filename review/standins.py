"""Stand-ins for the review's scripts: the platform's store, replicas, clients, and the router
as a real process, started with the command and the template of the deploy file.

Python's standard library only. Everything listens on loopback addresses and free ports.
"""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
START = time.monotonic()


def now_ms():
    """Milliseconds since the script's start."""
    return int((time.monotonic() - START) * 1000)


class Record:
    """What was sent, answered and run, for record.txt."""

    def __init__(self, path):
        self.file = open(path, "w")

    def __call__(self, who, what):
        self.file.write(f"{now_ms() / 1000:8.3f} s  {who:<14} {what}\n")
        self.file.flush()


# --- HTTP/1.1 ---------------------------------------------------------------------------------


class Message:
    """A request or an answer: first line, headers with lower-case names, body."""

    def __init__(self, first, headers, body):
        self.first, self.headers, self.body = first, headers, body

    def header(self, name, default=""):
        return self.headers.get(name, default)


async def read_head(reader):
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers, to_end=False):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                return body
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    return await reader.read() if to_end else b""


async def read_message(reader, to_end=False):
    first, headers = await read_head(reader)
    return Message(first, headers, await read_body(reader, headers, to_end))


def answer_bytes(status, headers=None, body=b""):
    head = [f"HTTP/1.1 {status} X"]
    for name, value in (headers or {}).items():
        head.append(f"{name}: {value}")
    head.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(head) + "\r\n\r\n").encode("latin1") + body


def json_bytes(status, value):
    return answer_bytes(status, {"Content-Type": "application/json"}, json.dumps(value).encode())


def free_port(host):
    with socket.socket() as s:
        s.bind((host, 0))
        return s.getsockname()[1]


# --- the platform's store ---------------------------------------------------------------------


class Store:
    """The platform's key-value store, as PROTOCOL.md tells it."""

    def __init__(self, host="127.0.0.1"):
        self.host, self.port = host, None
        self.revision = 0
        self.items = {}  # key -> (value, revision, created, lease)
        self.history = []  # (revision, key, value or None, created, lease)
        self.leases = {}  # id -> [end, ttl]
        self.changed = asyncio.Event()
        self.next_lease = 1000

    async def start(self):
        server = await asyncio.start_server(self.serve, self.host, 0)
        self.port = server.sockets[0].getsockname()[1]
        asyncio.ensure_future(self.expire())

    async def expire(self):
        while True:
            await asyncio.sleep(0.02)
            for lease in [n for n, (end, _) in self.leases.items() if time.monotonic() >= end]:
                self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, item in self.items.items() if item[3] == lease]:
            self.remove(key)

    def put(self, key, value, lease=0):
        if isinstance(value, str):
            value = value.encode()
        self.revision += 1
        created = self.items[key][2] if key in self.items else self.revision
        self.items[key] = (value, self.revision, created, lease)
        self.note((self.revision, key, value, created, lease))

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.note((self.revision, key, None, 0, 0))

    def note(self, change):
        self.history.append(change)
        self.changed.set()
        self.changed = asyncio.Event()

    def item(self, key):
        value, revision, created, lease = self.items[key]
        return {"Key": key, "Value": base64.b64encode(value).decode(), "Revision": revision,
                "Created": created, "Lease": lease}

    async def serve(self, reader, writer):
        try:
            while True:
                request = await read_message(reader)
                method, target, _ = request.first.split(" ", 2)
                writer.write(await self.answer(method, target, request.body))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, method, target, body):
        url = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        path = url.path
        if path == "/runrail/kv-key":
            if query["Key"] not in self.items:
                return answer_bytes(404)
            return json_bytes(200, {**self.item(query["Key"]), "AsOf": self.revision})
        if path == "/runrail/kv-range":
            keys = sorted(k for k in self.items if k.startswith(query["PathPrefix"]))
            keys = [k for k in keys if k > query.get("SinceRev", "")]
            items = [self.item(k) for k in keys[:500]]
            return json_bytes(200, {"Items": items, "HasMore": len(keys) > 500, "AsOf": self.revision})
        if path == "/runrail/kv-watch":
            return await self.watch(query)
        if path == "/runrail/kv-txn":
            return self.transaction(json.loads(body))
        if path == "/runrail/kv-lease":
            ttl = json.loads(body)["TtlMs"]
            self.next_lease += 1
            self.leases[self.next_lease] = [time.monotonic() + ttl / 1000, ttl]
            return json_bytes(200, {"Lease": self.next_lease, "TtlMs": ttl})
        number = int(path.rsplit("/", 1)[1])
        if path.startswith("/runrail/kv-keep/"):
            if number not in self.leases:
                return answer_bytes(404)
            self.leases[number][0] = time.monotonic() + self.leases[number][1] / 1000
            return json_bytes(200, {"TtlMs": self.leases[number][1]})
        if path.startswith("/runrail/kv-lease-end/") and method == "DELETE":
            self.end_lease(number)
            return json_bytes(200, {})
        return answer_bytes(404)

    async def watch(self, query):
        since, prefix = int(query["SinceRev"]), query["PathPrefix"]
        end = time.monotonic() + int(query["WaitMs"]) / 1000
        while True:
            events = []
            for revision, key, value, created, lease in self.history:
                if revision <= since or not key.startswith(prefix):
                    continue
                if value is None:
                    events.append({"Key": key, "Revision": revision, "Removed": True})
                else:
                    events.append({"Key": key, "Value": base64.b64encode(value).decode(),
                                   "Revision": revision, "Created": created, "Lease": lease})
            left = end - time.monotonic()
            if events or left <= 0:
                return json_bytes(200, {"events": events, "AsOf": self.revision})
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def transaction(self, call):
        checks = call["ExpectedRev"]
        if any(c["Revision"] != (self.items[c["Key"]][1] if c["Key"] in self.items else 0) for c in checks):
            found = [self.item(c["Key"]) for c in checks if c["Key"] in self.items]
            return json_bytes(412, {"Items": found})
        if any(w.get("Lease") and w["Lease"] not in self.leases for w in call["Writes"]):
            return answer_bytes(404)
        for write in call["Writes"]:
            self.put(write["Key"], base64.b64decode(write["Value"]), write.get("Lease", 0))
        for key in call["Remove"]:
            self.remove(key)
        return json_bytes(200, {"Revision": self.revision})


# --- the router -------------------------------------------------------------------------------


def fill_template(text, fields):
    """Fills the gaps that deploy/router.ini uses: {{a.b}} and {{#a}} .. {{/a}}."""

    def value(name):
        found = fields
        for part in name.split("."):
            if isinstance(found, list):
                found = found[int(part)] if int(part) < len(found) else None
            else:
                found = found.get(part) if isinstance(found, dict) else None
        return found

    def section(match):
        return match.group(2) if value(match.group(1)) not in (None, False, "") else ""

    def gap(match):
        found = value(match.group(1))
        return str(found).lower() if isinstance(found, bool) else "" if found is None else str(found)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, text, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", gap, text)


def own_loopback():
    """A loopback address on which nothing else listens at the ports that settings fix."""
    while True:
        host = f"127.{random.randint(60, 250)}.{random.randint(0, 250)}.{random.randint(2, 250)}"
        try:
            for port in (7340, 9464):
                with socket.socket() as s:
                    s.bind((host, port))
            return host
        except OSError:
            continue


class Router:
    """The project's router, as a process of its own."""

    def __init__(self, name, zone, store, folder, **bounds):
        self.name, self.host = name, own_loopback()
        self.front, self.ready = free_port(self.host), free_port(self.host)
        deploy = tomllib.load(open(os.path.join(ROOT, "deploy/system.toml"), "rb"))
        role = deploy["roles"]["router"]
        fields = {
            "Node": name, "Zone": zone, "Ip": self.host, "PortRange": [7340, 7355], "FirstStart": True,
            "Listen": {"Front": f"{self.host}:{self.front}", "Ready": f"{self.host}:{self.ready}"},
            "Platform": {"Address": f"{store.host}:{store.port}", "ReadsPerS": 2000},
            "Bounds": {"DrainMs": 2000, "ConfigApplyMs": 2000, "StallMs": 4000, "RetryBudgetRatio": 0.2,
                       "BudgetExtra": 202, "BudgetWindowS": 10, "GraceS": 8, **bounds},
        }
        template = open(os.path.join(ROOT, role["template"])).read()
        self.settings = os.path.join(folder, f"{name}.ini")
        open(self.settings, "w").write(fill_template(template, fields))
        self.command = role["run"].split()
        self.log = open(os.path.join(folder, f"{name}.log"), "w")
        self.process = None

    async def start(self):
        env = {"PATH": os.environ.get("PATH", ""), "HOME": os.environ.get("HOME", ""),
               "RUNRAIL_BOOT": self.settings}
        self.process = await asyncio.create_subprocess_exec(
            *self.command, cwd=ROOT, env=env, stdout=self.log, stderr=self.log)

    async def wait_ready(self, seconds=10):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            try:
                answer = await call(self.host, self.ready, "GET", "/runrail/ready", {})
                if answer.first.split()[1] == "200":
                    return True
            except (OSError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.05)
        return False

    async def restart(self):
        """Stops the process with SIGTERM, as the platform does, and starts it again, not for the first
        time."""
        self.process.send_signal(signal.SIGTERM)
        await asyncio.wait_for(self.process.wait(), 9)
        text = open(self.settings).read()
        open(self.settings, "w").write(text.replace("first_start = true", "first_start = false"))
        await self.start()

    async def end(self):
        if self.process and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()


# --- clients ----------------------------------------------------------------------------------


async def call(host, port, method, path, headers, body=b"", timeout=10.0):
    """One request on a new connection; the whole answer."""

    async def exchange():
        reader, writer = await asyncio.open_connection(host, port)
        try:
            head = [f"{method} {path} HTTP/1.1"]
            sent = {"Host": "a.example", "Content-Length": str(len(body)), **headers}
            head += [f"{name}: {value}" for name, value in sent.items()]
            writer.write(("\r\n".join(head) + "\r\n\r\n").encode() + body)
            await writer.drain()
            return await read_message(reader, to_end=True)
        finally:
            writer.close()

    return await asyncio.wait_for(exchange(), timeout)


def status_of(answer):
    return int(answer.first.split()[1])


# --- scripts ----------------------------------------------------------------------------------


def run_script(main, folder):
    """Runs `main(record, temporary folder, trouble)`: 1 if it returns broken rules, 0 if none,
    2 if it couldn't run."""
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    work = tempfile.mkdtemp(prefix="runrail-review-")
    record("script", f"trouble: {'yes' if trouble else 'no'}")

    async def limited():
        # A script that is told to end ends its processes first.
        own = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, own.cancel)
        return await asyncio.wait_for(main(record, work, trouble), 110)

    try:
        broken = asyncio.run(limited())
    except (Exception, asyncio.CancelledError) as why:  # whatever it is, the case couldn't run
        record("script", f"couldn't run: {why!r}")
        print(f"couldn't run: {why!r}", file=sys.stderr)
        broken = None
    finally:
        if os.environ.get("KEEP"):
            print("kept", work, file=sys.stderr)
        else:
            shutil.rmtree(work, ignore_errors=True)
    if broken is None:
        sys.exit(2)
    for line in broken or ["no rule was broken"]:
        record("verdict", line)
        print(line)
    sys.exit(1 if broken else 0)
