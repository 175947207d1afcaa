"""Steps for what instances measure of themselves."""

from behave import then

#: What may be on its way, or fall between two readings of the metrics.
NEARLY = 0.05


def counted(context, direction):
    name = f"mothshunt_peer_bytes_{direction}"
    instances = context.env.deployment.instances
    return {item.id: item.metrics()[name] for item in instances}


@then("{name} received at least {count:d} bytes on its stream")
def received(context, name, count):
    assert counted(context, "received")[name] >= count, counted(context, "received")


@then("all instances together received nearly what they sent")
def nearly_all(context):
    sent = sum(counted(context, "sent").values())
    got = sum(counted(context, "received").values())
    assert abs(sent - got) <= NEARLY * sent, (sent, got)
