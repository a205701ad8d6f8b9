"""The history of one request, read from the log lines of nodes.

Lines may come from several nodes in any order and may have a prefix, such as a
node's name, before their first field.
"""

import re
import shlex
from datetime import datetime
from typing import Iterable, Iterator, NamedTuple

from guavagap.errors import ErrorKind, error_spec

__all__ = ["LogLine", "RequestTrace", "describe_trace", "read_log", "trace_request"]

# What a node believed of another is renewed within a second or two; five tell how
# it came to its belief.
CONTEXT_WINDOW_S = 5.0
MAX_CONTEXT_LINES = 20
ATTEMPT_EVENT = "attempt failed"
REQUEST_EVENT = "request failed"
_DROPPED_EVENT = "log lines dropped"
_FIRST_FIELD = re.compile(r"\b(time|level)=")
_COMMON_FIELDS = ("time", "level", "event", "node")


class LogLine(NamedTuple):
    """One line of a node's log.

    Attributes:
        at_s: seconds since the epoch; 0 for a line without a time.
        event: what the line tells.
        node_id: the node that wrote it, empty when it names none.
        fields: every other field.
    """

    at_s: float
    event: str
    node_id: str
    fields: dict[str, str]


class RequestTrace(NamedTuple):
    """What the logs tell of one request.

    Attributes:
        request_id: the request.
        steps: its own lines, oldest first.
        context: changes of what the nodes that it met believed, shortly before.
        dropped_count: lines that nodes could not write, anywhere in the logs.
    """

    request_id: str
    steps: tuple[LogLine, ...]
    context: tuple[LogLine, ...]
    dropped_count: int


def read_log(texts: Iterable[str]) -> Iterator[LogLine]:
    """Yield the lines of a log that can be read; others are passed over."""
    for text in texts:
        line = _parse(text)
        if line is not None:
            yield line


def _parse(text: str) -> LogLine | None:
    start = _FIRST_FIELD.search(text)
    if start is None:
        return None
    lexer = shlex.shlex(text[start.start() :], posix=True)
    lexer.whitespace_split, lexer.quotes, lexer.commenters = True, '"', ""
    try:
        pairs = [word.partition("=") for word in lexer]
        fields = {name: value for name, _, value in pairs}
        stamp = fields.get("time")
        at_s = datetime.fromisoformat(stamp).timestamp() if stamp else 0.0
    except ValueError:
        # The last line of a process that was killed may be cut short.
        return None
    event, node_id = fields.get("event", ""), fields.get("node", "")
    rest = {name: fields[name] for name in fields if name not in _COMMON_FIELDS}
    return LogLine(at_s, event, node_id, rest)


def trace_request(request_id: str, lines: Iterable[LogLine]) -> RequestTrace:
    """Return what log lines of any number of nodes tell of a request."""
    lines = sorted(lines, key=lambda line: line.at_s)
    steps = [line for line in lines if line.fields.get("request") == request_id]
    dropped = (line for line in lines if line.event == _DROPPED_EVENT)
    dropped_count = sum(int(line.fields.get("count", "0")) for line in dropped)
    context = _find_context(steps, lines) if steps else []
    return RequestTrace(request_id, tuple(steps), tuple(context), dropped_count)


def _find_context(steps: list[LogLine], lines: list[LogLine]) -> list[LogLine]:
    """Return changes of belief that concern the nodes and servers of a request."""
    names = {line.node_id for line in steps}
    for line in steps:
        names.update(line.fields.get(field, "") for field in ("owner", "server"))
    names.discard("")
    first_s, last_s = steps[0].at_s - CONTEXT_WINDOW_S, steps[-1].at_s
    found = [
        line
        for line in lines
        if first_s <= line.at_s <= last_s
        and "request" not in line.fields
        and (line.node_id in names or not names.isdisjoint(line.fields.values()))
    ]
    return found[-MAX_CONTEXT_LINES:]


def describe_trace(trace: RequestTrace) -> list[str]:
    """Return a trace as lines for people."""
    if not trace.steps:
        return [_describe_missing_request(trace)]
    first_s = trace.steps[0].at_s
    lines = [f"request {trace.request_id}: {_describe_outcome(trace.steps[-1])}"]
    lines += [
        _format_timed(line, first_s, _describe_step(line)) for line in trace.steps
    ]
    if trace.context:
        lines.append("what the nodes that it met learned before:")
    for line in trace.context:
        fields = " ".join(f"{name}={value}" for name, value in line.fields.items())
        lines.append(_format_timed(line, first_s, f"{line.event} {fields}".rstrip()))
    return lines


def _format_timed(line: LogLine, first_s: float, text: str) -> str:
    return f"  {(line.at_s - first_s) * 1000:+8.0f} ms  {line.node_id}  {text}"


def _describe_missing_request(trace: RequestTrace) -> str:
    text = (
        f"no line names request {trace.request_id}: it was answered at its first"
        " attempt, or the log of the node that took it is not among these"
    )
    if not trace.dropped_count:
        return text
    return f"{text}, or its lines are among {trace.dropped_count} that were dropped"


def _describe_outcome(last: LogLine) -> str:
    if last.event != REQUEST_EVENT:
        return "answered by a later attempt"
    kind, status = last.fields.get("kind", ""), last.fields.get("status", "0")
    answer = f"answered {status}" if status != "0" else "not answered"
    return f"{answer}, {kind}; {_describe_run(kind)}"


def _describe_run(kind: str) -> str:
    """Tell whether a request that failed so may have run."""
    if kind not in {known.value for known in ErrorKind}:
        return "an unknown kind of error"
    is_not_run = error_spec(ErrorKind(kind)).is_not_run
    return "it has not run" if is_not_run else "it may have run"


def _describe_step(line: LogLine) -> str:
    fields = line.fields
    if line.event != ATTEMPT_EVENT:
        return f"{line.event}: {fields.get('why', '')}"
    kind = fields.get("kind", "")
    parts = [
        f"{fields.get('server')} beside {fields.get('owner')}: {kind}",
        f"{fields.get('why', '')} ({_describe_run(kind)})",
        _describe_observed_load(fields),
        f"{fields.get('elapsed_ms')} ms spent, {fields.get('left_ms')} ms left",
        fields.get("outcome", ""),
    ]
    return "; ".join(parts)


def _describe_observed_load(fields: dict[str, str]) -> str:
    if "load" not in fields:
        return "its load was not known"
    return (
        f"its load was {fields['load']}, known for {fields.get('load_age_ms')} ms,"
        f" its slowness {fields.get('slowness')}"
    )
