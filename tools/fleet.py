"""Start and stop a fleet of papayagw processes on this machine.

``python -m tools.fleet FOLDER`` runs the fleet of a settings folder, such as
examples/valukoja, until Ctrl-C. Benchmarks and tests use :class:`Fleet`.
"""

import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Iterator, Mapping, Sequence
from contextlib import contextmanager, suppress
from dataclasses import replace
from pathlib import Path

from papayagw._internal.models.endpoint import Endpoint
from tools.fleet_folder import (
    BASE,
    OVERLAY,
    SUFFIX,
    FleetPlan,
    read_folder,
    write_folder,
)

ROOT = Path(__file__).resolve().parents[1]
READY_TIMEOUT_S = 60.0
SERVING_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 15.0
_POLL_S = 0.02
_BLOCKS_END = 255
_CLAIM_PORT = 4399
_REQUEST_TIMEOUT_S = 2.0
FABRIC = "fabric"
PLATFORM = "platform"
CONNECT = "connect"


class FleetError(Exception):
    """A process failed to start or respond, or no address block is free."""


class Fleet:
    """Processes of one fleet, each named after its settings file.

    Parameters
    ----------
    folder : Path
        The settings folder.
    logs : Path
        Folder for the standard output and standard error of each process.
    fabric_flags : sequence of str
        Additional command-line flags of the fabric's stand-in.
    backend_flags : mapping of str to sequence of str, optional
        Additional command-line flags of the backend servers' stand-ins, by the
        names of the backend servers.
    """

    def __init__(
        self,
        folder: Path,
        logs: Path,
        fabric_flags: Sequence[str] = (),
        backend_flags: Mapping[str, Sequence[str]] | None = None,
    ):
        self._settings = read_folder(folder)
        self._folder = folder
        self._logs = logs
        self._fabric_flags = tuple(fabric_flags)
        self._backend_flags = backend_flags or {}
        self._processes: dict[str, subprocess.Popen] = {}

    @property
    def settings(self):
        """The parsed settings of the folder."""
        return self._settings

    @property
    def folder(self) -> Path:
        """The settings folder."""
        return self._folder

    @property
    def targets(self) -> dict[str, Endpoint]:
        """The TCP endpoint at which clients connect to each service."""
        return self._settings.targets

    @property
    def backends(self) -> dict[str, Endpoint]:
        """The endpoints of the backend servers, by name."""
        return self._settings.backends

    @property
    def names(self) -> list[str]:
        """The names of all processes, in start order."""
        backends = [f"backend-{name}" for name in self.backends]
        nodes = [*self._settings.balancers, *self._settings.agents]
        platform = [PLATFORM] if self._settings.platform else []
        return [*platform, *backends, FABRIC, *nodes, CONNECT]

    def pid(self, name: str) -> int:
        """Return the process id of a running process."""
        return self._processes[name].pid

    def is_running(self, name: str) -> bool:
        """Return whether a process has been started and has not exited."""
        return name in self._processes and self._processes[name].poll() is None

    def start(self) -> None:
        """Start all processes and wait until each service responds."""
        if self._settings.platform:
            self.start_process(PLATFORM)
            self.submit()
        for name in self.names:
            if name != PLATFORM:
                self.spawn(name)
        for name in self.names:
            self._wait_ready(name)
        self.wait_serving()

    def spawn(self, name: str) -> None:
        """Start one process without waiting until it is ready."""
        with (
            self._output_file(name).open("w", encoding="utf-8") as output,
            (self._logs / f"{name}.err").open("a", encoding="utf-8") as errors,
        ):
            self._processes[name] = subprocess.Popen(
                make_command(self._make_arguments(name)),
                cwd=ROOT,
                env=make_environment(),
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=errors,
            )

    def start_process(self, name: str) -> None:
        """Start one process and wait until it is ready."""
        self.spawn(name)
        self._wait_ready(name)

    def change_overlay(self, edit: Callable[[dict], None]) -> None:
        """Apply `edit` to the content of the overlay file."""
        file = self._folder / OVERLAY
        content = json.loads(file.read_text(encoding="utf-8"))
        edit(content)
        file.write_text(json.dumps(content), encoding="utf-8")

    def submit(self) -> str:
        """Submit the base file and the overlay; return the command's output."""
        files = [str(self._folder / BASE), "--overlay", str(self._folder / OVERLAY)]
        arguments = ["config", "submit", *files, "--platform", self._settings.platform]
        completed = subprocess.run(
            make_command(arguments),
            env=make_environment(),
            capture_output=True,
            text=True,
        )
        if completed.returncode:
            raise FleetError(
                f"config submit failed: {completed.stdout}{completed.stderr}"
            )
        return completed.stdout

    def kill(self, name: str) -> None:
        """Kill a process with SIGKILL, as if its machine had failed."""
        self._processes[name].kill()
        self._processes[name].wait()

    def terminate(self, name: str) -> None:
        """Send SIGTERM to a process without waiting for its exit."""
        self._processes[name].terminate()

    def stop(self, name: str) -> int:
        """Stop a process gracefully and return its exit code."""
        self.terminate(name)
        return self._processes[name].wait(STOP_TIMEOUT_S)

    def close(self) -> None:
        """Stop all processes: connect first, then the agents, then the rest.

        Closing a flow takes messages between its caller and its agent, so balancers
        and fabric keep running until both have stopped.
        """
        names = list(self._processes)
        agents = [name for name in names if name.startswith("agent-")]
        rest = [name for name in names if name != CONNECT and name not in agents]
        for group in ([CONNECT] if CONNECT in names else [], agents, rest):
            self._stop_all(group)

    def _stop_all(self, names: Sequence[str]) -> None:
        for name in names:
            if self.is_running(name):
                self.terminate(name)
        deadline = time.monotonic() + STOP_TIMEOUT_S
        for name in names:
            process = self._processes[name]
            with suppress(subprocess.TimeoutExpired):
                process.wait(max(deadline - time.monotonic(), 0))
            process.kill()
            process.wait()

    def output(self, name: str) -> str:
        """Return the standard output of a process since its last start."""
        return self._output_file(name).read_text(encoding="utf-8")

    def wait_serving(self) -> None:
        """Wait until each service responds through the whole path."""
        deadline = time.monotonic() + SERVING_TIMEOUT_S
        for service, target in self.targets.items():
            while not _is_serving(target):
                if time.monotonic() > deadline:
                    raise FleetError(
                        f"service {service!r} did not respond at {target}"
                        f" within {SERVING_TIMEOUT_S:.0f} s"
                    )
                time.sleep(_POLL_S)

    def _make_arguments(self, name: str) -> list[str]:
        if name == PLATFORM:
            listen = self._settings.platform.removeprefix("http://")
            return ["standin", PLATFORM, "--listen", listen]
        if name == FABRIC:
            return ["standin", FABRIC, *self._settings.routes, *self._fabric_flags]
        role, _, rest = name.partition("-")
        if role != "backend":
            return [role, str(self._folder / f"{name}{SUFFIX}")]
        kind = rest.rpartition("-")[0]
        arguments = ["standin", "backend", "--listen", str(self.backends[rest])]
        flags = self._backend_flags.get(rest, ())
        return [*arguments, "--kind", kind, "--name", rest, *flags]

    def _wait_ready(self, name: str) -> None:
        deadline = time.monotonic() + READY_TIMEOUT_S
        while not self.output(name).startswith("ready"):
            code = self._processes[name].poll()
            if code is not None or time.monotonic() > deadline:
                errors = (self._logs / f"{name}.err").read_text(encoding="utf-8")
                raise FleetError(f"{name} is not ready (exit code {code}): {errors}")
            time.sleep(_POLL_S)

    def _output_file(self, name: str) -> Path:
        return self._logs / f"{name}.out"


