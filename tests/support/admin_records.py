"""Records of instances for the tests of the administration API."""

from mothshunt.membership.model import InstanceRecord


def record_instance(admin, name, role):
    """Add the record of an instance to the configuration in force."""
    record = InstanceRecord(
        id=name,
        region="north",
        availability_zone="north-b",
        roles=(role,),
        traffic_host="",
        traffic_port=0,
        admin_host="127.0.0.1",
        admin_port=8002,
        peer_host="127.0.0.1",
        peer_port=8003,
        seat=0,
    )
    admin.source.instance_by_id[name] = record
    return record
