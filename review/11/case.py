"""A wide job is accepted among small ones; every accepted job must go on."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.realpath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "world-3"))
import world

WIDE = int(os.environ.get("WIDE", "14000"))
TRAFFIC_S = 20.0
FINISH_S = 14.0
IDLE_S = 3.0
CPU = 32000
WORKERS = 3


def job(tasks, work_ms):
    return {"spec": f"work:{work_ms}",
            "steps": [{"count": tasks, "cpu": 100, "memMb": 16, "estimateMs": work_ms}]}


def busy(events, since, until):
    """For each job the time for which a run of it was active in the span, and
    the largest share of the workers' capacity in use."""
    spans = {}
    for e in events:
        if e["what"] == "start":
            spans[(e["worker"], e["task"], e["run"])] = [e["t"], None]
        elif e["what"] == "end" and (e["worker"], e["task"], e["run"]) in spans:
            spans[(e["worker"], e["task"], e["run"])][1] = e["t"]
    active, changes = {}, []
    for (_, task, _), (began, ended) in spans.items():
        ended = until if ended is None else ended
        overlap = min(ended, until) - max(began, since)
        if overlap > 0:
            name = task.split(".")[0]
            active[name] = active.get(name, 0) + overlap
            changes += [(max(began, since), 100), (min(ended, until), -100)]
    most = used = 0
    for _, change in sorted(changes):
        used += change
        most = max(most, used)
    return active, most / (CPU * WORKERS)


async def play(d, trouble):
    accepted = {}  # id -> tasks
    small = []

    async def hand_in(entry, tasks, work_ms):
        job_id = world.new_id()
        if await d.submit(job_id, job(tasks, work_ms), first=entry, tries=8):
            accepted[job_id] = tasks

    end = world.now() + TRAFFIC_S
    wide = None
    for i in range(1000):
        if world.now() >= end:
            break
        small.append(asyncio.ensure_future(hand_in(i % 3, 4, 200)))
        if i == 8:
            wide = asyncio.ensure_future(hand_in(0, WIDE if trouble else 420, 40))
        await asyncio.sleep(0.25)
    await asyncio.sleep(FINISH_S)
    watched = world.now()
    await asyncio.sleep(IDLE_S + 1)
    until = world.now()
    events = d.events()
    active, used = busy(events, watched, until)
    done = {e["task"] for e in events if e["what"] == "end" and e["how"] == "done"}
    d.record.write("watched", since=round(watched, 3), until=round(until, 3), used=round(used, 3))
    broken = []
    for job_id, tasks in list(accepted.items()):
        states = [await d.client(e, "GET", "/q/" + job_id, timeout=3) for e in d.entries]
        told = [s[1].get("state") if s else None for s in states]
        if "completed" in told:
            continue
        to_run = [i for i in range(tasks) if f"{job_id}.0.0.{i}" not in done]
        if to_run and used < 0.5 and job_id not in active:
            broken.append(f"accepted job {job_id} of {tasks} tasks is {told}; {len(to_run)} of "
                          f"its tasks have never ended done, and nothing of it ran for "
                          f"{until - watched:.1f} s, with {used:.2f} of the room in use")
    for f in small + [wide]:
        f.cancel()
    d.record.write("accepted", jobs=len(accepted), stuck=len(broken))
    return [f"{len(broken)} of {len(accepted)} accepted jobs, the first: {broken[0]}"] if broken else []


world.run_case(HERE, play, entries=3, workers=WORKERS, cpu=CPU)
