"""Stored jobs need a label that no worker has yet. Workers with it are added 40 s
later. Entries to which these don't come by themselves never ask for them again:
their jobs never run."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib-2"))
import world as lib

ENTRIES, WORKERS, ADDED, JOBS = 44, 24, 2, 12
ZONES = ("zone-a", "zone-b")
FINISH_S = 16           # bounds.finish_s of the fleet
WATCH_S = 30            # longer than finish_s
LATER_S = 40            # the workers are added so long after the jobs; with
                        # TROUBLE=0 they are there before them


async def play(w, trouble):
    await w.build(ENTRIES, WORKERS, {
        "bookings": ("/b/", {"priority": 0, "maxAttempts": 3, "stretch": 1.6,
                             "targetLatencyMs": 60})},
        worker_args={"labels": ["a"]}, zones=ZONES)
    if not await w.until_ready(40):
        raise lib.CannotRun("the entries did not become ready")
    await asyncio.sleep(8)
    jobs = {}

    async def add():
        for i in range(ADDED):
            await (await w.add_side(ZONES[i % 2], {"labels": ["b"]})).start()
        w.note(f"{ADDED} workers with the label are added")
        return w.now()

    async def hand_in(at, label):
        job = lib.job_id()
        w.jobs[job] = {"durable": True}
        answer = await w.request(at, "POST", "/b/" + job, {
            "spec": "sleep:60", "steps": [
                {"count": 1, "cpu": 3100, "memMb": 64, "estimateMs": 60,
                 "requires": label}]})
        if answer is None or answer[0] // 100 != 2:
            raise lib.CannotRun(f"edge-{at} did not accept a job: {answer}")
        return job
    if not trouble:
        await add()
        await asyncio.sleep(3)
    for at in range(JOBS):
        jobs[at] = await hand_in(at, "b")
    accepted_at = added_at = w.now()
    if trouble:
        await asyncio.sleep(LATER_S)
        added_at = await add()
    states = {}
    while w.now() < added_at + WATCH_S:
        await asyncio.sleep(2)
        for at, job in jobs.items():
            if states.get(at) != "completed":
                answer = await w.request(43, "GET", "/b/" + job)
                states[at] = answer and answer[1].get("state")
        if all(s == "completed" for s in states.values()):
            break
    # The workers serve: a job for the label is done at an entry that they are
    # linked to by themselves, and a job for the other label at each entry.
    new = w.workers[-ADDED:]
    served = sum(len(x.history) for x in new)
    broken, others = [], 0
    for at, job in jobs.items():
        if states[at] == "completed":
            continue
        control = await hand_in(at, "a") if len(broken) < 3 else None
        end = w.now() + (4 if control else 0)
        while w.now() < end:
            answer = await w.request(43, "GET", "/b/" + control)
            if answer and answer[1].get("state") == "completed":
                others += 1
                break
            await asyncio.sleep(0.3)
        broken.append(
            f"LOST: job {job}, accepted by edge-{at}: "
            f"{sum(1 for r in w.runs() if r.task.startswith(job))} starts in the "
            f"{w.now() - added_at:.1f} s since workers with its label were added "
            f"(finish_s is {FINISH_S}), state {states[at]}; these run "
            f"{sum(len(x.running) for x in new)} tasks")
    facts = [f"workers with the label added {added_at - accepted_at:.1f} s after the last "
             f"job was accepted; jobs {len(jobs)}, completed "
             f"{sum(s == 'completed' for s in states.values())}; runs on the added workers {served}",
             f"of the first three entries with such a job, these served another one: {others}"]
    return broken, facts, None

lib.main(play, HERE)
