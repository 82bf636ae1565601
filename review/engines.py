"""Stand-ins for model replicas, as PROTOCOL.md tells them: seats in groups, orders with fences, reports,
streams, and heads that stand still while a member is missing and break after the stall time."""

import asyncio
import json

from standins import answer_bytes, json_bytes, now_ms, read_message

MODEL, SIZE, EVENTS, STALL_S = "daka510000", 3, 8, 4.0
LOAD_S, WARM_S, SAME_S, FORM_S = 0.5, 0.3, 0.2, 0.1

CONFIG = {
    "Version": 7,
    "Routes": [{"Name": "draft", "Host": "a.example", "PathPrefix": "/draft/", "Kind": "streaming",
                "TimeoutMs": 8000, "SloMs": 300, "Priority": 1, "Service": "pool", "MaxAttempts": 2,
                "Public": False, "Sticky": True, "Resumable": True, "GapTargetMs": 300}],
    "Services": [{"Name": "pool", "HealthPath": "/health", "MaxConns": 562, "Protocol": "h1", "Tls": False,
                  "Engine": {"Slots": 48, "KvCapacityTokens": 1590000, "Stride": 6, "step_ms": 5.95,
                             "per_seq_ms": 0.0445, "context_per_k": 0.00813, "read_per_s": 50700.0,
                             "pairs_per_m": 0.368, "chunk": 2048, "report_lag_ms": 200.0, "LoadsPerS": 3.0,
                             "loads_at_once": 6, "usual": {"prompt": 1038, "answer": 167}, "Retains": 1,
                             "far_x": 2.5, "FormMs": FORM_S * 1000,
                             "Models": [{"Name": MODEL, "size": SIZE, "Share": 1.0, "pace": 1.0,
                                         "LoadS": LOAD_S, "WarmupS": WARM_S}]}}],
    "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
    "Tenants": [{"Name": "ann", "ApiKeys": ["key-of-ann"]}],
}


