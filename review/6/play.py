"""Uploads in chunks during a burst: what reaches the upstreams is compared.

Six machines in two zones, one service. Small reads and uploads of 150 kB, which have no
declared length, arrive at random at a usual rate, which a burst multiplies for 3 s,
three times. The rule is broken if an upstream runs an upload whose body, whole by its
last chunk, is not the one that the client has sent.
"""

import asyncio
import hashlib
import pathlib
import random
import sys
from collections import Counter

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import mesh_2  # noqa: E402

LAYOUT = {"a1": "za", "a2": "za", "a3": "za", "b1": "zb", "b2": "zb", "b3": "zb"}
WORK_S = 0.3
USUAL_PER_S = 110.0
UPLOAD_SHARE = 0.3
UPLOAD_BYTES = 150_000
CHUNK_BYTES = 16_384
BURST_X = 1.7
# Reads alone, since the nodes send few requests at once to an upstream that has just
# started, and refuse others.
WARM_UP_S = 6.0
BURSTS_S = ((9.0, 12.0), (15.0, 18.0), (21.0, 24.0))
LOAD_S = 26.0
DEADLINE_MS = 2000


class Upstream(mesh_2.Upstream):
    """Notes the digest of each upload that it runs."""

    received: list[tuple[str, int, str]] = []

    async def run(self, head, body, writer):
        if head.start[1].startswith("/photos/"):
            digest = hashlib.sha256(body).hexdigest()
            self.received.append((head.get("x-request-id"), len(body), digest))
            self.mesh.record.write(
                f"{self.server_id} has {len(body)} bytes of {head.get('x-request-id')}"
            )
        return await super().run(head, body, writer)


async def upload(port: int, request_id: str, body: bytes) -> mesh_2.Answer:
    """Send a body in chunks on a new connection and wait for the answer."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    lines = [
        f"PUT /photos/{request_id} HTTP/1.1",
        f"Host: {mesh_2.HOST}",
        f"X-Request-Id: {request_id}",
        f"X-Deadline-Ms: {DEADLINE_MS}",
        "Transfer-Encoding: chunked",
    ]
    try:
        writer.write("\r\n".join([*lines, "", ""]).encode())
        for start in range(0, len(body), CHUNK_BYTES):
            part = body[start : start + CHUNK_BYTES]
            writer.write(b"%x\r\n%s\r\n" % (len(part), part))
        writer.write(b"0\r\n\r\n")
        async with asyncio.timeout(DEADLINE_MS / 1000 + 0.5):
            await writer.drain()
            head = await mesh_2.read_head(reader)
            if head is None:
                return mesh_2.Answer()
            body = await mesh_2.read_body(reader, head)
            return mesh_2.Answer(int(head.start[1]), head, body, True)
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
        return mesh_2.Answer()
    finally:
        writer.close()


class Load:
    """Requests at random times, at the rate that the burst sets."""

    def __init__(self, mesh: mesh_2.Mesh):
        self.mesh = mesh
        self.sent: dict[str, tuple[int, str]] = {}
        self.answers: dict[str, mesh_2.Answer] = {}
        self.reads: Counter = Counter()
        self._number = 0
        self._tasks: set[asyncio.Task] = set()

    async def run(self) -> None:
        record = self.mesh.record
        started_s = record.now_s()
        names = list(self.mesh.nodes)
        age_s = 0.0
        while age_s < LOAD_S:
            # By the clock, so that a busy script sends no less.
            await asyncio.sleep(max(0.0, started_s + age_s - record.now_s()))
            is_burst = mesh_2.is_troubled() and any(a <= age_s < b for a, b in BURSTS_S)
            rate_per_s = USUAL_PER_S * (BURST_X if is_burst else 1.0)
            self._number += 1
            node = self.mesh.nodes[names[self._number % len(names)]]
            is_upload = age_s > WARM_UP_S and random.random() < UPLOAD_SHARE
            call = self._upload if is_upload else self._read
            task = asyncio.create_task(call(node, self._number))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            age_s += random.expovariate(rate_per_s)
        while self._tasks:
            await asyncio.gather(*self._tasks)

    async def _read(self, node: dict, number: int) -> None:
        client = mesh_2.Client(node["ports"]["outbound"])
        answer = await client.request("GET", "/shop/1", f"read-{number}")
        await client.close()
        self.reads[answer.status] += 1

    async def _upload(self, node: dict, number: int) -> None:
        request_id = f"upload-{number}"
        body = random.randbytes(UPLOAD_BYTES)
        self.sent[request_id] = (len(body), hashlib.sha256(body).hexdigest())
        self.mesh.record.write(
            f"{request_id} with {len(body)} bytes is sent to {node['node']}"
        )
        answer = await upload(node["ports"]["outbound"], request_id, body)
        self.answers[request_id] = answer
        self.mesh.record.write(f"{request_id}: {answer}")


async def play(mesh: mesh_2.Mesh) -> bool:
    routes = [
        {"prefix": "/photos/", "service": "shop", "kind": "unsafe"},
        {"prefix": "/shop/", "service": "shop", "kind": "safe"},
    ]
    mesh.configure(7, routes)
    for name, zone in LAYOUT.items():
        mesh.add_node(name, zone, "shop")
        mesh.start_node(name)
    for name, node in mesh.nodes.items():
        await Upstream(mesh, node, f"i-{name}", work_s=WORK_S).start()
    await mesh.wait_ready()
    await asyncio.sleep(3.0)
    load = Load(mesh)
    await load.run()
    changed = [
        (request_id, size)
        for request_id, size, digest in Upstream.received
        if (size, digest) != load.sent[request_id]
    ]
    statuses = Counter(load.answers[request_id].status for request_id, _ in changed)
    record = mesh.record
    record.say(f"reads by status: {dict(load.reads)}")
    uploads = Counter(answer.status for answer in load.answers.values())
    record.say(f"uploads by status: {dict(uploads)}")
    record.say(f"uploads run with another body: {len(changed)}, such as {changed[:3]}")
    record.say(f"what their clients got: {dict(statuses)}")
    return bool(changed)


if __name__ == "__main__":
    mesh_2.run_case(play, FOLDER, ["za", "zb"])
