"""Behave hooks: each scenario gets its own deployment of real processes."""

import asyncio
import sys
import threading
import typing

from features import world

STEP_TIMEOUT_SECONDS = 90
PRINTED_LOG_LINES = 25


def before_all(context: typing.Any) -> None:
    """Start the event loop, in a thread of its own, that all steps share."""
    context.loop = asyncio.new_event_loop()
    threading.Thread(target=context.loop.run_forever, daemon=True).start()


def before_scenario(context: typing.Any, _scenario: typing.Any) -> None:
    """Create the scenario's world and `context.run`.

    `context.run` runs a coroutine on the shared loop and returns its result;
    it raises `TimeoutError` after `STEP_TIMEOUT_SECONDS`.
    """
    context.world = world.World()

    def run(coroutine: typing.Coroutine[typing.Any, typing.Any, typing.Any]):
        future = asyncio.run_coroutine_threadsafe(coroutine, context.loop)
        return future.result(STEP_TIMEOUT_SECONDS)

    context.run = run


def after_scenario(context: typing.Any, scenario: typing.Any) -> None:
    """End all processes; after a failure print the ends of their logs first.

    The slowest statements of the load are printed as well.
    """
    deployment = context.world.fleet
    if deployment and scenario.status.has_failed():
        sys.stdout.write(f'{deployment.last_lines(PRINTED_LOG_LINES)}\n')
        sys.stdout.write(f'{context.world.list_slowest_statements()}\n')
    context.run(context.world.close())
