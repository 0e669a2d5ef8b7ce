"""Writes a finished experiment as JSON, Markdown and SVG."""

import json
import math
import pathlib
import subprocess

from .evaluate import Verdict
from .spec import Experiment

FOLDER = pathlib.Path("docs/measurements")


def _number(value: float) -> str:
    if math.isnan(value) or math.isinf(value):
        return "none"
    return f"{value:.0f}" if value == int(value) else f"{value:.2f}"


def _cell(figure: dict) -> str:
    if figure["min"] == figure["max"]:
        return _number(figure["median"])
    return f"{_number(figure['median'])} ({_number(figure['min'])} to {_number(figure['max'])})"


def table(summaries: dict, columns: tuple) -> list[str]:
    lines = ["| variant | " + " | ".join(columns) + " |", "|---|" + "---|" * len(columns)]
    for variant, figures in summaries.items():
        cells = [_cell(figures[name]) if name in figures else "none" for name in columns]
        lines.append(f"| {variant} | " + " | ".join(cells) + " |")
    return lines


def targets_table(verdicts: list[Verdict]) -> list[str]:
    lines = ["| target | limit | measured | met |", "|---|---|---|---|"]
    for verdict in verdicts:
        met = "yes" if verdict.met else "**no**"
        lines.append(f"| {verdict.text} | {_number(verdict.limit)} | {_number(verdict.measured)} | {met} |")
    return lines


def markdown(experiment: Experiment, data: dict, verdicts: list[Verdict]) -> str:
    lines = [f"# {experiment.name}", "", experiment.question, ""]
    lines += [f"Run by `./scripts/experiment {experiment.name}{' --quick' if data['quick'] else ''}` at commit "
              f"{data['commit']} on {data['date']}, seeds {', '.join(map(str, data['seeds']))}, "
              f"{data['elapsed_s']:.0f} s.",
              f"Machine: {data['cores']} cores; load average {data['load_before']} before and {data['load_after']} "
              f"after. The processes of the experiment used {data['cores_used']} cores on average.", ""]
    lines += ["## Targets", "", *targets_table(verdicts), ""]
    lines += ["## Figures", "", "Medians over the seeds, with the lowest and the highest in parentheses.", "",
              *table(data["summaries"], experiment.columns), ""]
    if experiment.plot:
        lines += [f"![{experiment.plot.get('title', experiment.name)}]({experiment.name}.svg)", ""]
    if experiment.notes:
        lines += ["## Notes", "", experiment.notes, ""]
    samples = [sample for run in data["runs"] for sample in run.get("samples", [])]
    if samples:
        lines += ["## Samples of wrong or failed checks", "", "```", *[json.dumps(sample) for sample in samples[:5]], "```", ""]
    return "\n".join(lines)


def _plot_bars(experiment: Experiment, data: dict) -> str:
    metrics = experiment.plot["metrics"]
    rows = ["variant " + " ".join(f'"{name}"' for name in metrics)]
    for variant, figures in data["summaries"].items():
        rows.append(f'"{variant}" ' + " ".join(str(figures[name]["median"]) for name in metrics))
    columns = ", ".join(f"$d using {index + 2}:xtic(1) title columnheader({index + 2}) noenhanced"
                        for index in range(len(metrics)))
    return "\n".join(["$d << E", *rows, "E", "set style data histograms", "set style fill solid 0.8", "set logscale y",
                      f"set ylabel '{experiment.plot['ylabel']}'", "set xtics rotate by -20", f"plot {columns}"])


def _plot_timeline(experiment: Experiment, data: dict) -> str:
    run = data["runs"][0]
    rows = [f"{row['at_s']} {row['offered'] - row['answered']} {row['worst_ms']}" for row in run["timeline"]]
    marks = [f"set arrow from {event['at_s']}, graph 0 to {event['at_s']}, graph 1 nohead dt 3 lc 'gray'"
             for event in run["events"][:80]]
    return "\n".join(["$d << E", *rows, "E", *marks, "set xlabel 's'", "set ylabel 'slowest answer, ms'",
                      "set y2label 'not answered'", "set y2tics", "set ytics nomirror", "set yrange [0:*]",
                      "set y2range [0:*]",
                      "plot $d using 1:3 with lines title 'slowest answer of 0.5 s', "
                      "$d using 1:2 axes x1y2 with impulses title 'requests not answered'"])


def quote(text: str) -> str:
    """The text for a single-quoted gnuplot string."""
    return text.replace("'", "''")


def plot(experiment: Experiment, data: dict) -> None:
    body = (_plot_bars if experiment.plot["kind"] == "bars" else _plot_timeline)(experiment, data)
    head = (f"set terminal svg size 900,420 dynamic background 'white'\nset output '{FOLDER}/{experiment.name}.svg'\n"
            f"set title '{quote(experiment.plot.get('title', experiment.name))}' noenhanced\n")
    subprocess.run(["gnuplot"], input=head + body + "\n", text=True, check=True, timeout=30)


def write(experiment: Experiment, data: dict, verdicts: list[Verdict]) -> None:
    FOLDER.mkdir(parents=True, exist_ok=True)
    (FOLDER / f"{experiment.name}.json").write_text(json.dumps(data, indent=1) + "\n")
    (FOLDER / f"{experiment.name}.md").write_text(markdown(experiment, data, verdicts))
    if experiment.plot:
        plot(experiment, data)
