"""Programs as processes of their own whose log lines tests wait for."""

from collections.abc import AsyncIterator
import contextlib
import json
import os
import pathlib
import subprocess
import sys

import anyio
import anyio.to_thread

TIMEOUT_S = 30.0


class LoggedProcess:
    """A module that runs as a process and logs JSON to a file."""

    def __init__(
        self,
        log_path: pathlib.Path,
        module: str,
        *arguments: str,
        **environment: str,
    ):
        self.log_path = log_path
        with log_path.open("ab") as file:
            self.process = subprocess.Popen(
                [sys.executable, "-m", module, *arguments],
                stdout=file,
                stderr=file,
                env={**os.environ, **environment},
            )

    def count_events(self, event: str) -> int:
        """Returns how often an event is in the log."""
        lines = self.log_path.read_text().splitlines()
        return sum(
            json.loads(line).get("event") == event
            for line in lines
            if line.startswith("{") and line.endswith("}")
        )

    async def wait_for(self, event: str, count: int = 1) -> None:
        """Returns once an event has been logged so often."""
        with anyio.fail_after(TIMEOUT_S):
            while self.count_events(event) < count:
                assert self.process.poll() is None, self.log_path.read_text()
                await anyio.sleep(0.02)

    async def wait(self) -> int:
        """Returns the exit code of the process."""
        return await anyio.to_thread.run_sync(self.process.wait, TIMEOUT_S)


@contextlib.asynccontextmanager
async def run(
    directory: pathlib.Path, module: str, *arguments: str, **environment: str
) -> AsyncIterator[LoggedProcess]:
    """Runs a module while the context is active."""
    process = LoggedProcess(
        directory / "log", module, *arguments, **environment
    )
    try:
        yield process
    finally:
        if process.process.poll() is None:
            process.process.kill()
        process.process.wait()
