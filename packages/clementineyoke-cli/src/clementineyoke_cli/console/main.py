"""Entry point of ``clementineyoke``, the command-line tool for operators."""

from __future__ import annotations

import sys

import fire

from clementineyoke_cli.admin_error import AdminError
from clementineyoke_cli.console.commands import Commands
from clementineyoke_cli.console.printing import print_error

EXIT_REFUSED = 1


def main() -> None:
    """Run the command that the arguments name; exits with 1 on ``AdminError``."""
    try:
        fire.Fire(Commands, name="clementineyoke")
    except AdminError as error:
        print_error(error)
        sys.exit(EXIT_REFUSED)


if __name__ == "__main__":
    main()
