"""Timing and sizes of the replicated log."""

from dataclasses import dataclass

from mothshunt.consensus import const


@dataclass(frozen=True, kw_only=True, slots=True)
class ConsensusConfig:
    """Hold what tests and deployments may set.

    :param heartbeat_s: Time between heartbeats of a leader, in seconds.
    :param election_min_s: Shortest silence after which an election starts, in
        seconds; a voter that heard the leader within it grants no vote.
    :param election_max_s: Longest silence after which an election starts, in seconds.
    :param resend_s: Time after which an unanswered append is sent again, in seconds.
    :param snapshot_after_entries: Applied entries between two snapshots.
    :param snapshot_after_entries_at_most: The same where the state is large.
    :param snapshot_after_bytes: Bytes of applied entries between two snapshots at most,
        unless the state is larger.
    :param keep_entries: Entries kept before a snapshot.
    :param keep_bytes: Bytes of entries kept before a snapshot at most.
    :param snapshot_chunk_bytes: Largest part of a snapshot in one message.
    :param segment_bytes: Size after which a new file of the log is begun.
    :param max_voters: Voters up to which learners are promoted.
    :param is_founded_by_majority: Whether a majority of the initial control instances
        founds the log, not only all of them; allowed where none that lost its data
        folder is started as one of them.
    :param is_self_managed: Whether the leader admits control instances that ask, and
        replaces voters that are lost.
    """

    heartbeat_s: float = const.HEARTBEAT_S
    election_min_s: float = const.ELECTION_MIN_S
    election_max_s: float = const.ELECTION_MAX_S
    resend_s: float = const.RESEND_S
    snapshot_after_entries: int = const.SNAPSHOT_AFTER_ENTRIES
    snapshot_after_entries_at_most: int = const.SNAPSHOT_AFTER_ENTRIES_AT_MOST
    snapshot_after_bytes: int = const.SNAPSHOT_AFTER_BYTES
    keep_entries: int = const.KEEP_ENTRIES
    keep_bytes: int = const.KEEP_BYTES
    snapshot_chunk_bytes: int = const.SNAPSHOT_CHUNK_BYTES
    segment_bytes: int = const.SEGMENT_BYTES
    max_voters: int = const.MAX_MEMBERS
    is_founded_by_majority: bool = False
    is_self_managed: bool = False
