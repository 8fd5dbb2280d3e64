"""Runs each scenario against processes of its own."""

import asyncio
import sys
import threading
import typing

from features import world

SCENARIO_SECONDS = 90
PRINTED_LINES = 25


def before_all(context: typing.Any) -> None:
    """Start the event loop that all steps share."""
    context.loop = asyncio.new_event_loop()
    threading.Thread(target=context.loop.run_forever, daemon=True).start()


def before_scenario(context: typing.Any, _scenario: typing.Any) -> None:
    """Give the scenario a world and a way to run coroutines."""
    context.world = world.World()

    def run(coroutine: typing.Coroutine[typing.Any, typing.Any, typing.Any]):
        future = asyncio.run_coroutine_threadsafe(coroutine, context.loop)
        return future.result(SCENARIO_SECONDS)

    context.run = run


def after_scenario(context: typing.Any, scenario: typing.Any) -> None:
    """End every process; after a failure, print what they have logged."""
    deployment = context.world.fleet
    if deployment and scenario.status.has_failed():
        sys.stdout.write(f'{deployment.last_lines(PRINTED_LINES)}\n')
        sys.stdout.write(f'{context.world.slow_statements()}\n')
    context.run(context.world.close())
