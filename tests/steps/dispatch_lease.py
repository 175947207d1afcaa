"""Steps for requests whose leased room ends."""

from behave import given


@given("the room for dispatched requests ends before they are sent")
def room_ends(context):
    context.chooser.lease_ended = True
