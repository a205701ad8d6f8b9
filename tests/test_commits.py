"""Tests of commits under races, lost responses and a regressed history."""

import curio

from guavagap import porcelain
from guavagap.clock import steady_s
from guavagap.commits import (
    apply_documents,
    audit_key,
    delete_service,
    raise_epoch,
    read_head,
)
from guavagap.errors import ErrorKind, GuavagapError
from guavagap.key_value import MemoryKeyValueStore, MemoryStore
from tests.cases import AsyncTestCase
from tests.test_configuration import make_document

RACE_ROUNDS = 200


class _LossyPlatform(MemoryKeyValueStore):
    """A store that yields to other tasks in each call and can lose write responses."""

    def __init__(self, store):
        super().__init__(store)
        self.lose_head_responses = 0
        self.lose_responses_of: str | None = None
        self.after_lost_response = None

    async def get(self, key):
        value = await super().get(key)
        await curio.sleep(0)
        return value

    async def put(self, key, body, expected, ttl_s=None):
        await curio.sleep(0)
        revision = await super().put(key, body, expected, ttl_s)
        if self.lose_responses_of and key.startswith(self.lose_responses_of):
            self.lose_responses_of = None
            raise GuavagapError(ErrorKind.PLATFORM_UNREACHABLE, "response lost")
        if key == "head" and self.lose_head_responses:
            self.lose_head_responses -= 1
            if self.after_lost_response is not None:
                await self.after_lost_response()
            raise GuavagapError(ErrorKind.PLATFORM_UNREACHABLE, "response lost")
        return revision


def make_edit(service: str, edited_from: int, timeout_s: float, version: str = "v1"):
    """Return a valid document that replaces a version of the service."""
    document = make_document(service)
    document["edited_from"] = edited_from
    document["routes"][0]["timeout_s"] = timeout_s
    document["wanted"]["backend_server_version"] = version
    return document


