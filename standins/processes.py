"""Starts, signals and ends the processes of a stand-in deployment."""

import contextlib
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time

STOP_TIMEOUT_SECONDS = 12.0
ROOT = pathlib.Path(__file__).resolve().parent.parent


def last_lines(folder: pathlib.Path, count: int) -> str:
    """Return the last `count` lines of each log in a folder.

    Each line starts with the name of its log.
    """
    return '\n'.join(
        f'{path.stem}: {line}'
        for path in sorted(folder.glob('*.log'))
        for line in path.read_text().splitlines()[-count:]
    )


class ProcessTable:
    """Processes by name, each signalled and ended by its own id.

    They log to files if `quiet`, else to the standard output. The name of a
    host's program is `host/program`.
    """

    def __init__(self, *, quiet: bool) -> None:
        self._logs_to_files = quiet
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self._directory = tempfile.TemporaryDirectory(prefix='egretstep-')

    @property
    def folder(self) -> pathlib.Path:
        """Return the temporary folder for logs and settings files."""
        return pathlib.Path(self._directory.name)

    def spawn(self, name: str, arguments: list[str]) -> None:
        """Run a Python module as a process; `arguments` begin with its name."""
        output = (
            self._log_path(name).open('ab') if self._logs_to_files else None
        )
        environment = {
            **os.environ,
            'PYTHONPATH': f'{ROOT / "src"}{os.pathsep}{ROOT}',
        }
        self._processes[name] = subprocess.Popen(
            [sys.executable, '-m', *arguments],
            cwd=ROOT,
            env=environment,
            stdout=output,
            stderr=output,
        )
        if output:
            output.close()

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process, unless it has ended."""
        process = self._processes[name]
        if process.poll() is None:
            process.send_signal(number)

    def kill(self, name: str) -> None:
        """Kill a process and wait for its end."""
        self.send_signal(name, signal.SIGKILL)
        self._processes.pop(name).wait()

    def terminate(self, name: str) -> None:
        """Request a process to stop and wait for its end.

        Raises `subprocess.TimeoutExpired` after `STOP_TIMEOUT_SECONDS`.
        """
        self.send_signal(name, signal.SIGTERM)
        self._processes.pop(name).wait(STOP_TIMEOUT_SECONDS)

    def kill_host(self, host: str) -> None:
        """Kill all programs of a host together and wait for their end."""
        names = [
            name for name in self._processes if name.startswith(f'{host}/')
        ]
        for name in names:
            self.send_signal(name, signal.SIGKILL)
        for name in names:
            self._processes.pop(name).wait()

    def suspend(self, name: str) -> None:
        """Suspend a process with SIGSTOP."""
        self.send_signal(name, signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Resume a process that `suspend` has stopped."""
        self.send_signal(name, signal.SIGCONT)

    def process_id(self, name: str) -> int:
        """Return the operating system's id of a process."""
        return self._processes[name].pid

    def names(self) -> list[str]:
        """Return the names of all processes."""
        return list(self._processes)

    def last_lines(self, count: int) -> str:
        """Return the last `count` lines of the log file of each process."""
        return last_lines(self.folder, count)

    def stop(self) -> None:
        """Request all processes to stop and delete their files.

        Kills those that have not ended after `STOP_TIMEOUT_SECONDS`.
        """
        # A planned stop of a host needs the servers and the platform.
        names = sorted(self._processes, key=lambda name: '/' not in name)
        for name in names:
            self.resume(name)
            self.send_signal(name, signal.SIGTERM)
        deadline = time.monotonic() + STOP_TIMEOUT_SECONDS
        for process in self._processes.values():
            with contextlib.suppress(subprocess.TimeoutExpired):
                process.wait(max(0.1, deadline - time.monotonic()))
            if process.poll() is None:
                process.kill()
                process.wait()
        self._processes.clear()
        self._directory.cleanup()

    def kill_all(self) -> None:
        """Kill all processes without a clean stop and delete their files."""
        for process in self._processes.values():
            process.kill()
        for process in self._processes.values():
            process.wait()
        self._processes.clear()
        self._directory.cleanup()

    def _log_path(self, name: str) -> pathlib.Path:
        file_name = name.replace('/', '-')
        return self.folder / f'{file_name}.log'
