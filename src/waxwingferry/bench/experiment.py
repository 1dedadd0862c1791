"""Options, reports and discovery of experiments."""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import importlib
import json
import pathlib
import pkgutil
from typing import Any

from waxwingferry.bench import experiments
from waxwingferry.bench import ports


@dataclasses.dataclass(frozen=True)
class Options:
    """Options of one run.

    Attributes:
        seed: Seed of all random choices of the run.
        first_port: Lowest loopback port to try when allocating ports.
        duration_s: Duration of each load phase in seconds.
    """

    seed: int = 1
    first_port: int = ports.LOWEST_PORT
    duration_s: float = 8.0


@dataclasses.dataclass
class Table:
    """A table of results with a title and column names."""

    title: str
    columns: list[str]
    rows: list[list[Any]] = dataclasses.field(default_factory=list)

    def format(self) -> str:
        """Returns the table as text with aligned columns."""
        cells = [[_format_cell(cell) for cell in row] for row in self.rows]
        lines = [self.columns, *cells]
        widths = [
            max(len(line[i]) for line in lines) for i in _column_indexes(lines)
        ]
        text = [self.title]
        for line in lines:
            padded = [line[0].ljust(widths[0])]
            padded += [c.rjust(widths[i + 1]) for i, c in enumerate(line[1:])]
            text.append("  " + "  ".join(padded))
        return "\n".join(text)


def _column_indexes(lines: list[list[str]]) -> range:
    return range(len(lines[0]))


def _format_cell(value: Any) -> str:
    return f"{value:.3f}" if isinstance(value, float) else str(value)


@dataclasses.dataclass
class Report:
    """Tables, figures and checked guarantees of one run.

    Attributes:
        tables: Tables to print.
        figures: Results by name, written to the JSON file only.
        checks: Number of checks by guarantee.
        violations: One line for each failed check.
    """

    tables: list[Table] = dataclasses.field(default_factory=list)
    figures: dict[str, Any] = dataclasses.field(default_factory=dict)
    checks: dict[str, int] = dataclasses.field(default_factory=dict)
    violations: list[str] = dataclasses.field(default_factory=list)

    def check(self, guarantee: str, holds: bool, detail: str = "") -> None:
        """Counts one check of a guarantee and records its failure."""
        self.checks[guarantee] = self.checks.get(guarantee, 0) + 1
        if not holds:
            self.violations.append(f"{guarantee}: {detail}")

    def restrict_to(self, guarantees: tuple[str, ...]) -> None:
        """Drops the checks of all other guarantees.

        A given guarantee that was never checked counts as violated.
        """
        self.checks = {
            name: count
            for name, count in self.checks.items()
            if name in guarantees
        }
        self.violations = [
            line
            for line in self.violations
            if line.startswith(tuple(f"{name}:" for name in guarantees))
        ]
        for name in guarantees:
            if name not in self.checks:
                self.violations.append(f"{name}: never exercised")


RunFunction = Callable[[Options], Awaitable[Report]]


def find_experiments() -> dict[str, RunFunction]:
    """Returns the run function of each experiment, by command-line name."""
    found = {}
    for item in pkgutil.iter_modules(experiments.__path__):
        if item.name == "tests":
            continue
        module = importlib.import_module(f"{experiments.__name__}.{item.name}")
        found[item.name.replace("_", "-")] = module.run
    return found


def print_report(name: str, options: Options, report: Report) -> None:
    """Prints the tables, checks, first violations and verdict of a run."""
    for table in report.tables:
        print(table.format())
    for guarantee, count in sorted(report.checks.items()):
        broken = sum(v.startswith(guarantee + ":") for v in report.violations)
        print(f"check: {guarantee}: {count} checks, {broken} broken")
    for line in report.violations[:20]:
        print(f"violation: {line}")
    verdict = "failed" if report.violations else "passed"
    if not report.checks:
        verdict = "failed (nothing was checked)"
    print(f"{name}: seed {options.seed}: {verdict}")


def write_json(path: str, name: str, options: Options, report: Report) -> None:
    """Writes a report as JSON."""
    data = {
        "experiment": name,
        "options": dataclasses.asdict(options),
        **dataclasses.asdict(report),
    }
    text = json.dumps(data, indent=2, sort_keys=True)
    pathlib.Path(path).write_text(text + "\n", encoding="utf-8")
