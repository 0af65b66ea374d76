"""The owner is killed while a worker has more ends to tell than one response carries."""
import asyncio
import os
import random
import signal
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
from standin import *  # noqa: E402,F403

TASKS = 640
JOB = {"Spec": "work", "Steps": [{"Count": TASKS, "Cpu": 100, "MemMb": 300, "EstimateMs": 6000}]}


async def case(d):
    await d.configure()
    ends_at = {}
    opening = {}

    def seconds(task, _):
        opening.setdefault("at", now())
        if task not in ends_at:
            ends_at[task] = random.uniform(6.2, 8.0)
        return max(0.3, opening["at"] + ends_at[task] - now()) if task not in again else 0.5

    again = set()
    for _ in range(2):
        worker = await d.add_worker(seconds)
        worker.demand = lambda task: (100, 300)
    for _ in range(3):
        await d.add_node()
    await d.wait_ready()
    job = new_id()
    if (await d.call(d.nodes[0], "POST", job, JOB))[0] != 200:
        return CANNOT_RUN
    end = now() + 6
    while sum(len(worker.running) for worker in d.workers) < TASKS and now() < end:
        await asyncio.sleep(0.02)
    d.log("running", " ".join(f"{w.name}={len(w.running)}" for w in d.workers))
    if sum(len(worker.running) for worker in d.workers) < TASKS:
        return CANNOT_RUN
    await asyncio.sleep(max(0.0, opening["at"] + 6.0 - now()))
    again.update(ends_at)
    if TROUBLE:
        killed = d.owner()
        d.signal(killed, signal.SIGKILL)
        await killed["process"].wait()
        await asyncio.sleep(1)  # "restarted after a short delay"
        await d.start_node(killed)
    state = await d.wait_state(job, ("completed", "failed"), 30)
    await asyncio.sleep(2)
    found = twice(d.workers)
    for task, how, first, second in found:
        d.log("BROKEN", f"TWICE: {task}: {how}: run {first.run} ended {first.how}, "
                        f"run {second.run} on {second.worker}")
    print(f"state={state} tasks_run_twice={len({f[0] for f in found})}")
    return BROKEN if found else HELD


main(__file__, case)
