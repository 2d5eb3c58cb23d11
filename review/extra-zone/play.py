"""A zone is closed for new work. Entries of that zone whose streams all come from
it never ask for others: stored jobs that they accept don't run, though the
workers of the other zone are idle."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib-2"))
import world as lib

ENTRIES, CLOSED_SIDE, OPEN_SIDE = 44, 20, 4
ZONES = ("zone-a", "zone-b")
FINISH_S = 14           # bounds.finish_s of the site
WATCH_S = 30            # longer than finish_s; the zone stays closed


async def play(w, trouble):
    await w.build(ENTRIES, 0, {
        "bookings": ("/b/", {"priority": 0, "maxAttempts": 3, "stretch": 1.6,
                             "targetLatencyMs": 60})}, zones=ZONES)
    for i in range(CLOSED_SIDE + OPEN_SIDE):
        await (await w.add_side(ZONES[0] if i < CLOSED_SIDE else ZONES[1])).start()
    if not await w.until_ready(40):
        raise lib.CannotRun("the entries did not become ready")
    await asyncio.sleep(12)
    if trouble:
        w.store.put("op", "evacuate/zone-a", {})
        w.note("the operator closes zone-a")
    await asyncio.sleep(6)
    jobs = {}
    for at in range(0, ENTRIES, 2):      # the entries of zone-a
        job = lib.job_id()
        w.jobs[job] = {"durable": True}
        answer = await w.request(at, "POST", "/b/" + job, {
            "spec": "sleep:60", "steps": [
                {"count": 1, "cpu": 3100, "memMb": 64, "estimateMs": 60}]})
        if answer is not None and answer[0] // 100 == 2:
            jobs[job] = at
    if len(jobs) < ENTRIES // 4:
        raise lib.CannotRun(f"only {len(jobs)} jobs were accepted")
    handed_in = w.now()
    left = dict(jobs)
    while left and w.now() < handed_in + WATCH_S:
        await asyncio.sleep(1)
        for job in list(left):
            answer = await w.request(1, "GET", "/b/" + job)
            if answer and answer[1].get("state") == "completed":
                del left[job]
    free = [x for x in w.workers if x.zone == ZONES[1]]
    broken = [f"LOST: job {job}, accepted by edge-{at}: "
              f"{sum(1 for r in w.runs() if r.task.startswith(job))} starts in the "
              f"{w.now() - handed_in:.1f} s since (finish_s is {FINISH_S}), while the "
              f"{len(free)} workers of the open zone run "
              f"{sum(len(x.running) for x in free)} tasks" for job, at in left.items()]
    facts = [f"stored jobs accepted by entries of zone-a {len(jobs)}, completed "
             f"{len(jobs) - len(left)}, within {w.now() - handed_in:.1f} s"]
    return broken, facts, None

lib.main(play, HERE)
