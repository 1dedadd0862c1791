"""Installation of the programs that the README names."""

import pathlib
import subprocess
import sys

import pytest

PROGRAMS = (
    "waxwingferry-node",
    "waxwingferry",
    "waxwingferry-console",
    "waxwingferry-bench",
    "waxwingferry-emulator",
)


@pytest.mark.parametrize("name", PROGRAMS)
def test_programs_are_installed_with_the_environment(name):
    """Guards against missing entry points of programs in the README."""
    path = pathlib.Path(sys.executable).parent / name
    completed = subprocess.run(
        [path, "--version"], capture_output=True, text=True, check=False
    )
    assert completed.returncode == 0
    assert completed.stdout.startswith(f"{name} ")
