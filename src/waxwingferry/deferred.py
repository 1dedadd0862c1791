"""Modules that are imported when they are first used.

An import in the middle of a program may fail, for example after its files were
replaced. As at the start of the process, such a failure is logged and ends the
process: a program with only some of its modules must not go on.
"""

import importlib
import types
from typing import Any

import structlog

EXIT_FAILURE = 1

log = structlog.get_logger()


class Module:
    """Takes the place of a module until one of its attributes is used.

    Args:
        name: Full name of the module.
    """

    def __init__(self, name: str):
        self._name = name

    def __getattr__(self, attribute: str) -> Any:
        # Called once for each attribute, as it is stored then.
        value = getattr(load(self._name), attribute)
        setattr(self, attribute, value)
        return value


def load(name: str) -> types.ModuleType:
    """Imports a module.

    Raises:
        SystemExit: The import failed.
    """
    try:
        return importlib.import_module(name)
    except Exception as error:
        log.critical("module not imported", module=name, error=repr(error))
        # Handlers of errors in requests and tasks don't catch this one.
        raise SystemExit(EXIT_FAILURE) from error
