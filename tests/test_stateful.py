"""Stateful test of a simulated site; hypothesis chooses the actions."""

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from clayfield.testbed.chaos import Chaos

ACTIONS = sorted(Chaos(0).actions)


# The source of this class, with docstrings, seeds the derandomized draw.
class SiteMachine(RuleBasedStateMachine):
    """Carries out any actions in any order, then rests and checks."""

    @initialize(seed=st.integers(0, 1000))
    def start(self, seed):
        self.chaos = Chaos(seed)
        self.chaos.site.settle()

    @rule(name=st.sampled_from(ACTIONS), pause_ms=st.integers(0, 400))
    def act(self, name, pause_ms):
        self.chaos.do(name)
        self.chaos.site.run(pause_ms)

    def teardown(self):
        if hasattr(self, "chaos"):
            self.chaos.rest()


TestSite = SiteMachine.TestCase
TestSite.settings = settings(
    max_examples=10,
    stateful_step_count=30,
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)
