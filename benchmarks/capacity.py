"""Re-measures the slopes and rewrites docs/CAPACITY.md.

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
import matplotlib
from matplotlib import pyplot as plt
import slopes
import structlog
import uvloop

ROOT = pathlib.Path(__file__).resolve().parent.parent
RESULTS = ROOT / "docs" / "capacity" / "slopes.json"
TEMPLATE = pathlib.Path(__file__).with_name("capacity_template.md")

SIZES = {
    "targets": 660,
    "services": 22,
    "calls_per_s": 170_000,
    "depth": 14,
    "changes_per_day": 900,
    "platform_reads_per_s": 2000,
    "platform_writes_per_s": 500,
}


def write() -> None:
    """Rewrites the page and the plots from the stored measurements."""
    stored = json.loads(RESULTS.read_text(encoding="utf-8"))
    by_name = {item["name"]: slopes.Slope(**item) for item in stored}
    for item in by_name.values():
        _plot(item)
    environment = jinja2.Environment(
        undefined=jinja2.StrictUndefined,
        keep_trailing_newline=True,
        trim_blocks=True,
    )
    template = environment.from_string(TEMPLATE.read_text(encoding="utf-8"))
    text = template.render(slopes=by_name, size=SIZES)
    (ROOT / "docs" / "CAPACITY.md").write_text(text, encoding="utf-8")


def measure() -> None:
    """Measures all slopes, then rewrites the page and the plots."""
    quiet = structlog.make_filtering_bound_logger(logging.ERROR)
    structlog.configure(wrapper_class=quiet)
    result = anyio.run(
        slopes.measure_all,
        backend_options={"loop_factory": uvloop.new_event_loop},
    )
    RESULTS.parent.mkdir(exist_ok=True)
    data = [dataclasses.asdict(item) for item in result]
    RESULTS.write_text(json.dumps(data, indent=1) + "\n", encoding="utf-8")
    write()


def _plot(item: slopes.Slope) -> None:
    figure, axes = plt.subplots(figsize=(4.5, 3.0), dpi=80)
    x = [point[0] for point in item.points]
    y = [point[1] for point in item.points]
    axes.plot(x, y, "o")
    ends = [min(x), max(x)]
    axes.plot(ends, [item.at(value) for value in ends])
    axes.set_xlabel(item.x_label)
    axes.set_ylabel(item.y_label)
    axes.set_title(item.name)
    axes.set_ylim(bottom=0)
    figure.tight_layout()
    name = item.name.replace(" ", "-")
    figure.savefig(ROOT / "docs" / "capacity" / f"{name}.png")
    plt.close(figure)


if __name__ == "__main__":
    matplotlib.use("agg")
    fire.Fire({"measure": measure, "write": write})
