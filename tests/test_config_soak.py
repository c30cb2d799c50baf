"""Tests of configurations with real processes, a proxy and faults.

Longer runs are started by hand, see `clayfield.testbed.config_soak`.
"""

import pytest

from clayfield.testbed.config_soak import ConfigSoak

SECONDS = 20


@pytest.mark.parametrize("seed", [7])
def test_configurations_keep_their_promises_beside_faults(tmp_path, seed):
    result = ConfigSoak(seed, tmp_path / "soak").run(SECONDS)
    assert result.violations == []
    assert result.checked
    assert result.answered
    assert result.faults
