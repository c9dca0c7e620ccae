"""The command line's root, and what its faults come to."""

from __future__ import annotations

import importlib
import sys

import click

from weldhatch import config
from weldhatch.applying.runner import Exit
from weldhatch.cli import output, settings
from weldhatch.cli.fleet import fleet
from weldhatch.keys.errors import KeysError
from weldhatch.planning.actions import UnplannableError
from weldhatch.planning.plan import PlanError
from weldhatch.pullqueue import reconfiguration
from weldhatch.sexpr.reader import FormError

OLD_FAULT = 2  # what the calls from before `fleet` end with, as they always did


@click.group(invoke_without_command=True)
@click.option(
    "--pullqueue",
    metavar="FILE",
    default="deploy/pullqueue.toml",
    show_default=True,
    help="The file of the pull queue.",
)
@click.pass_context
def root(context: click.Context, pullqueue: str) -> None:
    """A dispatcher for long-lived tasks. Without a command, it serves."""
    if context.invoked_subcommand is None:
        from weldhatch import server

        server.run(pullqueue)


root.add_command(fleet)


@root.command(context_settings={"ignore_unknown_options": True}, add_help_option=False)
@click.argument("words", nargs=-1, type=click.UNPROCESSED)
def conform(words: tuple[str, ...]) -> None:
    """Check a pull queue against the numbered sentences of docs/pullqueue.md."""
    from weldhatch.cli.conform import conform as command  # it and its libraries only where it is called for

    command.main(args=list(words), prog_name="weldhatch conform", standalone_mode=True)


class Later(click.Group):
    """A group whose module, and its libraries, are imported once it is called for."""

    def __init__(self, name: str, module: str, help: str) -> None:
        super().__init__(name, help=help)
        self._module = module

    def _load(self) -> click.Group:
        return getattr(importlib.import_module(self._module), self.name)

    def list_commands(self, ctx: click.Context) -> list[str]:
        return self._load().list_commands(ctx)

    def get_command(self, ctx: click.Context, name: str) -> click.Command | None:
        return self._load().get_command(ctx, name)


root.add_command(Later("sites", "weldhatch.cli.sites", "Other sites: what is lent, taken and in doubt."))
root.add_command(Later("rules", "weldhatch.cli.rules", "Versions that all dispatchers of a group act on."))
root.add_command(Later("zones", "weldhatch.cli.zones", "Zones that the fleet has left, or returns to."))
root.add_command(Later("peers", "weldhatch.cli.rules", "Who votes on the rules, and who takes part."))
root.add_command(Later("sim", "weldhatch.cli.sim", "Plays of whole groups on a virtual clock."))
root.add_command(Later("keys", "weldhatch.cli.keys", "Certificates and tokens for the pull queue."))


@root.command()
@click.argument("file", metavar="FILE")
@click.option("--out", metavar="PLAN", help="Where the plan goes (default: FILE.plan).")
@click.option("--control", metavar="HOST:PORT", help="The running gateway's control address.")
def plan(file: str, out: str | None, control: str | None) -> None:
    """Show and write what a pull queue's FILE would change in the running gateway."""
    out = out or f"{file}.plan"
    made = settings.plan_file(file, out, control)
    click.echo(f"{reconfiguration.render(made)}\nThe plan is in {out}.")


@root.command()
@click.argument("plan_file", metavar="PLAN")
@click.option("--control", metavar="HOST:PORT", help="The running gateway's control address.")
def apply(plan_file: str, control: str | None) -> None:
    """Carry out a plan of settings, wholly or not at all."""
    result = settings.apply_file(plan_file, control)
    if result.exit is not Exit.DONE:
        raise config.ConfigError("\n  ".join([result.text, *map(str, result.moved)]))
    click.echo(result.text)


def main(words: list[str]) -> int:
    """Run one command. Faults are one line each on standard error, or one JSON object with --json."""
    old = words[:1] != ["fleet"]
    try:
        code = root.main(args=words, prog_name="weldhatch", standalone_mode=False)
        return code if isinstance(code, int) else 0
    except click.exceptions.Abort:
        return Exit.FAULT
    except click.ClickException as fault:
        fault.show()
        return OLD_FAULT if old else Exit.FAULT
    except (FormError, UnplannableError, PlanError, config.ConfigError, KeysError, OSError) as fault:
        lines = str(fault).split("\n")
        if "--json" in words:
            click.echo(
                output.encode(output.FaultShown(error=type(fault).__name__, lines=lines, exit=Exit.FAULT))
            )
        for line in lines:
            print(f"weldhatch: {line}", file=sys.stderr)
        return OLD_FAULT if old else Exit.FAULT