@contextmanager
def claimed_block(first: int) -> Iterator[int]:
    """Reserve a block of loopback addresses, unused by other fleets on this machine.

    A block is 127.N.0.0/16. A UDP socket bound to its last usable address marks it
    as reserved until the context exits.

    Parameters
    ----------
    first : int
        The first block to try; later ones follow in ascending order.

    Yields
    ------
    int
        The second octet of the addresses.

    Raises
    ------
    FleetError
        If no block is free.
    """
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as claim:
        for block in range(first, _BLOCKS_END):
            if _try_bind(claim, (f"127.{block}.255.254", _CLAIM_PORT)):
                yield block
                return
    raise FleetError(
        f"no free block of loopback addresses at or after 127.{first}.0.0/16"
    )


def _try_bind(claim: socket.socket, address: tuple[str, int]) -> bool:
    try:
        claim.bind(address)
    except OSError:
        return False
    return True


def make_command(arguments: Sequence[str]) -> list[str]:
    """Return the command line that runs a papayagw command."""
    return [sys.executable, "-m", "papayagw", *arguments]


def make_environment() -> dict[str, str]:
    """Return the environment with the source folder on ``PYTHONPATH``."""
    return {**os.environ, "PYTHONPATH": str(ROOT / "src")}


@contextmanager
def running_fleet(plan: FleetPlan, **flags):
    """Run the fleet of a plan in its address block or the next free one."""
    with (
        tempfile.TemporaryDirectory(prefix="papayagw-fleet-") as name,
        claimed_block(plan.block) as block,
    ):
        folder = Path(name)
        write_folder(replace(plan, block=block), folder)
        fleet = Fleet(folder, folder, **flags)
        try:
            fleet.start()
            yield fleet
        finally:
            fleet.close()


def send_request(target: Endpoint, line: str) -> str:
    """Send one line; return the first line of the response, or "" if there is none."""
    try:
        with socket.create_connection(
            target.sockaddr, _REQUEST_TIMEOUT_S
        ) as connection:
            connection.sendall(f"{line}\n".encode())
            with connection.makefile("rb") as answers:
                return answers.readline().decode().strip()
    except OSError:
        return ""


def _is_serving(target: Endpoint) -> bool:
    return send_request(target, "HEALTH").startswith("HEALTH")


def _raise_keyboard_interrupt(signum: int, frame: object) -> None:
    raise KeyboardInterrupt


def main(folder: str) -> None:
    """Run the fleet of a settings folder until Ctrl-C or SIGTERM."""
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, _raise_keyboard_interrupt)
    with tempfile.TemporaryDirectory(prefix="papayagw-logs-") as logs:
        fleet = Fleet(Path(folder).resolve(), Path(logs))
        try:
            fleet.start()
            for name in fleet.names:
                print(f"{name:24} {fleet.pid(name)}")
            for service, target in fleet.targets.items():
                print(f"{service}: connect over TCP to {target}")
            print(f"logs: {logs}; Ctrl-C stops all", flush=True)
            while True:
                time.sleep(1)
        except KeyboardInterrupt:
            pass
        finally:
            fleet.close()


if __name__ == "__main__":
    import fire

    fire.Fire(main)
