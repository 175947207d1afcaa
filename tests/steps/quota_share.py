"""Steps for the share of each quota that a control instance issues."""

from behave import given, then, when

from mothshunt.quota.share import IssuerShare

OWN_ID = "c0"


@given("the share of a control instance {begin}")
def issuer(context, begin):
    context.share = IssuerShare(OWN_ID, was_member=begin == "that has restarted")
    context.log_length = 2 if begin == "that founds the log" else 100
    context.views = []


@when(
    "it sees {members:d} members from {since:g} s on, confirmed until {confirmed:g} s"
)
def sees(context, members, since, confirmed):
    context.views.append((since, members, confirmed))


@then("its share at {at:g} s is {share:g}")
def has_share(context, at, share):
    times = [n / 10 for n in range(round(at * 10) + 1)]
    for now in times:
        view = [v for v in context.views if v[0] <= now][-1]
        context.share.record(
            [f"c{n}" for n in range(view[1])],
            min(now, view[2]),
            now,
            log_length=context.log_length,
            has_quotas=True,
        )
    found = context.share.share(at)
    assert abs(found - share) < 1e-4, found
