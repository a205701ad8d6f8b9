"""Reconstruction of the history of one request from the logs of nodes.

Log lines may come from several nodes in any order and may have a prefix, such as the
name of a node, before their first field.
"""

import re
import shlex
from datetime import datetime
from typing import Iterable, Iterator, NamedTuple

from guavagap.errors import ErrorKind, error_spec

__all__ = ["LogLine", "RequestTrace", "describe_trace", "read_log", "trace_request"]

# A node updates its view of its peers within one or two seconds, so five seconds cover
# the events that led to it.
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
        at_s: Unix time in seconds; 0 for a line without a time.
        event: name of the event.
        node_id: the node that wrote the line; empty when the line has none.
        fields: all other fields.
    """

    at_s: float
    event: str
    node_id: str
    fields: dict[str, str]


class RequestTrace(NamedTuple):
    """The log lines that concern one request.

    Attributes:
        request_id: ID of the request.
        steps: log lines of the request, oldest first.
        context: events shortly before and during the request that concern the nodes
            and backend servers involved, oldest first.
        dropped_count: number of lines that nodes dropped, over all logs.
    """

    request_id: str
    steps: tuple[LogLine, ...]
    context: tuple[LogLine, ...]
    dropped_count: int


def read_log(raw_lines: Iterable[str]) -> Iterator[LogLine]:
    """Yield the lines of a log that can be parsed; skip the others."""
    for raw_line in raw_lines:
        line = _parse(raw_line)
        if line is not None:
            yield line


def _parse(raw_line: str) -> LogLine | None:
    start = _FIRST_FIELD.search(raw_line)
    if start is None:
        return None
    lexer = shlex.shlex(raw_line[start.start() :], posix=True)
    lexer.whitespace_split, lexer.quotes, lexer.commenters = True, '"', ""
    try:
        pairs = [word.partition("=") for word in lexer]
        fields = {name: value for name, _, value in pairs}
        time_text = fields.get("time")
        at_s = datetime.fromisoformat(time_text).timestamp() if time_text else 0.0
    except ValueError:
        # The last line of a process that was killed may be truncated.
        return None
    event, node_id = fields.get("event", ""), fields.get("node", "")
    other_fields = {name: fields[name] for name in fields if name not in _COMMON_FIELDS}
    return LogLine(at_s, event, node_id, other_fields)


def trace_request(request_id: str, lines: Iterable[LogLine]) -> RequestTrace:
    """Return the trace of a request from the log lines of any number of nodes."""
    lines = sorted(lines, key=lambda line: line.at_s)
    steps = [line for line in lines if line.fields.get("request") == request_id]
    dropped = (line for line in lines if line.event == _DROPPED_EVENT)
    dropped_count = sum(int(line.fields.get("count", "0")) for line in dropped)
    context = _find_context(steps, lines) if steps else []
    return RequestTrace(request_id, tuple(steps), tuple(context), dropped_count)


def _find_context(steps: list[LogLine], lines: list[LogLine]) -> list[LogLine]:
    """Return events shortly before and during a request about its nodes and servers."""
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
    """Format a trace as lines of text."""
    if not trace.steps:
        return [_describe_missing_request(trace)]
    first_s = trace.steps[0].at_s
    lines = [f"request {trace.request_id}: {_describe_outcome(trace.steps[-1])}"]
    lines += [
        _format_timed(line, first_s, _describe_step(line)) for line in trace.steps
    ]
    if trace.context:
        lines.append("preceding events of the nodes and backend servers involved:")
    for line in trace.context:
        fields = " ".join(f"{name}={value}" for name, value in line.fields.items())
        lines.append(_format_timed(line, first_s, f"{line.event} {fields}".rstrip()))
    return lines


def _format_timed(line: LogLine, first_s: float, text: str) -> str:
    return f"  {(line.at_s - first_s) * 1000:+8.0f} ms  {line.node_id}  {text}"


def _describe_missing_request(trace: RequestTrace) -> str:
    text = (
        f"no log line of request {trace.request_id}: its first attempt returned a"
        " response, or the log of the node that accepted it is missing"
    )
    if not trace.dropped_count:
        return text
    return f"{text}, or its lines are among {trace.dropped_count} dropped lines"


def _describe_outcome(last: LogLine) -> str:
    if last.event != REQUEST_EVENT:
        return "response from a later attempt"
    kind, status = last.fields.get("kind", ""), last.fields.get("status", "0")
    response = f"status {status}" if status != "0" else "no response"
    return f"{response}, {kind}; {_describe_run(kind)}"


def _describe_run(kind: str) -> str:
    """Return whether a request that failed with this kind of error may have run."""
    if kind not in {known.value for known in ErrorKind}:
        return "unknown kind of error"
    is_not_run = error_spec(ErrorKind(kind)).is_not_run
    return "not run" if is_not_run else "may have run"


def _describe_step(line: LogLine) -> str:
    fields = line.fields
    if line.event != ATTEMPT_EVENT:
        return f"{line.event}: {fields.get('why', '')}"
    kind = fields.get("kind", "")
    parts = [
        f"{fields.get('server')} on node {fields.get('owner')}: {kind}",
        f"{fields.get('why', '')} ({_describe_run(kind)})",
        _describe_observed_load(fields),
        f"{fields.get('elapsed_ms')} ms elapsed, {fields.get('left_ms')} ms left",
        fields.get("outcome", ""),
    ]
    return "; ".join(parts)


def _describe_observed_load(fields: dict[str, str]) -> str:
    if "load" not in fields:
        return "load unknown"
    return (
        f"load {fields['load']}, reported {fields.get('load_age_ms')} ms before,"
        f" slowness {fields.get('slowness')}"
    )