class CommitTests(AsyncTestCase):
    def setUp(self):
        super().setUp()
        self.store = None

    def check(self, case):
        async def start():
            self.store = MemoryStore(steady_s)
            await case(_LossyPlatform(self.store))

        self.run_async(start)

    async def outcome_of(self, awaitable):
        """Return None and the result, or the kind and the detail of the error."""
        try:
            return None, await awaitable
        except GuavagapError as error:
            return error.kind, error.detail

    def test_conflict_on_one_document_rejects_the_whole_commit(self):
        async def case(platform):
            await apply_documents(platform, [make_edit("a", 0, 1.0)], "alice", "")
            kind, _ = await self.outcome_of(
                apply_documents(
                    platform,
                    [make_edit("b", 0, 1.0), make_edit("a", 0, 2.0)],
                    "bob",
                    "",
                )
            )
            self.assertEqual(ErrorKind.CONFLICT, kind)
            head, _ = await read_head(platform)
            self.assertEqual((1, ["a"]), (head["epoch"], list(head["entries"])))

        self.check(case)

    def test_conflict_names_version_author_and_time(self):
        async def case(platform):
            await apply_documents(platform, [make_edit("a", 0, 1.0)], "alice", "")
            _, detail = await self.outcome_of(
                apply_documents(platform, [make_edit("a", 0, 2.0)], "bob", "")
            )
            for word in ("alice", "version 1", "20", "guavagap get a"):
                self.assertIn(word, detail)

        self.check(case)

    def test_unchanged_document_makes_no_commit(self):
        async def case(platform):
            document = make_edit("a", 0, 1.0)
            await apply_documents(platform, [document], "alice", "")
            commit = await apply_documents(platform, [document], "alice", "")
            self.assertEqual((1, {}), (commit.epoch, commit.versions))

        self.check(case)

    def test_race_on_one_document_has_one_winner_each_round(self):
        async def case(platform):
            for number in range(RACE_ROUNDS):
                tasks = [
                    await curio.spawn(
                        self.outcome_of,
                        apply_documents(
                            platform, [make_edit("a", number, 1 + n / 10)], f"op{n}", ""
                        ),
                    )
                    for n in range(2)
                ]
                kinds = sorted([str((await task.join())[0]) for task in tasks])
                self.assertEqual(["ErrorKind.CONFLICT", "None"], kinds)
            head, _ = await read_head(platform)
            self.assertEqual(RACE_ROUNDS, head["entries"]["a"]["version"])

        self.check(case)

    def test_race_on_different_documents_commits_both(self):
        async def case(platform):
            for number in range(RACE_ROUNDS):
                tasks = [
                    await curio.spawn(
                        apply_documents,
                        platform,
                        [make_edit(service, number, 1.0)],
                        service,
                        "",
                    )
                    for service in ("a", "b")
                ]
                for task in tasks:
                    await task.join()
            head, _ = await read_head(platform)
            self.assertEqual(2 * RACE_ROUNDS, head["epoch"])
            trail = await porcelain.list_changes(platform, 10_000)
            self.assertEqual(
                list(range(2 * RACE_ROUNDS, 0, -1)), [item["epoch"] for item in trail]
            )

        self.check(case)

    def test_lost_response_to_a_head_write_is_recognised_as_committed(self):
        async def case(platform):
            platform.lose_head_responses = 1
            commit = await apply_documents(platform, [make_edit("a", 0, 1.0)], "al", "")
            self.assertEqual((1, {"a": 1}), (commit.epoch, commit.versions))
            head, _ = await read_head(platform)
            self.assertEqual(1, head["epoch"])

        self.check(case)

    def test_lost_response_to_a_body_or_audit_write_is_no_failure(self):
        async def case(platform):
            for number, lost in enumerate(("doc/", "audit/")):
                platform.lose_responses_of = lost
                document = make_edit("a", number, 1.0 + number)
                commit = await apply_documents(platform, [document], "alice", "")
                self.assertEqual(number + 1, commit.epoch)
                self.assertIsNone(platform.lose_responses_of)
            trail = await porcelain.list_changes(platform, 10)
            self.assertEqual([2, 1], [change["epoch"] for change in trail])

        self.check(case)

    def test_lost_response_is_resolved_after_a_later_commit(self):
        async def case(platform):
            other = MemoryKeyValueStore(self.store)

            async def commit_between():
                await apply_documents(other, [make_edit("b", 0, 1.0)], "bob", "")

            platform.after_lost_response = commit_between
            platform.lose_head_responses = 1
            commit = await apply_documents(platform, [make_edit("a", 0, 1.0)], "al", "")
            self.assertEqual((1, {"a": 1}), (commit.epoch, commit.versions))
            head, _ = await read_head(platform)
            self.assertEqual((2, 1), (head["epoch"], head["entries"]["a"]["version"]))

        self.check(case)

    def test_audit_record_missing_after_a_crash_is_written_by_the_next_commit(self):
        async def case(platform):
            await apply_documents(platform, [make_edit("a", 0, 1.0)], "alice", "why")
            value = await platform.get(audit_key(1))
            await platform.delete(audit_key(1), value.revision)
            await apply_documents(platform, [make_edit("b", 0, 1.0)], "bob", "")
            trail = await porcelain.list_changes(platform, 10)
            self.assertEqual(["bob", "alice"], [item["author"] for item in trail])

        self.check(case)

    def test_route_that_overlaps_one_of_another_service_is_refused(self):
        async def case(platform):
            await apply_documents(platform, [make_edit("a", 0, 1.0)], "alice", "")
            document = make_document("b", "/a")
            kind, detail = await self.outcome_of(
                apply_documents(platform, [document], "bob", "")
            )
            self.assertEqual(ErrorKind.DOCUMENT_INVALID, kind)
            self.assertIn("route all of a", detail)

        self.check(case)

    def test_new_version_starts_a_rollout_and_the_old_version_aborts_it(self):
        async def case(platform):
            await apply_documents(platform, [make_edit("a", 0, 1.0)], "al", "")
            await apply_documents(platform, [make_edit("a", 1, 1.0, "v2")], "al", "")
            status = await porcelain.service_status(platform, "a")
            self.assertEqual(("running", "v2"), (status.verdict, status.to_version))
            await apply_documents(platform, [make_edit("a", 2, 1.0, "v1")], "al", "")
            status = await porcelain.service_status(platform, "a")
            self.assertEqual("aborted", status.verdict)

        self.check(case)

    def test_deleted_service_can_be_created_again(self):
        async def case(platform):
            await apply_documents(platform, [make_edit("a", 0, 1.0)], "al", "")
            await delete_service(platform, "a", "al", "")
            kind, _ = await self.outcome_of(porcelain.get_document(platform, "a"))
            self.assertEqual(ErrorKind.NOT_FOUND, kind)
            await apply_documents(platform, [make_edit("a", 2, 1.0)], "al", "")
            accepted = await porcelain.get_document(platform, "a")
            self.assertEqual(3, accepted.entry["version"])

        self.check(case)

    def test_raised_epoch_is_above_the_given_epoch(self):
        async def case(platform):
            await apply_documents(platform, [make_edit("a", 0, 1.0)], "al", "")
            commit = await raise_epoch(platform, 41, "al")
            head, _ = await read_head(platform)
            self.assertEqual((42, 42), (commit.epoch, head["entries"]["a"]["epoch"]))

        self.check(case)
