"""Command-line handling of all programs.

Parses arguments, prints version and help, and maps errors to exit codes.
"""

from collections.abc import Callable
import contextlib
import dataclasses
import functools
import inspect
import io
import re
import sys
from typing import Any

import fire
import fire.core
import fire.decorators

import waxwingferry
from waxwingferry.process import settings

EXIT_FAILURE = 1
EXIT_USAGE = 2

Commands = Callable | dict[str, Any]


class CommandError(Exception):
    """A command failed; the message is shown to the operator."""


class UsageError(Exception):
    """An argument is missing or invalid; the message is one line."""


@dataclasses.dataclass(slots=True, frozen=True)
class _BoundCommand:
    """Command with bound arguments that has not run yet."""

    run: Callable[[], Any]


def run_program(name: str, commands: Commands) -> None:
    """Runs the command that the arguments select, then exits.

    The exit code is 0 for success, 1 for a failed command and 2 for invalid
    arguments or settings.

    Args:
        name: Name of the program.
        commands: A command, or a dictionary of commands by name, which may
            be nested. A command returns its exit code; None counts as 0.
            Its parameters are annotated with str, int, float or bool.
    """
    arguments = sys.argv[1:]
    if arguments == ["--version"]:
        print(f"{name} {waxwingferry.__version__}")
        sys.exit(0)
    try:
        bound_command = _bind_arguments(name, commands, arguments)
        result = bound_command.run() if bound_command is not None else 0
    except (UsageError, settings.SettingsError) as error:
        print(f"{name}: {error}", file=sys.stderr)
        sys.exit(EXIT_USAGE)
    except CommandError as error:
        print(f"{name}: {error}", file=sys.stderr)
        sys.exit(EXIT_FAILURE)
    sys.exit(result if isinstance(result, int) else 0)


def _bind_arguments(
    name: str, commands: Commands, arguments: list[str]
) -> _BoundCommand | None:
    """Returns the selected command, or None if the help was printed."""
    help_requested = any(item in ("--help", "-h") for item in arguments)
    if not help_requested:
        _check_arguments(commands, arguments)
    # Fire writes its own usage text to stderr and may start a pager, so its
    # output is captured and the command runs only after this block.
    stderr_output = io.StringIO()
    try:
        with contextlib.redirect_stderr(stderr_output):
            bound_command = fire.Fire(
                _defer_commands(commands, not help_requested),
                command=arguments,
                name=name,
                serialize=lambda _: None,
            )
    except fire.core.FireExit as fire_exit:
        if not help_requested:
            text = fire_exit.trace.elements[-1].ErrorAsStr()
            raise UsageError(" ".join(text.split())) from fire_exit
        print(_strip_fire_notes(stderr_output.getvalue()))
        return None
    if not isinstance(bound_command, _BoundCommand):
        raise UsageError(f"arguments = {arguments!r}: too many")
    return bound_command


def _check_arguments(commands: Commands, arguments: list[str]) -> None:
    """Checks command names and flags.

    Fire reports errors with a usage text of several lines; these checks
    report the common ones in one line.
    """
    rest = list(arguments)
    while isinstance(commands, dict):
        allowed = f"must be one of {', '.join(commands)}"
        if not rest:
            raise UsageError(f"command: missing; {allowed}")
        word = rest.pop(0)
        if word not in commands:
            raise UsageError(f"command = {word!r}: {allowed}")
        commands = commands[word]
    parameters = inspect.signature(commands).parameters
    flags = ", ".join(f"--{item}" for item in parameters) or "none"
    given_flags = {
        item.lstrip("-").partition("=")[0].replace("-", "_"): item
        for item in rest
        if re.match(r"--?[A-Za-z]|--$", item)
    }
    for word, item in given_flags.items():
        if word not in parameters and word.removeprefix("no") not in parameters:
            raise UsageError(f"{item}: unknown flag; allowed flags: {flags}")
    positional_count = _count_positional(rest, parameters)
    if positional_count > len(parameters) - len(given_flags):
        text = " ".join(rest)
        raise UsageError(f"arguments = {text!r}: too many; flags: {flags}")
    required = [
        item.name
        for item in parameters.values()
        if item.default is inspect.Parameter.empty
        and item.name not in given_flags
    ]
    if len(required) > positional_count:
        raise UsageError(
            f"--{required[positional_count]}: missing; flags: {flags}"
        )


def _count_positional(rest: list[str], parameters) -> int:
    count = 0
    expects_value = False
    for item in rest:
        if item.startswith("--"):
            name = item[2:].replace("-", "_")
            parameter = parameters.get(name)
            expects_value = (
                parameter is not None and parameter.annotation is not bool
            )
        else:
            count += not expects_value
            expects_value = False
    return count


def _defer_commands(commands: Commands, parse: bool) -> Commands:
    """Wraps commands so that calling one only binds its arguments.

    Args:
        commands: A command, or a dictionary of commands by name.
        parse: Whether to parse values by the annotations. Not used for the
            help, because fire would list the attribute that it sets.
    """
    if isinstance(commands, dict):
        return {
            name: _defer_commands(item, parse)
            for name, item in commands.items()
        }
    command = commands

    @functools.wraps(command)
    def bind(*args, **kwargs):
        return _BoundCommand(functools.partial(command, *args, **kwargs))

    if not parse:
        return bind
    # Without parse functions, fire reads a value such as "a, b" as a tuple.
    parsers = {
        item.name: _make_parser(item)
        for item in inspect.signature(command).parameters.values()
    }
    return fire.decorators.SetParseFns(**parsers)(bind)


def _make_parser(parameter: inspect.Parameter) -> Callable[[str], Any]:
    value_type = parameter.annotation
    allowed = {
        int: "an integer",
        float: "a number",
        bool: "True or False",
    }.get(value_type, "text")

    def parse(text: str) -> Any:
        try:
            if value_type is bool:
                return {"True": True, "False": False}[text]
            return value_type(text) if value_type in (int, float) else text
        except (ValueError, KeyError):
            raise UsageError(
                f"--{parameter.name} = {text!r}: must be {allowed}"
            ) from None

    return parse


def _strip_fire_notes(text: str) -> str:
    """Removes fire's INFO line and its notes on other syntaxes."""
    text = re.sub(r"\AINFO: .*\n+", "", text)
    return text.partition("\nNOTES\n")[0].strip("\n")
