"""Scripts in benchmarks/ and experiments can be loaded."""

import pathlib
import runpy
import sys

import pytest

from waxwingferry.bench import experiment

ROOT = pathlib.Path(__file__).resolve().parents[4]
BENCHMARKS = sorted((ROOT / "benchmarks").glob("*.py"))
EXPERIMENTS = {
    "added-latency",
    "at-most-once",
    "cold-start",
    "domain-move",
    "fairness",
    "graceful-stop",
    "killed-stop",
    "operator-race",
    "platform-outage",
    "propagation",
    "retry-storm",
    "rolling-upgrade",
    "routing",
    "silent-connection",
    "soak",
    "too-little-room",
    "uneven",
    "uploads",
}


def test_there_are_benchmarks() -> None:
    """Guards against a check that passes because it looks elsewhere."""
    assert len(BENCHMARKS) >= 8


@pytest.mark.parametrize("path", BENCHMARKS, ids=lambda path: path.stem)
def test_a_benchmark_can_be_loaded(path, monkeypatch) -> None:
    """Guards against scripts that import what no longer exists.

    The type checker, which reads benchmarks/ as well, finds calls of functions
    that don't exist.
    """
    modules = set(sys.modules)
    monkeypatch.syspath_prepend(str(path.parent))
    try:
        names = runpy.run_path(str(path), run_name=path.stem)
    finally:
        for name in set(sys.modules) - modules:
            if (path.parent / f"{name}.py").exists():
                del sys.modules[name]
    assert any(
        callable(value) and getattr(value, "__module__", None) == path.stem
        for value in names.values()
    )


def test_all_experiments_can_be_loaded() -> None:
    """Guards against an experiment that the command line doesn't find."""
    assert set(experiment.find_experiments()) == EXPERIMENTS
