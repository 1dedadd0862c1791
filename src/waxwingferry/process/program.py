"""What all programs share: arguments, version and exit codes."""

from collections.abc import Callable
import sys

import fire
import fire.core

import waxwingferry
from waxwingferry.process import settings

EXIT_FAILURE = 1
EXIT_USAGE = 2


def run_program(name: str, commands: Callable | dict[str, Callable]) -> None:
    """Runs a program's commands and exits.

    Exit code 0 means success, 1 a failed run, 2 bad arguments or settings.

    Args:
        name: Name of the program.
        commands: One command, or commands by name. A command's result is
            its exit code; None counts as 0.
    """
    if sys.argv[1:] == ["--version"]:
        print(f"{name} {waxwingferry.__version__}")
        sys.exit(0)
    try:
        result = fire.Fire(commands, name=name, serialize=lambda _: None)
    except fire.core.FireExit as stop:
        sys.exit(EXIT_USAGE if stop.code else 0)
    except settings.SettingsError as error:
        print(f"{name}: {error}", file=sys.stderr)
        sys.exit(EXIT_USAGE)
    sys.exit(result if isinstance(result, int) else 0)
