"""Hooks of behave: each scenario ends the processes that it started."""

import contextlib
from typing import Any


def before_scenario(context: Any, scenario: Any) -> None:
    """Give the scenario a stack of things to undo."""
    context.stack = contextlib.ExitStack()


def after_scenario(context: Any, scenario: Any) -> None:
    """Undo what the scenario set up, last first."""
    context.stack.close()
