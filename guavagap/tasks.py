"""Scopes that own the background tasks of a process, and the steps of their loops."""

from collections import Counter
from contextlib import asynccontextmanager

import curio

from guavagap.errors import GuavagapError, error_spec
from guavagap.logs import get_logger

__all__ = [
    "TaskScope",
    "failed_steps",
    "forget_frames",
    "open_task_scope",
    "run_step",
]

log = get_logger()

# Number of failed steps of loops, by the name of the step.
failed_steps: Counter[str] = Counter()

RESTART_DELAY_S = 1.0


def forget_frames(error: BaseException | None) -> None:
    """Release the frames of a cancellation or timeout that ends here.

    ``curio`` raises it in a frame that refers to it, so its traceback is a cycle that
    holds all the frames on its way and what they refer to, such as the bodies of
    requests, until the garbage collector runs, which happens rarely.
    """
    while error is not None:
        error.__traceback__ = None
        error = error.__context__


async def run_step(function, *args) -> bool:
    """Run one step of a loop that serves more than what this step is about.

    A failure is logged and counted, and does not end the loop.

    Returns:
        Whether the step has succeeded.
    """
    try:
        await function(*args)
    except Exception as error:
        name = getattr(function, "__qualname__", repr(function))
        failed_steps[name] += 1
        log.error("step failed", step=name, exc_info=error)
        return False
    return True


class TaskScope:
    """A set of running tasks; a failure is logged and does not affect other tasks."""

    def __init__(self, name: str):
        self.name = name
        self._tasks: set[curio.Task] = set()

    def __len__(self) -> int:
        return len(self._tasks)

    async def spawn(self, function, *args) -> curio.Task:
        """Start ``function(*args)`` as a task owned by this scope."""
        task = await curio.spawn(self._run_tracked, function, args, daemon=True)
        self._tasks.add(task)
        return task

    async def _run_tracked(self, function, args) -> None:
        try:
            await self._run(function, args)
        except curio.CancelledError as error:
            # The task is over either way, and would keep the exception.
            forget_frames(error)
        finally:
            self._tasks.discard(await curio.current_task())

    async def _run(self, function, args) -> None:
        try:
            await function(*args)
        except curio.CancelledError:
            raise
        except GuavagapError as error:
            log_error = getattr(log, error_spec(error.kind).log_level)
            log_error(
                "task ended", scope=self.name, kind=error.kind.value, why=str(error)
            )
        except Exception as error:
            log.error(
                "task failed",
                scope=self.name,
                task=getattr(function, "__qualname__", repr(function)),
                exc_info=error,
            )

    async def spawn_supervised(self, function, *args) -> curio.Task:
        """Start a long-running task that is restarted whenever it ends."""
        return await self.spawn(self._run_supervised, function, args)

    async def _run_supervised(self, function, args) -> None:
        while True:
            await self._run(function, args)
            log.error("task restarted", task=function.__qualname__)
            await curio.sleep(RESTART_DELAY_S)

    async def cancel_all(self) -> None:
        """Cancel all tasks of the scope and wait for them to end."""
        tasks = list(self._tasks)
        for task in tasks:
            await task.cancel(blocking=False)
        for task in tasks:
            await task.wait()


@asynccontextmanager
async def open_task_scope(name: str):
    """Yield a :class:`TaskScope`; its remaining tasks are cancelled on exit."""
    scope = TaskScope(name)
    try:
        yield scope
    finally:
        await scope.cancel_all()
