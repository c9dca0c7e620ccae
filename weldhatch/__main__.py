"""The program: serves as the platform starts it, and hands all other words to the command line.

Serving must not pay for the command line: its libraries are imported only where there is a command.
"""

from __future__ import annotations

import sys

PULL_FILE = "deploy/pullqueue.toml"


def main(words: list[str] | None = None) -> int:
    """The program's exit code; `words` are the command line's, without the program's name."""
    words = sys.argv[1:] if words is None else words
    match words:
        case []:
            return serve(PULL_FILE)
        case ["--pullqueue", file]:
            return serve(file)
        case [word] if word.startswith("--pullqueue="):
            return serve(word.partition("=")[2])
    from weldhatch.cli.main import main as commands

    return commands(words)


def serve(pull_file: str) -> int:
    """Serve until told to end; a configuration that can't be used ends it with one line and 2."""
    from weldhatch import config, server

    try:
        server.run(pull_file)
    except (config.ConfigError, OSError) as fault:
        print(f"weldhatch: {fault}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
