"""The root command, and how errors of all commands are printed and become exit codes."""

from __future__ import annotations

import importlib
import sys

import click

from weldhatch import config
from weldhatch.applying.runner import Exit
from weldhatch.cli import output, settings
from weldhatch.cli.fleet import fleet
from weldhatch.keys.errors import KeysError
from weldhatch.planning.actions import Unplannable
from weldhatch.planning.plan import PlanError
from weldhatch.pullqueue import reconfiguration
from weldhatch.sexpr.reader import FormError

LEGACY_EXIT_FAULT = 2  # the commands outside `fleet` are older than its exit codes and keep this one


@click.group(invoke_without_command=True)
@click.option(
    "--pullqueue",
    metavar="FILE",
    default="deploy/pullqueue.toml",
    show_default=True,
    help="The settings file of the pull queue.",
)
@click.pass_context
def root(context: click.Context, pullqueue: str) -> None:
    """A dispatcher for long-lived tasks. Without a command, the dispatcher serves."""
    if context.invoked_subcommand is None:
        from weldhatch import server

        server.run(pullqueue)


root.add_command(fleet)


@root.command(context_settings={"ignore_unknown_options": True}, add_help_option=False)
@click.argument("words", nargs=-1, type=click.UNPROCESSED)
def conform(words: tuple[str, ...]) -> None:
    """Check a running pull queue against the numbered sentences of docs/pullqueue.md."""
    from weldhatch.cli.conform import conform as command  # imported only when the command is called

    command.main(args=list(words), prog_name="weldhatch conform", standalone_mode=True)


class LazyGroup(click.Group):
    """A command group whose module and libraries are imported only when the group is used."""

    def __init__(self, name: str, module: str, help: str) -> None:
        """Define the group `name`; `module` has the real group as an attribute of that name."""
        super().__init__(name, help=help)
        self._module = module

    def _load(self) -> click.Group:
        return getattr(importlib.import_module(self._module), self.name)

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of the group's commands, importing the module."""
        return self._load().list_commands(ctx)

    def get_command(self, ctx: click.Context, name: str) -> click.Command | None:
        """Return the command `name`, or None if the group has no such command; imports the module."""
        return self._load().get_command(ctx, name)


root.add_command(LazyGroup("sites", "weldhatch.cli.sites", "Other sites: tasks lent, taken and in doubt."))
root.add_command(
    LazyGroup("rules", "weldhatch.cli.rules", "Versions of the settings of a group of dispatchers.")
)
root.add_command(LazyGroup("zones", "weldhatch.cli.zones", "Evacuation and restoration of zones and racks."))
root.add_command(LazyGroup("peers", "weldhatch.cli.rules", "Voters and dispatchers of a group."))
root.add_command(LazyGroup("sim", "weldhatch.cli.sim", "Simulation runs of groups on a virtual clock."))
root.add_command(LazyGroup("keys", "weldhatch.cli.keys", "Certificates and tokens for the pull queue."))


@root.command()
@click.argument("file", metavar="FILE")
@click.option("--out", metavar="PLAN", help="The file to write the plan to (default: FILE.plan).")
@click.option("--control", metavar="HOST:PORT", help="The running gateway's control address.")
def plan(file: str, out: str | None, control: str | None) -> None:
    """Print and write the plan that applies a pull queue's settings FILE to the running gateway."""
    out = out or f"{file}.plan"
    settings_plan = settings.plan_file(file, out, control)
    click.echo(f"{reconfiguration.render(settings_plan)}\nThe plan is in {out}.")


@root.command()
@click.argument("plan_file", metavar="PLAN")
@click.option("--control", metavar="HOST:PORT", help="The running gateway's control address.")
def apply(plan_file: str, control: str | None) -> None:
    """Apply a plan of settings: all of its changes or none."""
    result = settings.apply_file(plan_file, control)
    if result.exit is not Exit.DONE:
        raise config.ConfigError("\n  ".join([result.text, *map(str, result.moved)]))
    click.echo(result.text)


def main(arguments: list[str]) -> int:
    """Run one command and return its exit code.

    Errors go to standard error; with --json, they are also printed as one JSON object.
    """
    is_legacy = arguments[:1] != ["fleet"]
    try:
        exit_code = root.main(args=arguments, prog_name="weldhatch", standalone_mode=False)
        return exit_code if isinstance(exit_code, int) else 0
    except click.exceptions.Abort:
        return Exit.FAULT
    except click.ClickException as error:
        error.show()
        return LEGACY_EXIT_FAULT if is_legacy else Exit.FAULT
    except (FormError, Unplannable, PlanError, config.ConfigError, KeysError, OSError) as error:
        lines = str(error).split("\n")
        if "--json" in arguments:
            click.echo(
                output.encode(output.FaultShown(error=type(error).__name__, lines=lines, exit=Exit.FAULT))
            )
        for line in lines:
            print(f"weldhatch: {line}", file=sys.stderr)
        return LEGACY_EXIT_FAULT if is_legacy else Exit.FAULT
