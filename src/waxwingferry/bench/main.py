"""waxwingferry-bench: demo, load and experiments."""

import anyio

from waxwingferry.bench import demo
from waxwingferry.process import program


def run_demo(seed: int = 1) -> int:
    """Runs the demo with real processes on loopback.

    Args:
        seed: Seed of the callers' random choices.
    """
    return anyio.run(demo.run_demo, seed)


def main() -> None:
    """Runs the program."""
    program.run_program("waxwingferry-bench", {"demo": run_demo})


if __name__ == "__main__":
    main()
