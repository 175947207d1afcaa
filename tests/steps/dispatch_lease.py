"""Steps for requests whose permit's lease ends before they are sent."""

from behave import given


@given("the leases of permits end before requests are sent")
def leases_end(context):
    context.chooser.lease_ended = True
