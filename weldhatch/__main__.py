"""The program: serves as the platform starts it, and hands all other arguments to the command line.

Serving must not pay for the command line: its libraries are imported only where there is a command.
"""

from __future__ import annotations

import sys

PULL_FILE = "deploy/pullqueue.toml"


def main(arguments: list[str] | None = None) -> int:
    """The program's exit code; `arguments` are the command line's, without the program's name."""
    arguments = sys.argv[1:] if arguments is None else arguments
    match arguments:
        case []:
            return serve(PULL_FILE)
        case ["--pullqueue", file]:
            return serve(file)
        case [option] if option.startswith("--pullqueue="):
            return serve(option.partition("=")[2])
    from weldhatch.cli.main import main as commands

    return commands(arguments)


def serve(pull_file: str) -> int:
    """Serve until told to end; a configuration that can't be used ends it with one line and 2."""
    from weldhatch import config, server

    try:
        server.run(pull_file)
    except (config.ConfigError, OSError) as error:
        print(f"weldhatch: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
