#!/usr/bin/env python3
"""Draws one SVG per measure from JSON lines: plot_measures.py FILE.jsonl.

Prints each value with its target and its baselines.
"""

import collections
import html
import json
import pathlib
import re
import sys

COLORS = ["#1b6ca8", "#b0b0b0", "#d9a441", "#8a6bb1"]
LABEL_WIDTH, BAR_HEIGHT, GROUP_GAP, CHART_WIDTH = 330, 14, 14, 900


def bar_chart(title, rows):
    """Returns a chart with one group of bars per case."""
    highest = max(
        [row["target"] for row in rows]
        + [value for row in rows for value in bar_values(row).values()]
    )
    scale = (CHART_WIDTH - LABEL_WIDTH - 90) / (highest or 1)
    parts, y = [], 40
    for row in rows:
        top = y
        for index, (name, value) in enumerate(bar_values(row).items()):
            color = COLORS[index % len(COLORS)]
            parts.append(
                f'<rect x="{LABEL_WIDTH}" y="{y}" width="{value * scale:.1f}" '
                f'height="{BAR_HEIGHT - 2}" fill="{color}"/>'
                f'<text x="{LABEL_WIDTH + value * scale + 4:.1f}" y="{y + 10}">'
                f"{value:.4g} {html.escape(name)}</text>"
            )
            y += BAR_HEIGHT
        x = LABEL_WIDTH + row["target"] * scale
        parts.append(
            f'<line x1="{x:.1f}" x2="{x:.1f}" y1="{top - 3}" y2="{y}" '
            f'stroke="#c0392b"/>'
            f'<text x="{LABEL_WIDTH - 6}" y="{top + 10}" text-anchor="end">'
            f"{html.escape(row['case'])}</text>"
        )
        y += GROUP_GAP
    unit = rows[0]["details"].get("unit", "")
    return (
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{CHART_WIDTH + 200}" '
        f'height="{y + 10}" font-family="sans-serif" font-size="11">'
        f'<text x="10" y="20" font-size="14">{html.escape(title)}: '
        f"{html.escape(unit)} (red: target)</text>"
        + "".join(parts)
        + "</svg>\n"
    )


def bar_values(row):
    """Returns the bars of a case by name."""
    return {"filberthub": row["value"], **row["baselines"]}


def main(path):
    rows = [json.loads(line) for line in path.read_text().splitlines()]
    measures = collections.defaultdict(list)
    for row in rows:
        measures[row["measure"]].append(row)
        sign = ">=" if row["target_is"] == "minimum" else "<="
        baselines = ", ".join(
            f"{name} {value:.4g}" for name, value in row["baselines"].items()
        )
        print(
            f"{'met ' if row['met'] else 'MISS'} {row['deployment']} "
            f"{row['measure']}, {row['case']}: {row['value']:.4g} "
            f"(target {sign} {row['target']:g}; {baselines})"
        )
    for name, cases in measures.items():
        file_name = re.sub(r"\W+", "-", name)
        target = path.with_name(f"{path.stem}-{file_name}.svg")
        target.write_text(bar_chart(f"{cases[0]['deployment']}, {name}", cases))
    missed = sum(not row["met"] for row in rows)
    print(f"{len(rows) - missed} of {len(rows)} targets met")


if __name__ == "__main__":
    main(pathlib.Path(sys.argv[1]))