class Engine:
    """A model replica."""

    def __init__(self, name, world):
        self.id, self.world, self.listed_port = name, world, None
        self.alive, self.server, self.writers = True, None, set()
        self.beats, self.orders, self.fence, self.epoch = 0, 0, 0, 0
        self.seat, self.model, self.staged = None, None, []
        self.stalled_since = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        asyncio.ensure_future(self.beat())

    async def beat(self):
        while self.alive:
            self.write()
            await asyncio.sleep(1.2)

    def write(self):
        """Writes the entry of the list: at each heartbeat, and at once after a change of the seat."""
        if not self.alive:
            return
        self.beats += 1
        entry = {"Service": "pool", "Address": f"127.0.0.1:{self.listed_port or self.port}", "Zone": "hall-a", "Version": "v1",
                 "Slots": 48, "State": "ready", "ColdLeftMs": 0, "Stage": "both", "Seq": self.beats,
                 "Domain": "hall-a-d0", "Staged": self.staged, **self.models()}
        self.world.store.put(f"servers/{self.id}", json.dumps(entry))

    def models(self):
        out = {"Models": [{"Name": self.model, "Version": 1, "Adapters": []}] if self.model else []}
        if self.seat:
            out["group"] = {"Name": self.seat["group"], "epoch": self.seat["epoch"], "rank": self.seat["rank"],
                            "State": self.state()}
        return out

    def state(self):
        """State of the seat; a head that has stood still for the stall time is broken."""
        if self.seat["state"] == "open" and self.stands_still():
            self.stalled_since = self.stalled_since or self.world.now()
            if self.world.now() - self.stalled_since >= STALL_S:
                self.seat["state"] = "broken"
        else:
            self.stalled_since = None
        return self.seat["state"]

    def stands_still(self):
        """Whether a member has died, left or joined another group."""
        mine = (self.seat["group"], self.seat["epoch"])
        for name in self.seat["members"]:
            other = self.world.engines[name]
            if not other.alive or not other.seat or (other.seat["group"], other.seat["epoch"]) != mine:
                return True
        return False

    def crash(self):
        self.alive = False
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_message(reader)
                await self.answer(request, writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, request, writer):
        path = request.first.split()[1]
        if request.header("x-expect-instance", self.id) != self.id:
            answer = answer_bytes(421, {"X-Replica-Id": self.id, "X-Attempt-Id": request.header("x-attempt-id")})
        elif path == "/runrail/report":
            answer = json_bytes(200, {"Stage": "both", "Busy": False, "Seq": self.orders, "Queued": 0, "Running": 0,
                                      "KvUsed": 0, "KvTotal": 1590000, "Handles": 0, "pace": 1.0, **self.models()})
        elif path == "/runrail/order":
            order = json.loads(request.body)
            answer = answer_bytes(self.carry_out(order))
        else:
            return await self.stream(request, writer)
        writer.write(answer)
        await writer.drain()

    def carry_out(self, order):
        status = self.order_status(order)
        self.world.record(self.id, f"{order['Operation']} {order.get('group', order.get('Model'))}: {status}")
        self.write()
        return status

    def order_status(self, order):
        if not self.alive:
            return 503
        if order["Fence"] < self.fence:
            return 412
        self.fence = order["Fence"]
        what = order["Operation"]
        if what == "Stage":
            if order["Model"] in self.staged:
                return 200
            self.later(LOAD_S, lambda: self.staged.append(order["Model"]))
            return 202
        mine = bool(self.seat) and (self.seat["group"], self.seat["epoch"]) == (order["group"], order["epoch"])
        if what == "join":
            return self.join(order, mine)
        if not mine:
            return 409
        if what == "leave":
            self.seat = None
            return 200
        if what == "open":
            if self.state() == "open":
                return 200
            if self.seat["rank"] != 0 or self.seat["state"] != "ready":
                return 409
            seat = self.seat
            self.later(FORM_S, lambda: seat.update(state="open"))
            return 202
        if what == "close":
            self.seat["state"] = "ready"
            return 202
        return 400

    def join(self, order, mine):
        if order["epoch"] < self.epoch or (mine and self.seat["members"] != order["Members"]):
            return 412
        if mine:
            return 200
        self.world.check_join(self, order)
        self.epoch = order["epoch"]
        takes = SAME_S if self.model == order["Model"] else WARM_S if order["Model"] in self.staged else LOAD_S
        seat = {"group": order["group"], "epoch": order["epoch"], "members": order["Members"],
                "rank": order["Members"].index(self.id), "state": "joining"}
        self.seat = seat
        self.stalled_since = None

        def ready():
            self.model = order["Model"]
            if self.model not in self.staged:
                self.staged.append(self.model)
            seat["state"] = "ready"

        self.later(takes, ready)
        return 202

    def later(self, seconds, change):
        self.orders += 1

        def apply():
            change()
            self.write()

        asyncio.get_running_loop().call_later(seconds, apply)

    async def stream(self, request, writer):
        attempt = request.header("x-attempt-id")
        headers = {"X-Attempt-Id": attempt, "X-Replica-Id": self.id}
        if not self.seat or self.seat["rank"] != 0 or self.state() != "open":
            status = 503 if self.seat and self.seat["state"] == "broken" else 421
            writer.write(answer_bytes(status, {**headers, "X-Not-Run": "1"}))
            return
        after = int(request.header("last-event-id", "0") or 0)
        self.world.record(self.id, f"runs {attempt} from event {after + 1}")
        head = (f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Response-Stamp: {self.id}.{attempt}\r\n"
                "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
        writer.write(head.encode())
        seat = self.seat
        for n in range(after + 1, EVENTS + 1):
            await asyncio.sleep(0.03)
            pause = self.world.pause_before(attempt, after, n)
            if pause:
                self.world.record(self.id, f"puts {attempt} back for {pause} s")
                end = self.world.now() + pause
                while self.world.now() < end:
                    await asyncio.sleep(0.02)
                    if writer.transport.is_closing():
                        self.world.record(self.id, f"sees the connection of {attempt} closed by the router")
                        return
                self.world.record(self.id, f"goes on with {attempt}")
            while self.seat is seat and self.stands_still() and self.state() != "broken":
                await asyncio.sleep(0.01)
            if self.seat is not seat or self.state() == "broken":
                raise ConnectionError("cut")
            event = f"id: {n}\ndata: {attempt}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()


class World:
    """The store and all replicas, and the check of rule TWO."""

    def __init__(self, record, store):
        self.record, self.store, self.engines, self.broken = record, store, {}, []

    async def start(self, count):
        for n in range(1, count + 1):
            self.engines[f"i-model{n}"] = Engine(f"i-model{n}", self)
        for engine in self.engines.values():
            await engine.start()
        self.store.put("op/config", json.dumps(CONFIG))

    def now(self):
        return now_ms() / 1000

    def open_heads(self):
        engines = [e for e in self.engines.values() if e.alive and e.seat and e.seat["rank"] == 0]
        return [e for e in engines if e.state() == "open"]

    async def wait_open(self, count):
        """Waits until so many groups are open; false if they aren't in time."""
        for _ in range(400):
            if len(self.open_heads()) == count:
                return True
            await asyncio.sleep(0.05)
        return False

    def pause_before(self, attempt, after, event):
        """Seconds for which a stream, begun after event `after`, is put back before an event."""
        return 0

    def check_join(self, engine, order):
        """Rule TWO: a join while the head of the replica's own group is open, closing or stands still
        without yet being broken."""
        if not engine.seat or engine.seat["group"] == order["group"]:
            return
        head = self.engines[engine.seat["members"][0]]
        same = head.alive and head.seat and head.seat["group"] == engine.seat["group"]
        if same and head.state() in ("open", "closing"):
            self.broken.append(f"TWO at {self.now():.3f} s: {engine.id} was joined to {order['group']} while "
                               f"{engine.seat['group']} of {head.id}, which it hadn't left, was open")
