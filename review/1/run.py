"""A replica's late second copy of a refusal is taken for the answer to the same request's next send.

Two routers and two replicas of a plain service, each with one slot and one place in its queue. Four
clients of the second router take all places. A fifth client, of the first router, sends a request
that can't be repeated: both replicas are full and refuse it (503 with X-Not-Run), and it is sent to
the first of them again when that has a place. The replicas are faulty: a refusal arrives a second
time on its connection, in the place of the next answer due there.
"""

import asyncio
import json
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from standins import (Router, Store, answer_bytes, call, read_message, run_script, status_of)

SLOTS, QUEUE, WORK_S = 1, 1, 0.045

CONFIG = {
    "Version": 7,
    "Routes": [
        {"Name": "pay", "Host": "a.example", "PathPrefix": "/pay/", "Kind": "unsafe", "TimeoutMs": 2000,
         "SloMs": 300, "Priority": 2, "Service": "gate", "MaxAttempts": 1, "Public": False},
        {"Name": "book", "Host": "a.example", "PathPrefix": "/book/", "Kind": "unsafe", "TimeoutMs": 2000,
         "SloMs": 300, "Priority": 2, "Service": "gate", "MaxAttempts": 2, "Public": False},
    ],
    "Services": [{"Name": "gate", "HealthPath": "/health", "MaxConns": 110, "Protocol": "h1", "Tls": False}],
    "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
    "Tenants": [{"Name": "ann", "ApiKeys": ["key-of-ann"]}],
}


class Replica:
    """A replica of a plain service."""

    def __init__(self, name, record, runs, faulty):
        self.id, self.record, self.runs, self.faulty = name, record, runs, faulty
        self.port, self.seq, self.held = None, 0, 0
        self.slot = asyncio.Semaphore(SLOTS)

    async def start(self, store):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]
        asyncio.ensure_future(self.beat(store))

    async def beat(self, store):
        while True:
            self.seq += 1
            entry = {"Service": "gate", "Address": f"127.0.0.1:{self.port}", "Zone": "hall-a", "Version": "v1",
                     "Slots": SLOTS, "State": "ready", "ColdLeftMs": 0, "Seq": self.seq}
            store.put(f"servers/{self.id}", json.dumps(entry))
            await asyncio.sleep(1.2)

    async def serve(self, reader, writer):
        surplus = None
        try:
            while True:
                request = await read_message(reader)
                if surplus:
                    self.record(self.id, "gives its last refusal again, in the place of the next answer due")
                    writer.write(surplus)
                    surplus = None
                answer, refused = await self.answer(request)
                if refused and self.faulty:
                    surplus = answer
                writer.write(answer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, request):
        attempt = request.header("x-attempt-id")
        headers = {"X-Attempt-Id": attempt, "X-Replica-Id": self.id}
        path = request.first.split()[1]
        if request.header("x-expect-instance", self.id) != self.id:
            return answer_bytes(421, {**headers, "X-Not-Run": "1"}), False
        if path in ("/health", "/runrail/report"):
            return answer_bytes(200, headers, b"{}"), False
        if self.held >= SLOTS + QUEUE:
            self.record(self.id, f"is full and refuses {attempt} (503, X-Not-Run)")
            return answer_bytes(503, {**headers, "X-Not-Run": "1"}), True
        self.held += 1
        try:
            async with self.slot:
                self.record(self.id, f"runs {attempt}")
                self.runs.append((attempt, self.id))
                await asyncio.sleep(WORK_S)
        finally:
            self.held -= 1
        return answer_bytes(200, {**headers, "X-Response-Stamp": f"{self.id}.{attempt}"}, b"paid"), False


async def main(record, folder, trouble):
    store = Store()
    await store.start()
    store.put("op/config", json.dumps(CONFIG))
    runs = []
    replicas = [Replica(name, record, runs, trouble) for name in ("i-gate1", "i-gate2")]
    for replica in replicas:
        await replica.start(store)
    router = Router("front-hall-a-1", "hall-a", store, folder)
    second = Router("front-hall-a-2", "hall-a", store, folder)
    answers = {}

    async def client(router, path, attempt):
        headers = {"X-Attempt-Id": attempt, "X-Deadline-Ms": "4000", "Authorization": "Bearer key-of-ann"}
        record("client", f"sends {attempt} (POST {path}) to {router.name}")
        answer = await call(router.host, router.front, "POST", path, headers, b"one payment")
        answers[attempt] = status_of(answer)
        stamp = answer.header("x-response-stamp", "none")
        record("client", f"gets {status_of(answer)} for {attempt}, stamp {stamp}")

    try:
        await router.start()
        await second.start()
        if not (await router.wait_ready() and await second.wait_ready()):
            return None
        await asyncio.sleep(1.5)
        for n, route in enumerate(["pay", "book", "pay", "book"]):
            path = f"/{route}/{n}/"
            others = [asyncio.ensure_future(client(second, path, f"{route}{n}-other{k}")) for k in range(4)]
            for _ in range(30):
                if all(replica.held == SLOTS + QUEUE for replica in replicas):
                    break
                await asyncio.sleep(0.001)
            await client(router, path, f"{route}{n}-fifth")
            await asyncio.gather(*others)
            # Connections that have rested so long aren't used again for what can't be repeated.
            await asyncio.sleep(2.0)
    finally:
        await router.end()
        await second.end()
    broken = []
    for attempt, status in answers.items():
        count = sum(1 for a, _ in runs if a == attempt)
        at = ", ".join(where for a, where in runs if a == attempt)
        if count > 1:
            broken.append(f"TWICE: {attempt}, which isn't idempotent, ran {count} times ({at})")
        if count > 0 and status in (408, 421, 429, 503):
            broken.append(f"REFUSED: {attempt} ran ({at}), and its client got {status}")
    return broken


run_script(main, os.path.dirname(os.path.abspath(__file__)))
