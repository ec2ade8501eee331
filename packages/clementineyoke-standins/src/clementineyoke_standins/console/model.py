"""``make model``: run the model checker on every specification and mutation."""

from __future__ import annotations

import sys

from clementineyoke_standins.model.model_run import check_all


def main() -> None:
    """Print the result of each run; exit 1 if one differs from the expected result."""
    all_expected = True
    for result, is_expected in check_all():
        verdict = (
            "proved" if result.is_proved else "broken: " + ", ".join(result.broken)
        )
        mark = "ok" if is_expected else "WRONG"
        print(f"{mark:<6}{result.states:>8} states  {result.name}")
        print(f"{'':6}{verdict}")
        if result.trace:
            print(f"{'':6}{' > '.join(result.trace)}")
        all_expected = all_expected and is_expected
    sys.exit(0 if all_expected else 1)


if __name__ == "__main__":
    main()
