"""The `hollycart` command.

Exit codes: 0 after a graceful shutdown or a check of valid settings, 2 for
invalid settings or usage, 3 if a port cannot be bound, 4 if requests were still
in flight when the drain timed out.
"""

import os
import random
import signal
import sys
import warnings

warnings.filterwarnings("ignore", message="(?s).*Eventlet is deprecated")


from absl import flags
from absl import logging
import eventlet

from hollycart import entry
from hollycart_core import base

EXIT_OK = 0
EXIT_USAGE = 2
EXIT_BIND = 3
EXIT_DRAIN_TIMEOUT = 4

_USAGE = """usage: hollycart COMMAND [FLAGS]

commands:
  serve           run an entry instance until SIGTERM
  check-settings  validate the settings and exit

`hollycart serve --help` lists all settings.
"""


def main() -> None:
    """Parses the command line and runs the command."""
    argv = sys.argv[1:]
    if not argv or argv[0] not in ("serve", "check-settings"):
        sys.stdout.write(_USAGE)
        sys.exit(EXIT_OK if argv in (["-h"], ["--help"]) else EXIT_USAGE)
    try:
        cfg = entry.read_settings(argv[1:], os.environ)
    except base.InvalidSettingsError as exc:
        sys.stderr.write(f"invalid settings:\n{exc.detail}\n")
        sys.exit(EXIT_USAGE)
    if argv[0] == "check-settings":
        for name, value in cfg._asdict().items():
            displayed = "***" if name == "peer_secret" and value else value
            sys.stdout.write(f"{name}={displayed}\n")
        sys.exit(EXIT_OK)
    sys.exit(_serve(cfg))


def _serve(cfg: entry.Settings) -> int:
    # Marks the flags of absl as parsed; absl.logging reads them.
    flags.FLAGS(["hollycart"])
    logging.use_absl_handler()
    logging.set_verbosity(cfg.verbosity)
    instance = entry.Instance(cfg, base.SystemClock(), random.Random())
    try:
        instance.start()
    except (OSError, RuntimeError) as exc:
        sys.stderr.write(f"cannot listen: {exc}\n")
        return EXIT_BIND
    stop_requested = eventlet.event.Event()

    def handle_signal(signum: int, frame: object) -> None:
        del signum, frame
        if not stop_requested.ready():
            eventlet.spawn_after(0, stop_requested.send)

    signal.signal(signal.SIGTERM, handle_signal)
    signal.signal(signal.SIGINT, handle_signal)
    while not stop_requested.ready():
        stop_requested.wait(timeout=0.25)
    instance.drain()
    no_requests_in_flight = instance.lifecycle.running == 0
    instance.close()
    return EXIT_OK if no_requests_in_flight else EXIT_DRAIN_TIMEOUT


if __name__ == "__main__":
    main()
