"""Announcements of targets for tests."""

from mothshunt.core.types import TargetId
from mothshunt.discovery.messages import Announcement


def announcement(target, incarnation):
    return Announcement(
        target=TargetId(target),
        incarnation=incarnation,
        customer="rackhaven",
        service="cabinet-status",
        host="127.0.0.1",
        port=9000,
        region="north",
        availability_zone="north-a",
        slots=3,
    )
