"""waxwingferry-emulator: runs an emulated platform or target until SIGTERM."""

import anyio
import uvloop

from waxwingferry.emulator import platform
from waxwingferry.emulator import target
from waxwingferry.process import program
from waxwingferry.process import settings

_BACKEND_OPTIONS = {"loop_factory": uvloop.new_event_loop}


def run_platform(port: int, host: str = "127.0.0.1") -> None:
    """Runs the emulated platform.

    Args:
        port: Port to listen on.
        host: IP address to listen on.
    """
    anyio.run(platform.serve, host, port, backend_options=_BACKEND_OPTIONS)


def run_target(settings_file: str) -> None:
    """Runs an emulated target.

    Args:
        settings_file: Path of the YAML file with its settings.
    """
    options = settings.load_model(target.TargetSettings, settings_file)
    anyio.run(
        target.EmulatedTarget(options).run, backend_options=_BACKEND_OPTIONS
    )


def main() -> None:
    """Runs the program."""
    program.run_program(
        "waxwingferry-emulator",
        {"platform": run_platform, "target": run_target},
    )


if __name__ == "__main__":
    main()
