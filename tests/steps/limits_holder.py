"""Steps for one holder of shares that lacks them."""

from behave import given, then, when

from mothshunt.core.types import CustomerId, InstanceId
from mothshunt.limits.holder import LeaseHolder
from mothshunt.limits.messages import Grant, GrantedShare
from mothshunt.limits.model import LimitKey, LimitKind

CUSTOMER = CustomerId("sleman")
KEYS = (
    LimitKey(customer=CUSTOMER, kind=LimitKind.REGION, name="south"),
    LimitKey(customer=CUSTOMER, kind=LimitKind.LINK, name="north>south"),
    LimitKey(customer=CUSTOMER, kind=LimitKind.SHIFT, name=""),
)


@given("an idle holder without shares under a region, a link and the shift cap")
def idle_holder(context):
    context.holder = LeaseHolder(InstanceId("north-1"), 1, "north", earliest_start=0.0)
    context.holder.configure(5, dict.fromkeys(KEYS, 0))


@given("the holder has a share of {share:d} under the region only")
def region_share(context, share):
    renewal = context.holder.prepare_renewal(0.0)
    shares = (GrantedShare(key=KEYS[0], share=share),)
    grant = Grant(sequence=renewal.sequence, term=1, lease_s=5.0, shares=shares)
    assert context.holder.accept(grant, 0.1)


@when("a request is refused because it lacks a share")
def refused(context):
    limit_set = context.holder.limit_set(KEYS)
    assert (
        context.holder.check_capacity(limit_set, idempotent=False, now=0.2) is not None
    )


@then("the next renewal requests shares under all three limits")
def requests_all(context):
    renewal = context.holder.prepare_renewal(0.3)
    wanted = {holding.key: holding.wanted for holding in renewal.holdings}
    assert all(wanted.get(key, 0) > 0 for key in KEYS), wanted


@then("no request is in flight under any limit")
def nothing_in_use(context):
    assert all(context.holder.in_use(key) == 0 for key in KEYS)
