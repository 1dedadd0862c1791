"""Command line of waxwingferry-bench: demo and experiments."""

import sys

import anyio
import uvloop

from waxwingferry.bench import demo
from waxwingferry.bench import experiment
from waxwingferry.bench import ports
from waxwingferry.process import program

_BACKEND = {"loop_factory": uvloop.new_event_loop}


def run_demo(seed: int = 1) -> int:
    """Runs the demo with real processes on loopback.

    Args:
        seed: Seed of the callers' random choices.
    """
    return anyio.run(demo.run_demo, seed, backend_options=_BACKEND)


def list_experiments() -> None:
    """Lists the experiments by name."""
    for name, run in sorted(experiment.find_experiments().items()):
        summary = (sys.modules[run.__module__].__doc__ or "").splitlines()[0]
        print(f"{name:20}{summary}")


def run_experiment(
    name: str,
    seed: int = 1,
    json: str = "",
    first_port: int = ports.LOWEST_PORT,
    duration: float = 8.0,
) -> int:
    """Runs one experiment; exit code 1 if a guarantee was violated.

    Args:
        name: Name of the experiment, as listed by "list".
        seed: Seed of all random choices.
        json: Path of a JSON file to write the report to.
        first_port: Lowest loopback port to try when allocating ports.
        duration: Duration of each load phase in seconds.
    """
    found = experiment.find_experiments()
    if name not in found:
        allowed = ", ".join(sorted(found))
        print(
            f"waxwingferry-bench: NAME = {name!r}: must be one of {allowed}",
            file=sys.stderr,
        )
        return program.EXIT_USAGE
    try:
        ports.check_first_port(first_port)
    except ports.PortError as error:
        raise program.UsageError(str(error)) from error
    options = experiment.Options(seed, first_port, duration)
    report = anyio.run(found[name], options, backend_options=_BACKEND)
    experiment.print_report(name, options, report)
    if json:
        experiment.write_json(json, name, options, report)
    return 0 if report.checks and not report.violations else 1


def main() -> None:
    """Runs the program."""
    program.run_program(
        "waxwingferry-bench",
        {"demo": run_demo, "list": list_experiments, "run": run_experiment},
    )


if __name__ == "__main__":
    main()
