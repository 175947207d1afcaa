"""What a control instance tells of its replicated log."""

from mothshunt.consensus.driver import NodeDriver
from mothshunt.consensus.model import ConsensusStatus
from mothshunt.consensus.state import NodeState
from mothshunt.consensus.types import NO_INDEX, NO_TERM, NodeRole
from mothshunt.metrics.registry import Metrics

STATE_LEARNER = "learner"


def status(driver: NodeDriver | None) -> ConsensusStatus:
    """Return the state of the replicated log.

    :param driver: The running node; ``None`` before the start.
    """
    if driver is None:
        return ConsensusStatus(
            term=NO_TERM,
            state=STATE_LEARNER,
            leader=None,
            commit_index=NO_INDEX,
            applied_index=NO_INDEX,
            last_index=NO_INDEX,
            voters=(),
        )
    state = driver.state
    return ConsensusStatus(
        term=state.term,
        state=state_name(state),
        leader=state.leader,
        commit_index=state.commit_index,
        applied_index=driver.applier.applied_index,
        last_index=state.log.last_index,
        voters=tuple(member.to_voter() for member in state.membership.voters),
        learners=tuple(member.to_voter() for member in state.membership.learners),
    )


def state_name(state: NodeState) -> str:
    """Return what operators are told of a node's role.

    :param state: The node.
    """
    if not state.is_voter:
        return STATE_LEARNER
    if state.role is NodeRole.PRE_CANDIDATE:
        return str(NodeRole.CANDIDATE.value)
    return str(state.role.value)


def register_gauges(driver: NodeDriver, metrics: Metrics) -> None:
    """Have the indices and the term read with the metrics.

    :param driver: The running node.
    :param metrics: Metrics of the process.
    """
    state = driver.state
    metrics.gauge("mothshunt_consensus_term", lambda: state.term)
    metrics.gauge("mothshunt_consensus_commit_index", lambda: state.commit_index)
    metrics.gauge(
        "mothshunt_consensus_applied_index", lambda: driver.applier.applied_index
    )
    metrics.gauge("mothshunt_consensus_voters", lambda: len(state.membership.voters))
    metrics.gauge(
        "mothshunt_consensus_is_leader", lambda: float(state.role is NodeRole.LEADER)
    )
