"""A system that runs until it is interrupted."""

import pathlib
import sys

import eventlet

from hollycart_bench import fleet
from hollycart_bench import load


def run_up(log_dir: pathlib.Path) -> int:
    """Starts a system, prints how to reach it and runs until Ctrl-C.

    Args:
        log_dir: Directory for the output of the processes.

    Returns:
        Zero.
    """
    workload = load.HINOKUNI
    spec = fleet.FleetSpec(engines=workload.engines)
    system = fleet.Fleet(spec, log_dir)
    try:
        system.start()
        system.load_table(workload.table_csv(), list(workload.teams))
        _print_access(system, workload)
        while True:
            eventlet.sleep(3600)
    except KeyboardInterrupt:
        system.stop_gracefully()
    finally:
        system.close()
    return 0


def _print_access(system: fleet.Fleet, workload: load.Workload) -> None:
    team = next(iter(workload.teams))
    lines = ["entry addresses:"]
    lines += [f"  {system.entries[n].address}" for n in system.instance_names()]
    lines.append(f"balancer: {system.balancer_address}")
    lines.append(f"team {team}, bearer key {system.keys[team]}")
    lines += [
        f"export {name}={value}"
        for name, value in system.operator_environ().items()
    ]
    lines.append(
        f"curl -N http://{system.balancer_address}/v1/completions "
        f"-H 'Authorization: Bearer {system.keys[team]}' "
        f"-H 'Hollycart-Kind: draft' "
        f'-d \'{{"model":"{system.spec.model}","prompt":"hello",'
        f'"max_tokens":8,"stream":true}}\''
    )
    sys.stdout.write("\n".join(lines) + "\n")
    sys.stdout.flush()
