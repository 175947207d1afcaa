"""Result codes of the replicated log."""

from mothshunt.core.codes import ResultCode

NO_LEADER = ResultCode(
    number=4001,
    name="consensus_no_leader",
    http_status=503,
    summary="No leader of the control instances is known or reachable.",
    action="Try again after the time given; see how many control instances run.",
)
NOT_LEADER = ResultCode(
    number=4002,
    name="consensus_not_leader",
    http_status=503,
    summary="The control instance that was asked does not lead.",
    action="Try again after the time given.",
)
OUTCOME_UNKNOWN = ResultCode(
    number=4003,
    name="consensus_outcome_unknown",
    http_status=504,
    summary="No majority answered in time; the command may still be accepted.",
    action="Ask for the outcome by its id, or send the same command again.",
)
NOT_CONFIRMED = ResultCode(
    number=4004,
    name="consensus_not_confirmed",
    http_status=503,
    summary="No majority confirmed in time that what is known here is current.",
    action="Try again after the time given; see how many control instances run.",
)
SUPERSEDED = ResultCode(
    number=4005,
    name="consensus_superseded",
    http_status=503,
    summary="The command was dropped when another leader took over.",
    action="Send it again.",
)
OVERLOADED = ResultCode(
    number=4006,
    name="consensus_overloaded",
    http_status=503,
    summary="Too many commands wait to be accepted.",
    action="Try again after the time given.",
)
COMMAND_TOO_LARGE = ResultCode(
    number=4007,
    name="consensus_command_too_large",
    http_status=413,
    summary="A command is larger than the log takes.",
    action="Split the change.",
)
CHANGE_IN_PROGRESS = ResultCode(
    number=4010,
    name="consensus_change_in_progress",
    http_status=409,
    summary="Another change of the voters is not finished yet.",
    action="Try again after the time given.",
)
TOO_MANY_VOTERS = ResultCode(
    number=4011,
    name="consensus_too_many_voters",
    http_status=409,
    summary="The number of control instances is at its limit.",
    action="Remove a voter first.",
)
VOTER_UNKNOWN = ResultCode(
    number=4012,
    name="consensus_voter_unknown",
    http_status=404,
    summary="No voter has this name.",
    action="See the members for the names.",
)
LAST_VOTER = ResultCode(
    number=4013,
    name="consensus_last_voter",
    http_status=409,
    summary="The only voter cannot be removed.",
    action="Add another voter first.",
)
VOTER_UNREACHABLE = ResultCode(
    number=4014,
    name="consensus_voter_unreachable",
    http_status=503,
    summary="The new voter does not answer.",
    action="See that the instance runs with the role control at this address.",
)
DUPLICATE_INSTANCE = ResultCode(
    number=4015,
    name="consensus_duplicate_instance",
    http_status=409,
    summary="Two running instances use the name of one voter.",
    action="Stop one of them, or give it another name.",
)
LOG_DAMAGED = ResultCode(
    number=4020,
    name="consensus_log_damaged",
    http_status=500,
    summary="A record in the middle of the log on disk is damaged.",
    action="Move the data folder aside; the instance then catches up from the others.",
)
STATE_DAMAGED = ResultCode(
    number=4021,
    name="consensus_state_damaged",
    http_status=500,
    summary="A state file in the data folder is damaged.",
    action="Move the data folder aside; the instance then catches up from the others.",
)
FOLDER_IN_USE = ResultCode(
    number=4022,
    name="consensus_folder_in_use",
    http_status=500,
    summary="Another process uses the data folder.",
    action="Stop the other process, or give this one a folder of its own.",
)
FOLDER_FOREIGN = ResultCode(
    number=4023,
    name="consensus_folder_foreign",
    http_status=500,
    summary="The data folder belongs to another instance.",
    action="Correct the folder or the name of the instance in the settings.",
)
DISK_FAILED = ResultCode(
    number=4024,
    name="consensus_disk_failed",
    http_status=500,
    summary="A write to the data folder failed; the instance takes no part any more.",
    action="Check the disk and its free space, then start the instance again.",
)
APPLY_FAILED = ResultCode(
    number=4026,
    name="consensus_apply_failed",
    http_status=500,
    summary="An accepted command could not be applied; the instance takes no part.",
    action="Start the instance again; report the fault when it stays.",
)
NODE_FAILED = ResultCode(
    number=4027,
    name="consensus_node_failed",
    http_status=500,
    summary="The replicated log failed by a fault of the code; it takes no part.",
    action="Start the instance again; report the log line with the error.",
)
STOPPED = ResultCode(
    number=4025,
    name="consensus_stopped",
    http_status=503,
    summary="The replicated log is not running on this instance.",
    action="Ask another control instance.",
)

ALL = tuple(value for value in globals().values() if isinstance(value, ResultCode))
BY_NUMBER = {code.number: code for code in ALL}
