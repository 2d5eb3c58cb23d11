"""The store goes down while it carries out a call; nothing that was refused may
run."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.realpath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "world-3"))
import world

JOBS_PER_S = 20.0
TRAFFIC_S = 16.0
DOWN_AFTER_S = 5.0
DOWN_S = 4.5
JOB = {"spec": "work:200", "steps": [{"count": 2, "cpu": 1600, "memMb": 64, "estimateMs": 200}]}
REJECTIONS = (429, 503)


async def play(d, trouble):
    answers = {}  # id -> statuses of all attempts; None: no answer

    async def hand_in(n):
        """As a client does: again after no answer, 502 or 504, at any entry; a
        429 or 503 is final."""
        job_id = world.new_id()
        answers[job_id] = []
        for attempt in range(8):
            answer = await d.client(d.entries[(n + attempt) % 3], "POST", "/q/" + job_id, JOB)
            answers[job_id].append(answer[0] if answer else None)
            if answer and answer[0] not in (502, 504):
                return
            await asyncio.sleep(world.RESEND_S)

    began = world.now()
    down = not trouble
    handed = []
    while world.now() < began + TRAFFIC_S:
        if not down and world.now() > began + DOWN_AFTER_S:
            down = True
            await d.store_fault("all", "goes down", 10, down_s=DOWN_S)
        handed.append(asyncio.ensure_future(hand_in(len(handed))))
        await asyncio.sleep(max(0, began + len(handed) / JOBS_PER_S - world.now()))
    await asyncio.wait(handed, timeout=15)
    await asyncio.sleep(14)
    started = {}
    for e in d.events():
        if e["what"] == "start":
            started.setdefault(e["task"].split(".")[0], e)
    broken = []
    for job_id, statuses in answers.items():
        if job_id in started and all(s in REJECTIONS for s in statuses):
            broken.append(f"job {job_id} was answered {statuses}, and its task "
                          f"{started[job_id]['task']} was started")
    refused = sum(1 for s in answers.values() if all(x in REJECTIONS for x in s))
    d.record.write("summary", jobs=len(answers), refused=refused, started=len(started),
                   refused_and_started=len(broken))
    print(f"{len(answers)} jobs, {refused} refused, {len(broken)} refused and started")
    return broken


world.run_case(HERE, play, entries=3, workers=2, cpu=16000)
