"""Measures the cost per unit of load and size, and writes docs/CAPACITY.md.

python benchmarks/capacity.py measure   # a few minutes
python benchmarks/capacity.py write     # only the page and the plots
"""

import dataclasses
import json
import logging
import pathlib

import anyio
import fire
import jinja2
import linear_fits
import matplotlib
from matplotlib import pyplot as plt
import structlog
import uvloop

ROOT = pathlib.Path(__file__).resolve().parent.parent
FITS_FILE = ROOT / "docs" / "capacity" / "slopes.json"
TEMPLATE_FILE = pathlib.Path(__file__).with_name("capacity_template.md")

EXPECTED_SIZE = {
    "targets": 660,
    "services": 22,
    "calls_per_s": 170_000,
    "depth": 14,
    "changes_per_day": 900,
    "platform_reads_per_s": 2000,
    "platform_writes_per_s": 500,
}


def write() -> None:
    """Writes the page and the plots from the stored measurements."""
    stored_fits = json.loads(FITS_FILE.read_text(encoding="utf-8"))
    fits_by_name = {
        fit["name"]: linear_fits.LinearFit(**fit) for fit in stored_fits
    }
    for fit in fits_by_name.values():
        _plot(fit)
    environment = jinja2.Environment(
        undefined=jinja2.StrictUndefined,
        keep_trailing_newline=True,
        trim_blocks=True,
    )
    template = environment.from_string(
        TEMPLATE_FILE.read_text(encoding="utf-8")
    )
    text = template.render(fits=fits_by_name, size=EXPECTED_SIZE)
    (ROOT / "docs" / "CAPACITY.md").write_text(text, encoding="utf-8")


def measure() -> None:
    """Runs all measurements, then writes the page and the plots."""
    error_logger = structlog.make_filtering_bound_logger(logging.ERROR)
    structlog.configure(wrapper_class=error_logger)
    result = anyio.run(
        linear_fits.measure_all,
        backend_options={"loop_factory": uvloop.new_event_loop},
    )
    FITS_FILE.parent.mkdir(exist_ok=True)
    data = [dataclasses.asdict(fit) for fit in result]
    FITS_FILE.write_text(json.dumps(data, indent=1) + "\n", encoding="utf-8")
    write()


def _plot(fit: linear_fits.LinearFit) -> None:
    figure, axes = plt.subplots(figsize=(4.5, 3.0), dpi=80)
    x = [point[0] for point in fit.points]
    y = [point[1] for point in fit.points]
    axes.plot(x, y, "o")
    x_range = [min(x), max(x)]
    axes.plot(x_range, [fit.at(value) for value in x_range])
    axes.set_xlabel(fit.x_label)
    axes.set_ylabel(fit.y_label)
    axes.set_title(fit.name)
    axes.set_ylim(bottom=0)
    figure.tight_layout()
    name = fit.name.replace(" ", "-")
    figure.savefig(ROOT / "docs" / "capacity" / f"{name}.png")
    plt.close(figure)


if __name__ == "__main__":
    matplotlib.use("agg")
    fire.Fire({"measure": measure, "write": write})
