"""Runs each scenario against processes of its own."""

import asyncio
import threading
import typing

from features import world

SCENARIO_SECONDS = 90


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


def after_scenario(context: typing.Any, _scenario: typing.Any) -> None:
    """End every process of the scenario."""
    context.run(context.world.close())
