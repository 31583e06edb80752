"""Fixture that runs commands of ``pimentoquay-ctl`` against a cluster in one event loop."""

import io
import re
from dataclasses import dataclass
from pathlib import Path

import pytest

from pimentoquay.bench.deployment import PRINT_SERVICES
from pimentoquay.bench.memory_cluster import MemoryCluster
from pimentoquay.ctl.output import Output
from pimentoquay.ctl.program import run_command
from pimentoquay.kernel import Identity

KEY = "the shared key"


@dataclass
class Result:
    """Exit status and output of a command."""

    status: int
    out: str
    err: str


@dataclass
class Operator:
    """Runs commands of ``pimentoquay-ctl`` against a VM of a cluster."""

    cluster: MemoryCluster
    directory: Path
    is_started: bool = False

    def write(self, file: str, text: str) -> None:
        """Write a file in the working directory."""
        (self.directory / file).write_text(text, encoding="utf-8")

    def read(self, file: str) -> str:
        """Read a file in the working directory."""
        return (self.directory / file).read_text(encoding="utf-8")

    @property
    def config(self) -> str:
        """Path of the settings file that the commands use."""
        return str(self.directory / "ctl.ini")

    def select_vm(self, vm: str) -> None:
        """Write a settings file with which the following commands connect to this VM."""
        address = self.cluster.vm_by_name[vm].address
        text = f"[control]\naddress = {address}\n\n[cluster]\nkey = {KEY}\n"
        Path(self.config).write_text(text, encoding="utf-8")

    async def run(self, line: str, *, connects: bool = True) -> Result:
        """Run a command line, with ``--config`` added if the command connects to a VM."""
        if not self.is_started:
            # Started here, as the fixture runs in real time and the tests in virtual time.
            self.is_started = True
            await self.cluster.start(settle=8.0)
        words = re.sub(r"^pimentoquay-ctl ", "", line).split()
        if connects and "--config" not in words:
            words += ["--config", self.config]
        out, err = io.StringIO(), io.StringIO()
        output = Output(as_json=False, stream=out, errors=err)
        status = await run_command(words, self._transport, output)
        return Result(status, out.getvalue(), err.getvalue())

    def _transport(self, target):
        assert target.key == KEY.encode()
        return self.cluster.network.transport(Identity("operator", "ctl", "", "", 0))


@pytest.fixture
async def operator(tmp_path, monkeypatch):
    monkeypatch.chdir(tmp_path)
    cluster = MemoryCluster(PRINT_SERVICES)
    client = Operator(cluster, tmp_path)
    client.select_vm("tt-north-vm-1")
    yield client
    await cluster.close()
