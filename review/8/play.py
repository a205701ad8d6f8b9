"""An acknowledged leaving is forgotten when all processes are killed.

Six machines in two zones, one service. The store is down for 2.6 s. Meanwhile one
upstream sends DELETE and is acknowledged, and 0.2 s later all processes of the system
are killed and started again. Two heartbeats that the upstream had sent before come
seconds late. It goes on serving for 12 s after the acknowledgement. The rule is broken
if it then runs a request that was sent later than ``drainS`` after the acknowledgement,
at a time at which all machines are in touch.
"""

import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import mesh_2  # noqa: E402

LAYOUT = {"a1": "za", "a2": "za", "a3": "za", "b1": "zb", "b2": "zb", "b3": "zb"}
LEAVING = "a1"
DRAIN_S, STABLE_WINDOW_S = 2.0, 3.0
RESTART_DELAY_S = 1.0
# From the acknowledgement on.
LATE_BEATS_AT_S = (4.5, 6.0)
SERVES_FOR_S = 12.0
PAUSE_S = 0.05


async def send_reads(mesh: mesh_2.Mesh, tag: str, stop: asyncio.Event, sent: dict):
    """Send reads to all nodes until ``stop`` is set; note when each was sent."""
    record = mesh.record

    async def send(name: str) -> None:
        client = mesh_2.Client(mesh.nodes[name]["ports"]["outbound"])
        count = 0
        while not stop.is_set():
            count += 1
            request_id = f"{tag}-{name}-{count}"
            sent[request_id] = record.now_s()
            answer = await client.request("GET", "/shop/1", request_id)
            record.write(
                f"{request_id}, sent at {sent[request_id]:.3f} s to {name}: {answer}"
            )
            await asyncio.sleep(PAUSE_S)
        await client.close()

    await asyncio.gather(*(send(name) for name in mesh.nodes))


async def leave(mesh: mesh_2.Mesh, upstream: mesh_2.Upstream) -> float:
    """Send DELETE until it is acknowledged; return when that was."""
    for _ in range(5):
        status = await upstream.report("DELETE")
        mesh.record.say(f"{upstream.server_id} leaves, DELETE is answered {status}")
        if status is not None and status // 100 == 2:
            return mesh.record.now_s()
        await asyncio.sleep(0.5)
    raise mesh_2.CannotRun("the leaving was not acknowledged, so it binds nobody")


async def kill_and_restart_all(mesh: mesh_2.Mesh) -> None:
    for name in mesh.nodes:
        mesh.signal_node(name, signal.SIGKILL)
    await asyncio.sleep(RESTART_DELAY_S)
    for name in mesh.nodes:
        mesh.start_node(name)


async def play(mesh: mesh_2.Mesh) -> bool:
    mesh.configure(7, [{"prefix": "/shop/", "service": "shop"}])
    for name, zone in LAYOUT.items():
        mesh.add_node(name, zone, "shop")
        mesh.start_node(name)
    for name, node in mesh.nodes.items():
        await mesh_2.Upstream(mesh, node, f"i-{name}").start()
    await mesh.wait_ready()
    record, sent = mesh.record, {}
    upstream = next(item for item in mesh.upstreams if item.node["node"] == LEAVING)
    stop = asyncio.Event()
    reads = asyncio.create_task(send_reads(mesh, "before", stop, sent))
    await asyncio.sleep(5.0)
    # Sent now, but they come late.
    upstream.is_beating = False
    late_beats = [upstream.next_beat() for _ in LATE_BEATS_AT_S]
    if mesh_2.is_troubled():
        mesh.set_store(is_down=True)
    await asyncio.sleep(0.3)
    acked_at_s = await leave(mesh, upstream)
    if mesh_2.is_troubled():
        await asyncio.sleep(0.2)
        await kill_and_restart_all(mesh)
        await asyncio.sleep(1.0)
        mesh.set_store(is_down=False)
    calm_from_s = record.now_s()
    stop.set()
    await reads
    await mesh.wait_ready()
    for beat, at_s in zip(late_beats, LATE_BEATS_AT_S):
        await asyncio.sleep(max(0.0, acked_at_s + at_s - record.now_s()))
        status = await upstream.report("PUT", beat)
        record.say(f"a late heartbeat of {upstream.server_id} comes, answered {status}")
    in_touch_from_s = calm_from_s + STABLE_WINDOW_S + 0.5
    await asyncio.sleep(max(0.0, in_touch_from_s - record.now_s()))
    stop = asyncio.Event()
    reads = asyncio.create_task(send_reads(mesh, "after", stop, sent))
    await asyncio.sleep(max(1.0, acked_at_s + SERVES_FOR_S - record.now_s()))
    stop.set()
    await reads
    late_runs = [
        (request_id, round(sent[request_id] - acked_at_s, 3))
        for _, request_id in upstream.runs
        if request_id.startswith("after") and sent[request_id] > acked_at_s + DRAIN_S
    ]
    after_count = sum(request_id.startswith("after") for request_id in sent)
    record.say(f"acknowledged at {acked_at_s:.3f} s, in touch {in_touch_from_s:.3f} s")
    record.say(
        f"{len(late_runs)} of {after_count} requests ran at {upstream.server_id}, sent"
        f" so many seconds after the acknowledgement: {late_runs[:3]}"
    )
    return bool(late_runs)


if __name__ == "__main__":
    mesh_2.run_case(play, FOLDER, ["za", "zb"])
