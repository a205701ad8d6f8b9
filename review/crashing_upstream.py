"""An upstream as a process of its own, which some requests crash.

It ends without an answer as soon as it begins to run a request whose body starts with
``POISON``. Standard output has a line for each run; the script copies them into its
record.

Arguments: address of the upstream, control address of its machine, id, service.
"""

import os
import sys
import threading

from mesh import Upstream

POISON = b"poison"
WORK_S = 0.5
EXIT_CRASHED = 70


class _PrintedRecord:
    """Writes the record of this process to standard output, a line at a time."""

    def write(self, what: str, **fields) -> None:
        if what == "heartbeat":
            return
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        os.write(sys.stdout.fileno(), f"{what}\t{text}\n".encode())


class CrashingUpstream(Upstream):
    def run(self, body: bytes) -> None:
        if body.startswith(POISON):
            os._exit(EXIT_CRASHED)
        if body:
            self.work_s = WORK_S
        super().run(body)


def main() -> None:
    app, control, server_id, service = sys.argv[1:]
    record = _PrintedRecord()
    CrashingUpstream(record, app, control, server_id, service).start_reporting()
    threading.Event().wait()


if __name__ == "__main__":
    main()
