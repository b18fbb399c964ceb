"""Run the daemon of an entry instance."""

import importlib
import os
import signal
import sys
from typing import NamedTuple

from circuits import handler

import roadlift.conf.checks  # noqa: F401  The checks register themselves.
from roadlift.conf.settings import Settings, make_command, read_file, read_settings
from roadlift.core import logs
from roadlift.core.checks import run_checks
from roadlift.core.errors import ImproperlyConfigured
from roadlift.core.kernel import Kernel
from roadlift.instance.platform import import_plugins

EXIT_BAD_SETTINGS = 78  # EX_CONFIG of sysexits.h.
EXIT_NOT_STARTED = 69  # EX_UNAVAILABLE of sysexits.h.


class Root(NamedTuple):
    """The part that callers reach; its module imports all that it needs."""

    part: str
    module: str


# By the interface. The parts of the other one are not imported: a process that
# restarts is back 0.1 s sooner on one core.
ROOTS = {
    "openai": Root("front", "roadlift.daemon.front"),
    "routes": Root("ingress", "roadlift.instance.ingress"),
}
FILE_PERIOD = 1.0  # Seconds between looks whether the file of settings changed.

log = logs.ComponentLog("daemon")


class Daemon(Kernel):
    """The kernel of an entry instance, with its signals."""

    def __init__(self, settings: Settings, lines: logs.LineBuffer | None) -> None:
        super().__init__(settings)
        self.lines = lines
        self._file = SettingsFile(settings)
        self._root = ROOTS[settings.interface].part

    @handler("started")
    def _on_started(self, *args) -> None:
        if self.lines is not None:
            self.loop.call_every(logs.FLUSH_INTERVAL, self.lines.flush)
        self.loop.call_every(FILE_PERIOD, self._file.look)
        self._open_parts()
        # Circuits sets handlers of its own just before; these go last.
        signal.signal(signal.SIGTERM, self._on_signal)
        signal.signal(signal.SIGINT, self._on_signal)
        signal.signal(signal.SIGHUP, self._on_reload)

    def _open_parts(self) -> None:
        """Start the parts, or end: what runs the process starts it again.

        The loop bears errors of handlers. A process whose address was taken
        for a moment lived on without serving anybody, for good.
        """
        try:
            self.open([self._root])
        except Exception as error:
            log.error("The process can't start: %r.", error)
            if self.lines is not None:
                self.lines.flush()
            raise SystemExit(EXIT_NOT_STARTED) from error

    @handler("stopped")
    def _on_stopped(self, *args) -> None:
        self.close()
        if self.lines is not None:
            self.lines.flush()

    def _on_signal(self, number: int, frame: object) -> None:
        self.loop.call_later(0, self.find(self._root).leave)

    def _on_reload(self, number: int, frame: object) -> None:
        self.loop.call_later(0, self._file.reload)


class SettingsFile:
    """The file of settings, which may change with or without a signal."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._path = settings.node_file
        self._seen = self._measure()

    def look(self) -> None:
        """Read the file again if it has changed."""
        if self._path and self._measure() != self._seen:
            self.reload()

    def reload(self) -> None:
        """Read the file again; a bad one changes nothing."""
        if not self._path:
            log.event("reload", reason="no file of settings is in use")
            return
        self._seen = self._measure()
        try:
            content = read_file(self._path)
        except ImproperlyConfigured as error:
            log.error("The file of settings is ignored: %s.", error)
            return
        changed = [
            name
            for name, value in content.items()
            if getattr(self._settings, name) != value
        ]
        for name in changed:
            setattr(self._settings, name, content[name])
        log.event("reload", changed=changed)

    def _measure(self) -> tuple[int, int]:
        if not self._path:
            return 0, 0
        try:
            found = os.stat(self._path)
        except OSError:
            # The file is being replaced; the next look finds it.
            return 0, 0
        return found.st_mtime_ns, found.st_size


def report_findings(settings: Settings) -> int:
    """Print what the checks found; return how many findings there are."""
    findings = run_checks(settings)
    for finding in findings:
        text = f"{finding.id}: {finding.message}\n\thint: {finding.hint}"
        print(text, file=sys.stderr)
    return len(findings)


def run(settings: Settings, check: bool) -> None:
    """Check the settings, and serve until the process is told to leave."""
    try:
        import_plugins(settings.plugins)
    except (ImproperlyConfigured, ImportError) as error:
        print(f"settings.E000: plugins: {error}", file=sys.stderr)
        raise SystemExit(EXIT_BAD_SETTINGS) from None
    if report_findings(settings):
        raise SystemExit(EXIT_BAD_SETTINGS)
    if check:
        print("The settings are good.")
        return
    importlib.import_module(ROOTS[settings.interface].module)
    lines = None
    if settings.log_format == "json":
        lines = logs.use_json(settings.instance)
    else:
        logs.use_text()
    Daemon(settings, lines).run()


def main() -> None:
    """Read flags and environment variables, and run."""
    try:
        if len(sys.argv) == 1:
            settings = read_settings(os.environ)
        else:
            command = make_command(run)
    except ImproperlyConfigured as error:
        print(f"settings.E000: {error}", file=sys.stderr)
        raise SystemExit(EXIT_BAD_SETTINGS) from None
    if len(sys.argv) == 1:
        run(settings, False)
        return
    # Parsing flags takes a fifth of a start, and only flags need it.
    import defopt

    defopt.run(command)


if __name__ == "__main__":
    main()
