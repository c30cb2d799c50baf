"""Tests of settings that change while a node runs."""

import json
import os
import pathlib
import subprocess
import sys

import pytest
import yaml
from clayfield_platform.boot import read_boot, to_settings

from clayfield.node.settings import NodeSettings
from clayfield.node.settings_source import SettingsSource
from clayfield.testbed.processes import free_port, wait_for

MAIN = pathlib.Path(__file__).parent.parent / "platform" / "main.py"
DEAD_SEED = "127.0.0.2:1"


def _rewrite(path):
    path.write_text("two")


def _replace(path):
    other = path.with_name("other")
    other.write_text("one")
    os.replace(other, path)


@pytest.mark.parametrize(
    ("change", "expected"),
    [
        (lambda path: None, False),
        (_rewrite, True),
        (_replace, True),
        (lambda path: path.unlink(), False),
    ],
)
def test_changed_file_is_noticed_once(tmp_path, change, expected):
    path = tmp_path / "settings"
    path.write_text("one")
    source = SettingsSource(lambda: NodeSettings("a", "h", ("", 0)), str(path))
    change(path)
    assert [source.has_changed() for _ in range(2)] == [expected, False]


def test_unreadable_file_leaves_the_former_settings(tmp_path):
    path = tmp_path / "boot.yaml"
    path.write_text("node: [")
    source = SettingsSource(
        lambda: to_settings(read_boot(str(path))), str(path)
    )
    assert source.reload() is None


class _PlatformNode:
    """A node's process with the platform's settings file."""

    def __init__(self, folder, role, address, seeds, peers_port):
        self.log = folder / f"{role}.log"
        self._path = folder / f"{role}.yaml"
        listen = {"control": f"{address}:{peers_port + 1}"}
        if role == "entry":
            listen = {
                "front": f"{address}:{peers_port + 1}",
                "ready": f"{address}:{peers_port + 2}",
            }
        self._settings = {
            "node": role,
            "role": role,
            "ip": address,
            "zone": "a",
            "listen": listen,
            "ephemeral_ports": [peers_port, peers_port],
            "bootstrap": True,
            "data_dir": str(folder / "data") if role == "control" else None,
        }
        self.write_seeds(seeds)
        with open(self.log, "ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, str(MAIN), role],
                env={**os.environ, "CLAYFIELD_BOOT": str(self._path)},
                stdout=log,
                stderr=log,
            )

    def write_seeds(self, seeds):
        self._path.write_text(
            yaml.safe_dump({**self._settings, "seeds": seeds})
        )

    def logged(self, name):
        lines = map(json.loads, self.log.read_text().splitlines())
        return [line for line in lines if line["name"] == name]

    def kill(self):
        self._process.kill()
        self._process.wait(20)


def test_seeds_that_change_without_a_signal_are_connected_to(tmp_path):
    port = free_port()
    # The metrics of both listen at one port, so each has its own address.
    net = f"127.{64 + os.getpid() % 64}.{os.getpid() // 64 % 256}"
    seed = f"{net}.1:{port}"
    control = _PlatformNode(tmp_path, "control", f"{net}.1", [seed], port)
    entry = _PlatformNode(tmp_path, "entry", f"{net}.2", [DEAD_SEED], port)
    try:
        for node in (control, entry):
            wait_for(
                lambda node=node: node.logged("NODE_STARTED"), f"{node.log}"
            )
        entry.write_seeds([seed])
        wait_for(lambda: entry.logged("PEER_CONNECTED"), f"{entry.log}")
    finally:
        control.kill()
        entry.kill()
