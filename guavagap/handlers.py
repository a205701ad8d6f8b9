"""Handlers of the messages received on links."""

from functools import singledispatch

import curio

from guavagap.errors import ErrorKind, GuavagapError, error_spec
from guavagap.exchange import Attempt, enforce_deadline
from guavagap.forwarding import StreamDownstream, request_from_open_stream
from guavagap.logs import get_logger
from guavagap.messages import (
    ConfigurationAgeRequest,
    CrashReportsReply,
    CrashReportsRequest,
    DeltaPush,
    DeltaRequest,
    EvidenceReport,
    KeyClaim,
    KeyLookup,
    MembersReply,
    MembersRequest,
    NoticesReply,
    NoticesRequest,
    PermitGrant,
    PermitReply,
    PermitRequest,
    PermitRevoke,
    QuotaHandover,
    QuotaLoanRequest,
    QuotaReleaseRequest,
    QuotaRequest,
)
from guavagap.stream_messages import (
    Condition,
    OpenStream,
    StreamReset,
)
from guavagap.streams import Stream
from guavagap.tasks import forget_frames

__all__ = ["handle_message"]

log = get_logger()


@singledispatch
async def handle_message(message, node, link) -> None:
    """Handle a message.

    Args:
        message: the message.
        node: the receiving node.
        link: the link on which it was received and on which a reply is sent.

    Raises:
        GuavagapError: FRAME_INVALID. The link is closed only for a message that opens
            a stream.
    """
    raise GuavagapError(
        ErrorKind.FRAME_INVALID, f"unexpected {type(message).__name__} frame"
    )


@handle_message.register
async def _(message: OpenStream, node, link) -> None:
    # The stream is added before the task is spawned, since frames for it may be
    # received before the task runs.
    try:
        stream = link.add_stream(message.stream_id)
    except GuavagapError as error:
        if error.kind is not ErrorKind.OVERLOADED:
            raise
        log.info("stream refused", peer=link.peer_id, why=error.detail)
        await link.send(
            StreamReset(message.stream_id, error.kind.value, error.detail, True)
        )
        return
    await node.scope.spawn(_run_forwarded_request, message, stream, node, link)


async def _run_forwarded_request(
    opening: OpenStream, stream: Stream, node, link
) -> None:
    """Run a forwarded request on a local backend server."""
    if stream.reset is not None:
        stream.close()
        return
    stream.cancel_on_reset(await curio.current_task())
    node.adopt_limit(opening.server_id, opening.limit_millihertz)

    def read_condition() -> Condition:
        return node.read_condition(opening.server_id)

    downstream = StreamDownstream(stream, opening, read_condition)
    customers = node.configuration.snapshot.customers
    customer_header = b"" if customers.is_empty else node.dialect.customer
    request = request_from_open_stream(opening, customer_header)
    attempt = Attempt()
    try:
        customers.check_forwarded(request.headers)
        async with enforce_deadline(request.deadline_s, attempt):
            await node.run_local(opening.server_id, request, downstream, attempt)
    except GuavagapError as error:
        forget_frames(error)
        is_not_run = not attempt.is_written or error_spec(error.kind).is_not_run
        if not link.is_closed:
            await stream.send_reset(
                error.kind, error.detail, is_not_run, read_condition(), error.born_ms
            )
    except Exception as error:
        # Logged first, since sending the reset fails as well if the link has closed.
        log.error("forwarded request failed", peer=link.peer_id, exc_info=error)
        if not link.is_closed:
            await stream.send_reset(
                ErrorKind.INTERNAL,
                "internal error; see the log of the owner node",
                False,
            )
    finally:
        stream.close()


@handle_message.register
async def _(message: PermitRequest, node, link) -> None:
    grants = []
    for demand in message.demands:
        backend_proxy = node.backend_proxies.get(demand.server_id)
        granted, ttl_s = 0, node.settings.permit_ttl_s
        if backend_proxy is not None:
            granted = backend_proxy.permits.allocate(
                link.peer_id, demand.wanted, demand.held
            )
        grants.append(PermitGrant(demand.server_id, granted, int(ttl_s * 1000)))
    await link.send(PermitReply(message.call_id, tuple(grants)))


@handle_message.register
async def _(message: PermitRevoke, node, link) -> None:
    await node.direct.revoke(message.server_id)


@handle_message.register
async def _(message: DeltaRequest, node, link) -> None:
    await node.scope.spawn(node.disseminator.send_reply, link, message)


@handle_message.register
async def _(message: DeltaPush, node, link) -> None:
    await node.disseminator.on_push(link.peer_id, message)


@handle_message.register
async def _(message: ConfigurationAgeRequest, node, link) -> None:
    await link.send(node.proofs.build_reply(message))


@handle_message.register
async def _(message: MembersRequest, node, link) -> None:
    node.membership.merge(message.own)
    # The sender relies on that, also where a later row of it is known.
    node.membership.departures.record_row(message.own)
    rows = node.table.differing_rows(message.bucket_digests)
    departures = node.membership.departures.of_node(message.own.node_id)
    await link.send(MembersReply(message.call_id, tuple(rows), departures))


@handle_message.register
async def _(message: KeyClaim, node, link) -> None:
    await link.send(node.keys.handle_claim(message))


@handle_message.register
async def _(message: KeyLookup, node, link) -> None:
    await link.send(node.keys.handle_lookup(message))


@handle_message.register
async def _(message: EvidenceReport, node, link) -> None:
    node.evaluator.apply_report(message)


@handle_message.register
async def _(message: NoticesRequest, node, link) -> None:
    node.add_notices(message.notices)
    await link.send(NoticesReply(message.call_id, node.notices.all()))


@handle_message.register
async def _(message: CrashReportsRequest, node, link) -> None:
    reports = node.poison.differing_reports(message.bucket_digests)
    await link.send(CrashReportsReply(message.call_id, reports))


@handle_message.register
async def _(message: QuotaRequest, node, link) -> None:
    await node.quotas.grant(link, message)


@handle_message.register
async def _(message: QuotaLoanRequest, node, link) -> None:
    await node.quotas.lend(link, message)


@handle_message.register
async def _(message: QuotaReleaseRequest, node, link) -> None:
    await node.quotas.release(link, message)


@handle_message.register
async def _(message: QuotaHandover, node, link) -> None:
    await node.quotas.take_over(link, message)
