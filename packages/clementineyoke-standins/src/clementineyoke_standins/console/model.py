"""``make model``: run the model checker on every specification and mutation."""

from __future__ import annotations

import sys

from clementineyoke_standins.model.model_run import check_all


def main() -> None:
    """Print a line a run; exit 1 if one is not as it must be."""
    all_good = True
    for result, good in check_all():
        verdict = (
            "proved" if result.is_proved else "broken: " + ", ".join(result.broken)
        )
        print(f"{'ok' if good else 'WRONG':<6}{result.states:>8} states  {result.name}")
        print(f"{'':6}{verdict}")
        if result.trace:
            print(f"{'':6}{' > '.join(result.trace)}")
        all_good = all_good and good
    sys.exit(0 if all_good else 1)


if __name__ == "__main__":
    main()
