"""Run the daemon of an entry instance."""

import signal
import sys

import defopt
from absl import logging
from circuits import handler

import roadlift.conf.checks  # noqa: F401  The checks register themselves.
import roadlift.daemon.front  # noqa: F401  The parts register themselves.
from roadlift.conf.settings import Settings, make_command
from roadlift.core.checks import run_checks
from roadlift.core.errors import ImproperlyConfigured
from roadlift.core.kernel import Kernel
from roadlift.daemon.leaving import Leaving

EXIT_BAD_SETTINGS = 78  # EX_CONFIG of sysexits.h.


class Daemon(Kernel):
    """The kernel of an entry instance, with its signals."""

    @handler("started")
    def _on_started(self, *args) -> None:
        self.open()
        # Circuits sets handlers of its own just before; these go last.
        signal.signal(signal.SIGTERM, self._on_signal)
        signal.signal(signal.SIGINT, self._on_signal)

    @handler("stopped")
    def _on_stopped(self, *args) -> None:
        self.close()

    def _on_signal(self, number: int, frame: object) -> None:
        self.loop.call_later(0, self.get(Leaving).leave)


def report_findings(settings: Settings) -> int:
    """Print what the checks found; return how many findings there are."""
    findings = run_checks(settings)
    for finding in findings:
        text = f"{finding.id}: {finding.message}\n\thint: {finding.hint}"
        print(text, file=sys.stderr)
    return len(findings)


def run(settings: Settings, check: bool) -> None:
    """Check the settings, and serve until the process is told to leave."""
    if report_findings(settings):
        raise SystemExit(EXIT_BAD_SETTINGS)
    if check:
        print("The settings are good.")
        return
    logging.set_verbosity(logging.INFO)
    logging.use_absl_handler()
    Daemon(settings).run()


def main() -> None:
    """Read flags and environment variables, and run."""
    try:
        command = make_command(run)
    except ImproperlyConfigured as error:
        print(f"settings.E000: {error}", file=sys.stderr)
        raise SystemExit(EXIT_BAD_SETTINGS) from None
    defopt.run(command)


if __name__ == "__main__":
    main()
