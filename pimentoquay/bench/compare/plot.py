"""SVG bar chart of goodput by scenario, deployment and policy; lengths are in pixels."""

from collections import defaultdict
from typing import Any

__all__ = ["draw_chart"]

BAR_HEIGHT = 12
GROUP_GAP = 18
LEFT = 220
"""Left edge of the bars."""

WIDTH = 500
"""Length of a bar for a goodput of 1."""

COLOURS = ("#888888", "#4477aa", "#66ccee", "#228833", "#ccbb44", "#ee6677", "#aa3377")


def draw_chart(rows: list[dict[str, Any]]) -> str:
    """Return an SVG document; each bar is the mean goodput of a policy over all seeds."""
    by_group: dict[str, dict[str, list[float]]] = defaultdict(lambda: defaultdict(list))
    policies = list(dict.fromkeys(row["policy"] for row in rows))
    for row in rows:
        group = f"{row['scenario']} {row['deployment']}"
        by_group[group][row["policy"]].append(row["goodput"])
    parts, top = [], GROUP_GAP
    for group, by_policy in by_group.items():
        parts.append(f'<text x="4" y="{top + BAR_HEIGHT}">{group}</text>')
        for policy, values in by_policy.items():
            mean = sum(values) / len(values)
            colour = COLOURS[policies.index(policy) % len(COLOURS)]
            parts.append(
                f'<rect x="{LEFT}" y="{top}" width="{mean * WIDTH:.1f}"'
                f' height="{BAR_HEIGHT - 2}" fill="{colour}"/>'
                f'<text x="{LEFT + WIDTH + 6}" y="{top + BAR_HEIGHT - 2}">'
                f"{policy} {mean:.3f}</text>"
            )
            top += BAR_HEIGHT
        top += GROUP_GAP
    return (
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{LEFT + WIDTH + 140}" height="{top}"'
        ' font-family="sans-serif" font-size="10">' + "".join(parts) + "</svg>\n"
    )
