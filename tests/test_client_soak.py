"""Tests of nodes beside crowds of clients, signals and changes, in short.

Longer runs are started by hand, see `clayfield.testbed.client_soak`.
"""

import pytest

from clayfield.testbed.client_soak import ClientSoak

STEPS = 8


@pytest.mark.parametrize("seed", [2, 7])
def test_nodes_hold_their_bounds_beside_clients_and_restarts(tmp_path, seed):
    result = ClientSoak(seed, tmp_path / "soak").run(STEPS)
    assert result.violations == []
    assert result.steps
