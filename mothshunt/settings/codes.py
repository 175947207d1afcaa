"""Result codes of the settings."""

from mothshunt.core.codes import ResultCode

UNREADABLE = ResultCode(
    number=1001,
    name="settings_unreadable",
    http_status=500,
    summary="The settings file could not be read.",
    action="Check the path and the permissions of the file.",
)
INVALID = ResultCode(
    number=1002,
    name="settings_invalid",
    http_status=500,
    summary="A value in the settings file is missing, unknown or out of bounds.",
    action="Correct the value at the path; docs/CONFIGURATION.md lists all keys.",
)
INCONSISTENT = ResultCode(
    number=1003,
    name="settings_inconsistent",
    http_status=500,
    summary="Values in the settings file contradict each other.",
    action="Correct the value at the path.",
)
