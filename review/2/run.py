"""A head that is cut off from all routers counts as stopped, and its members join another group.

Three routers and four model replicas of one domain: an open group of three and a spare. Each replica is
reached through a proxy. Clients send streams to all routers. Then the proxy of the head passes nothing
on for three seconds, and goes on. The head, its members and the store are sound all the while.
"""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from engines import MODEL, World
from standins import Router, Store, call, run_script, status_of

CUT_S = 3.0


class Proxy:
    """Passes connections on to a replica, and nothing while it is cut."""

    def __init__(self, port):
        self.to, self.port, self.passing = port, None, asyncio.Event()
        self.passing.set()

    async def start(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        to_reader = to_writer = None
        try:
            await self.passing.wait()
            to_reader, to_writer = await asyncio.open_connection("127.0.0.1", self.to)
            ways = [asyncio.ensure_future(w) for w in (self.copy(reader, to_writer), self.copy(to_reader, writer))]
            await asyncio.wait(ways, return_when=asyncio.FIRST_COMPLETED)
            for way in ways:
                way.cancel()
            await asyncio.gather(*ways, return_exceptions=True)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()
            if to_writer:
                to_writer.close()

    async def copy(self, reader, writer):
        while True:
            data = await reader.read(65536)
            await self.passing.wait()
            if not data:
                return
            writer.write(data)
            await writer.drain()


async def main(record, folder, trouble):
    store = Store()
    await store.start()
    world = World(record, store)
    await world.start(4)
    proxies = {}
    for engine in world.engines.values():
        proxies[engine.id] = Proxy(engine.port)
        await proxies[engine.id].start()
        engine.listed_port = proxies[engine.id].port
        engine.write()
    routers = [Router(f"front-hall-a-{n}", "hall-a", store, folder) for n in (1, 2, 3)]
    clients = []

    async def client(router, attempt):
        headers = {"X-Attempt-Id": attempt, "X-Deadline-Ms": "8000", "Authorization": "Bearer key-of-ann",
                   "X-Model": MODEL, "X-Token-Counts": "200,48", "X-Prompt-Prefix": "5c1e07a2:200"}
        try:
            answer = await call(router.host, router.front, "POST", "/draft/1/", headers, attempt.encode())
            record("client", f"gets {status_of(answer)} for {attempt}, {answer.body.count(b'data:')} events")
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError) as why:
            record("client", f"gets no complete answer to {attempt} ({type(why).__name__})")

    async def traffic():
        for n in range(150):
            router = routers[n % 3]
            clients.append(asyncio.ensure_future(client(router, f"stream-{n}")))
            await asyncio.sleep(0.05)

    try:
        for router in routers:
            await router.start()
        if not await world.wait_open(1):
            return None
        for router in routers:
            if not await router.wait_ready():
                return None
        await asyncio.sleep(2.0)
        sending = asyncio.ensure_future(traffic())
        await asyncio.sleep(2.0)
        heads = world.open_heads()
        if len(heads) != 1:
            return None
        head = heads[0]
        if trouble:
            record("script", f"{head.id}, head of {head.seat['group']}, is cut off from all routers")
            proxies[head.id].passing.clear()
            await asyncio.sleep(CUT_S)
            proxies[head.id].passing.set()
            record("script", f"the cut heals; {head.id} is {head.state() if head.seat else 'in no group'}")
        await sending
        await asyncio.gather(*clients)
    finally:
        for router in routers:
            await router.end()
    return world.broken


run_script(main, os.path.dirname(os.path.abspath(__file__)))
