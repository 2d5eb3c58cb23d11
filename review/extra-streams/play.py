"""Machines beside workers are lost for good. An entry that had streams to these
alone never gets another one: the jobs that it has accepted never run, though
the other workers are idle."""
import asyncio
import os
import random
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib-2"))
import world as lib

ENTRIES, WORKERS = 44, 24
ZONES = ("zone-a", "zone-b")
FINISH_S = 16           # bounds.finish_s of the fleet
WATCH_S = 30            # longer than finish_s


async def streams(w, side):
    """The entries that this sidecar has a stream to (its GET /v1/status)."""
    answer = await lib.call(side.settings["http"], "GET", "/v1/status", timeout=3)
    if answer is None or answer[0] != 200:
        raise lib.CannotRun(f"{side.name} tells no status")
    return {e["address"] for e in answer[1]["entries"] if e["up"]}


async def done(w, job, at, until):
    while w.now() < until:
        answer = await w.request(at, "GET", "/b/" + job)
        if answer and answer[0] == 200 and answer[1].get("state") == "completed":
            return w.now()
        await asyncio.sleep(1)
    return None


async def hand_in(w, at, tasks=2, ms=200):
    job = lib.job_id()
    w.jobs[job] = {"durable": True}
    answer = await w.request(at, "POST", "/b/" + job, {
        "spec": f"sleep:{ms}", "steps": [
            {"count": tasks, "cpu": 3100, "memMb": 64, "estimateMs": ms}]})
    if answer is None or answer[0] // 100 != 2:
        return None
    w.note(f"job {job} accepted by edge-{at}")
    return job


async def play(w, trouble):
    await w.build(ENTRIES, WORKERS, {
        "bookings": ("/b/", {"priority": 0, "maxAttempts": 3, "stretch": 1.6,
                             "targetLatencyMs": 60})}, zones=ZONES)
    if not await w.until_ready(40):
        raise lib.CannotRun("the entries did not become ready")
    await asyncio.sleep(12)
    # Of the entries of zone-a, the one with the fewest streams from zone-b.
    linked = {s.name: await streams(w, s) for s in w.sidecars}
    def of(e, zone):
        return [s for s in w.sidecars if s.settings["failure_domain"] == zone
                and e.settings["link"] in linked[s.name]]
    counts = [len(of(e, "zone-a")) + len(of(e, "zone-b")) for e in w.entries]
    first = min((i for i in range(ENTRIES) if ZONES[i % 2] == "zone-a"),
                key=lambda i: len(of(w.entries[i], "zone-b")))
    if not counts[first]:
        raise lib.CannotRun("the entry had no stream before the loss")
    facts = [f"streams of an entry before the loss: {min(counts)} to {max(counts)}; "
             f"of edge-{first}: {counts[first]}"]
    before = await hand_in(w, first, tasks=4, ms=3000)
    if before is None:
        raise lib.CannotRun(f"edge-{first} accepted no job")
    await asyncio.sleep(0.5)
    lost = []
    if trouble:
        extra = of(w.entries[first], "zone-b")
        for s, x in zip(w.sidecars, w.workers):
            if s.settings["failure_domain"] == "zone-a" or s in extra:
                lost.append((s, x))
        for s, x in lost:
            s.signal(signal.SIGKILL)
            await x.remove()
        w.note(f"{len(lost)} of {WORKERS} machines beside workers are lost for good")
    lost_at = w.now()
    await asyncio.sleep(2)
    after = await hand_in(w, first)
    other = None
    for i in (random.randrange(ENTRIES) for _ in range(40)):
        left = [s for s in w.sidecars if all(s is not l for l, _ in lost)
                and w.entries[i].settings["link"] in linked[s.name]]
        if i != first and left:
            other = i
            break
    control = await hand_in(w, other)
    until = lost_at + WATCH_S
    results = await asyncio.gather(
        done(w, before, other, until),
        done(w, after, other, until) if after else asyncio.sleep(0),
        done(w, control, other, until))
    left = [x for x in w.workers if not x.gone]
    facts += [f"lost: {len(lost)} of {WORKERS} workers; left: {len(left)}, with "
              f"{sum(x.cpu for x in left)} thousandths of a core, "
              f"{sum(len(x.running) for x in left)} tasks at work at the end",
              f"streams to edge-{first} from those that are left, at the end: "
              + str(sum([w.entries[first].settings["link"] in await streams(w, s)
                         for s, x in zip(w.sidecars, w.workers) if not x.gone])),
              f"control job at edge-{other}: "
              + (f"completed {results[2] - lost_at:.1f} s after the loss" if results[2]
                 else "not completed")]
    if results[2] is None:
        raise lib.CannotRun("the control job was not completed")
    ready = await lib.call(w.entries[first].settings["ready"], "GET", "/api/ready")
    facts.append(f"edge-{first} answers /api/ready with {ready and ready[0]}")
    broken = []
    for job, what, end in ((before, "accepted before the loss", results[0]),
                           (after, "accepted after the loss", results[1])):
        if job is None or end is not None:
            continue
        runs = [r for r in w.runs() if r.task.startswith(job) and r.began > lost_at]
        state = await w.request(other, "GET", "/b/" + job)
        broken.append(
            f"LOST: job {job}, {what} by edge-{first}: {len(runs)} starts in the "
            f"{w.now() - lost_at:.1f} s since (finish_s is {FINISH_S}), state "
            f"{state and state[1].get('state')}, while {len(left)} workers were idle")
    return broken, facts, None

lib.main(play, HERE)
