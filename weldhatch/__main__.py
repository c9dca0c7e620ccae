"""Entry point: serves if started without a command, and passes all other arguments to the command line.

The libraries of the command line are imported only for a command, as the server starts faster without them.
"""

from __future__ import annotations

import sys

PULL_QUEUE_FILE = "deploy/pullqueue.toml"


def main(arguments: list[str] | None = None) -> int:
    """Run the program and return its exit code. `arguments` leaves out the program's name."""
    arguments = sys.argv[1:] if arguments is None else arguments
    match arguments:
        case []:
            return serve(PULL_QUEUE_FILE)
        case ["--pullqueue", file]:
            return serve(file)
        case [option] if option.startswith("--pullqueue="):
            return serve(option.partition("=")[2])
    from weldhatch.cli.main import main as run_command_line

    return run_command_line(arguments)


def serve(pull_queue_path: str) -> int:
    """Serve until shutdown and return 0; for an unusable configuration, print one line and return 2."""
    from weldhatch import config, server

    try:
        server.run(pull_queue_path)
    except (config.ConfigError, OSError) as error:
        print(f"weldhatch: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
