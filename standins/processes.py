"""Processes that a stand-in deployment has started, by their names."""

import contextlib
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time

STOP_SECONDS = 12.0
ROOT = pathlib.Path(__file__).resolve().parent.parent


def last_lines(folder: pathlib.Path, count: int) -> str:
    """Return the last lines of each log in a folder, with its name."""
    return '\n'.join(
        f'{path.stem}: {line}'
        for path in sorted(folder.glob('*.log'))
        for line in path.read_text().splitlines()[-count:]
    )


class ProcessTable:
    """Starts processes and ends them by their own ids.

    A quiet one writes to files, the others to the standard output.
    """

    def __init__(self, *, quiet: bool) -> None:
        self._quiet = quiet
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self._directory = tempfile.TemporaryDirectory(prefix='egretstep-')

    @property
    def folder(self) -> pathlib.Path:
        """Return the folder of files that go with the processes."""
        return pathlib.Path(self._directory.name)

    def spawn(self, name: str, arguments: list[str]) -> None:
        """Start a Python module under a name."""
        output = self._log_path(name).open('ab') if self._quiet else None
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
        """Send a signal to one process, by its name."""
        process = self._processes[name]
        if process.poll() is None:
            process.send_signal(number)

    def kill(self, name: str) -> None:
        """Kill one process, by its name."""
        self.send_signal(name, signal.SIGKILL)
        self._processes.pop(name).wait()

    def terminate(self, name: str) -> None:
        """Stop one process on plan, and wait for its end."""
        self.send_signal(name, signal.SIGTERM)
        self._processes.pop(name).wait(STOP_SECONDS)

    def kill_host(self, host: str) -> None:
        """Kill all programs of a host at once."""
        names = [
            name for name in self._processes if name.startswith(f'{host}/')
        ]
        for name in names:
            self.send_signal(name, signal.SIGKILL)
        for name in names:
            self._processes.pop(name).wait()

    def freeze(self, name: str) -> None:
        """Stop a process without ending it."""
        self.send_signal(name, signal.SIGSTOP)

    def thaw(self, name: str) -> None:
        """Let a frozen process go on."""
        self.send_signal(name, signal.SIGCONT)

    def process_id(self, name: str) -> int:
        """Return the id of a process."""
        return self._processes[name].pid

    def names(self) -> list[str]:
        """Return the names of all processes."""
        return list(self._processes)

    def last_lines(self, count: int) -> str:
        """Return the last lines that each quiet process has written."""
        return last_lines(self.folder, count)

    def stop(self) -> None:
        """End every process and remove the files."""
        # Hosts end before what they work on, as in a planned stop.
        names = sorted(self._processes, key=lambda name: '/' not in name)
        for name in names:
            self.thaw(name)
            self.send_signal(name, signal.SIGTERM)
        deadline = time.monotonic() + STOP_SECONDS
        for process in self._processes.values():
            with contextlib.suppress(subprocess.TimeoutExpired):
                process.wait(max(0.1, deadline - time.monotonic()))
            if process.poll() is None:
                process.kill()
                process.wait()
        self._processes.clear()
        self._directory.cleanup()

    def kill_all(self) -> None:
        """Kill every process at once, for tests that need no clean end."""
        for process in self._processes.values():
            process.kill()
        for process in self._processes.values():
            process.wait()
        self._processes.clear()
        self._directory.cleanup()

    def _log_path(self, name: str) -> pathlib.Path:
        file_name = name.replace('/', '-')
        return self.folder / f'{file_name}.log'
