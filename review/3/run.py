"""A stream is cut by its router because its replica pauses, while the router has no retries to spend.

Two routers, the first of them the planner, and six model replicas of one domain: two open groups. The
second router is stopped with SIGTERM and started again (planned work). A few seconds later its
settings file changes, which SIGHUP tells it (planned work too), and a client sends it a stream that
may be resumed. Its replica puts the stream back after a few events, as PROTOCOL.md says of one whose
memory runs out, and goes on with it 1.3 s later. Nothing else happens.
"""

import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from engines import EVENTS, MODEL, World
from standins import Router, Store, call, run_script, status_of

PAUSE_S, PAUSE_AFTER = 1.3, 4


class PausingWorld(World):
    def pause_before(self, attempt, after, event):
        is_due = attempt.startswith("paused") and after == 0 and event == PAUSE_AFTER + 1
        return PAUSE_S if is_due else 0


async def main(record, folder, trouble):
    store = Store()
    await store.start()
    world = PausingWorld(record, store)
    await world.start(6)
    planner = Router("front-hall-a-1", "hall-a", store, folder)
    router = Router("front-hall-a-2", "hall-a", store, folder)
    broken = []

    async def client(attempt):
        headers = {"X-Attempt-Id": attempt, "X-Deadline-Ms": "8000", "Authorization": "Bearer key-of-ann",
                   "X-Model": MODEL, "X-Token-Counts": "200,48", "X-Prompt-Prefix": "5c1e07a2:200"}
        record("client", f"sends {attempt} to {router.name}")
        try:
            answer = await call(router.host, router.front, "POST", "/draft/1/", headers, attempt.encode())
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError) as why:
            record("client", f"finds the connection closed without a complete answer to {attempt} ({type(why).__name__})")
            return False
        events = answer.body.count(b"data:")
        record("client", f"gets {status_of(answer)} for {attempt}, {events} events")
        return status_of(answer) == 200 and events == EVENTS

    try:
        await planner.start()
        if not await world.wait_open(2):
            return None
        await router.start()
        if not await router.wait_ready():
            return None
        await asyncio.sleep(2.0)
        if not await client("plain-0"):
            return None
        if trouble:
            record("script", f"SIGTERM to {router.name}")
            await router.restart()
            record("script", f"{router.name} is started again")
            if not await router.wait_ready():
                return None
            await asyncio.sleep(4.0)
        for n in range(3):
            if trouble:
                record("script", f"SIGHUP to {router.name}")
                router.process.send_signal(signal.SIGHUP)
                await asyncio.sleep(0.1)
            whole = await client(f"paused-{n}")
            if not whole and trouble:
                broken.append(f"LOST: paused-{n} was sent 0.1 s after SIGHUP and passed on to a sound replica, "
                              "and its connection was closed without a complete answer")
            elif not whole:
                broken.append(f"paused-{n} has no complete answer, without planned work")
    finally:
        await planner.end()
        await router.end()
    return broken


run_script(main, os.path.dirname(os.path.abspath(__file__)))
