"""Runs a stand-in as a process: `python -m hollycart_bench.standin`."""

import warnings

warnings.filterwarnings("ignore", message="(?s).*Eventlet is deprecated")


from collections.abc import Callable
import pathlib

import defopt
import eventlet

from hollycart_bench import engine
from hollycart_bench import platform
from hollycart_bench import soak
from hollycart_bench import virtual
from hollycart_core import base
from hollycart_core import http
import hollycart_standins


def run_engine(
    *,
    host: str = "127.0.0.1",
    ports: str = "0",
    capacity_tokens: int = 400_000,
    model: str = "draft",
    checks_fence: bool = True,
    weight_store: str = "",
) -> None:
    """Runs one or several model engines in one process.

    Args:
        host: IP address to listen on.
        ports: TCP ports separated by commas, one for each engine.
        capacity_tokens: KV-cache memory of an engine, in tokens.
        model: Model that each engine holds at the start.
        checks_fence: Whether orders with an old fencing token are rejected.
        weight_store: Address of the weight store.
    """
    clock = base.SystemClock()
    for port in ports.split(","):
        orders = engine.OrderState((model,), checks_fence, weight_store, clock)
        batcher = engine.Batcher(engine.StepModel(), capacity_tokens)
        app = engine.EngineApp(batcher, clock, orders)
        app.start()
        http.HttpServer(app, host, int(port)).start()
    _sleep_forever()


def run_kv(*, host: str = "127.0.0.1", port: int = 0) -> None:
    """Runs the key-value store.

    Args:
        host: IP address to listen on.
        port: TCP port.
    """
    _serve(platform.KvApp(base.SystemClock()), host, port)


def run_list(
    *, host: str = "127.0.0.1", port: int = 0, lag_ms: float = 500.0
) -> None:
    """Runs the instance list.

    Args:
        host: IP address to listen on.
        port: TCP port.
        lag_ms: Delay with which the list shows a change, in ms.
    """
    _serve(platform.ListApp(base.SystemClock(), lag_ms), host, port)


def run_service(
    *, host: str = "127.0.0.1", port: int = 0, journal: str = ""
) -> None:
    """Runs an endpoint of the plain service.

    Args:
        host: IP address to listen on.
        port: TCP port.
        journal: File that records each effect and survives a restart; empty for
            none.
    """
    app = platform.ServiceApp(base.SystemClock(), journal)
    _serve(app, host, port)


def run_weights(*, host: str = "127.0.0.1", port: int = 0) -> None:
    """Runs the weight store.

    Args:
        host: IP address to listen on.
        port: TCP port.
    """
    _serve(platform.WeightApp(base.SystemClock()), host, port)


def run_balancer(
    *, host: str = "127.0.0.1", port: int = 0, targets: str = ""
) -> None:
    """Runs the load balancer.

    Args:
        host: IP address to listen on.
        port: TCP port.
        targets: Addresses of the instances, separated by commas.
    """
    clock = base.SystemClock()
    platform.Balancer(host, port, targets.split(","), clock).start()
    _sleep_forever()


def run_platform_store(*, host: str = "127.0.0.1", port: int = 0) -> None:
    """Runs the platform's metadata store.

    Args:
        host: IP address to listen on.
        port: TCP port.
    """
    _serve(hollycart_standins.StoreApp(base.SystemClock()), host, port)


def run_platform_engine(
    *,
    address: str,
    engine_id: str,
    journal: str,
    prompts: bool = True,
    crash_segment: str = "",
    crash_body: str = "",
    cold_ms: float = 0.0,
) -> None:
    """Runs an engine that speaks the platform's protocol.

    Args:
        address: `IP:PORT` to listen on.
        engine_id: Id of this incarnation of the engine.
        journal: File that records what the engine has run.
        prompts: Whether it serves prompts with streamed answers.
        crash_segment: Segment of a prompt on which it crashes; empty for none.
        crash_body: Body of a request on which it crashes; empty for none.
        cold_ms: Time for which it is cold after its start, in ms.
    """
    soak.SoakEngine(
        address,
        engine_id,
        virtual.PUBLISHED_ENGINE if prompts else None,
        virtual.PUBLISHED_ENGINE.slots,
        pathlib.Path(journal),
        base.SystemClock(),
        crash_segment,
        crash_body.encode(),
        cold_ms,
    ).start()
    _sleep_forever()


def _serve(app: Callable, host: str, port: int) -> None:
    http.HttpServer(app, host, port).start()
    _sleep_forever()


def _sleep_forever() -> None:
    while True:
        eventlet.sleep(3600)


if __name__ == "__main__":
    defopt.run(
        [
            run_engine,
            run_kv,
            run_list,
            run_service,
            run_weights,
            run_balancer,
            run_platform_store,
            run_platform_engine,
        ]
    )
