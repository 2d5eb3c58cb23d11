"""Orders to workers are left unanswered and carried out late; a run whose
caller has been told 504 goes on while the job runs again."""
import asyncio
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib-2"))
import world as lib

VICTIM_MS = 3600        # the longest task of field-confirm (work_ms max 3600)
DEADLINE_MS = 1500      # the clients' time budget
SHARE = 0.055           # applied_late, x
WINDOW_S = 5.5          # applied_late, for_s


async def play(w, trouble):
    await w.build(entries=3, workers=4, queues={
        "quick": ("/quick/", {"priority": 0, "maxAttempts": 4, "stretch": 1.6,
                              "targetLatencyMs": 60}),
        "long": ("/long/", {"priority": 2, "maxAttempts": 3, "stretch": 1.6,
                            "targetLatencyMs": 60})})
    if not await w.until_ready():
        raise lib.CannotRun("the entries did not become ready")
    await asyncio.sleep(2)
    victims = set()
    window = {}

    def hook_of(worker):
        def hook(kind, body):
            # From the window's begin on the worker leaves stops unanswered, and
            # carries each out 2 to 12 s later. All other orders are answered.
            if not trouble or kind != "stop" or "from" not in window:
                return None
            inside = window["from"] <= w.now() <= window["from"] + WINDOW_S
            if not inside:
                return None
            total = sum(1 for x in w.workers for o in x.orders if o[0] >= window["from"])
            late = sum(1 for x in w.workers for o in x.orders
                       if o[0] >= window["from"] and not o[2])
            if late + 1 > SHARE * (total + 1):
                return None
            return random.uniform(2, 12)
        return hook
    for worker in w.workers:
        worker.hook = hook_of(worker)

    stop = asyncio.Event()
    answers = []

    async def quick_job():
        body = {"spec": "sleep:60 quick", "bestEffort": True,
                "steps": [{"count": 8, "cpu": 3100, "memMb": 64, "estimateMs": 60}]}
        answers.append(await w.request(random.randrange(3), "POST",
                                       "/quick/" + lib.job_id(), body, DEADLINE_MS))

    async def traffic():
        while not stop.is_set():
            w.tasks.append(asyncio.create_task(quick_job()))
            await asyncio.sleep(random.expovariate(45))

    async def victim():
        """One client: sends the job; after 504, a broken channel or no
        response it sends it again 1,300 ms later, to any daemon."""
        job = lib.job_id()
        victims.add(job)
        body = {"spec": f"sleep:{VICTIM_MS} long", "bestEffort": True,
                "steps": [{"count": 1, "cpu": 3100, "memMb": 64,
                           "estimateMs": VICTIM_MS}]}
        at = random.randrange(3)
        for _ in range(2):
            answer = await w.request(at, "POST", "/long/" + job, body, DEADLINE_MS)
            if answer is not None and answer[0] not in (502, 504):
                return
            await asyncio.sleep(lib.RESEND_MS / 1000)
            at = (at + 1 + random.randrange(2)) % 3

    w.tasks.append(asyncio.create_task(traffic()))
    await asyncio.sleep(3)
    window["from"] = w.now()
    w.note("window of late orders opens" if trouble else "no trouble")
    await victim()
    await asyncio.sleep(2.5)
    stop.set()
    await asyncio.sleep(1)

    orders = [o for x in w.workers for o in x.orders
              if window["from"] <= o[0] <= window["from"] + WINDOW_S]
    late = [o for o in orders if not o[2]]
    ok = sum(1 for a in answers if a and a[0] == 200)
    facts = [f"orders to the workers in the window of {WINDOW_S} s: {len(orders)}, "
             f"left unanswered {len(late)} ({len(late) / max(1, len(orders)):.4f})",
             f"quick jobs sent {len(answers)}, completed {ok}"]
    if ok < len(answers) / 2:
        raise lib.CannotRun(f"only {ok} of {len(answers)} quick jobs completed")
    return w.twice(), facts, None

lib.main(play, HERE)
