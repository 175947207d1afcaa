"""Steps for requests that leave a region without capacity."""

from behave import given, then, when

from mothshunt.placement.tolerance import RemoteTolerance, is_tolerant


@given("a share of {tolerant:g} of the requests is in time in other regions")
def tolerant_share(context, tolerant):
    context.tolerance = RemoteTolerance(tolerant_share=tolerant)


@when("a share of {planned:g} of all requests should leave")
def planned_share(context, planned):
    context.first = context.tolerance.remote_share(planned, is_tolerant=True)
    context.others = context.tolerance.remote_share(planned, is_tolerant=False)


@then("{first:g} of the tolerant requests and {others:g} of the others leave")
def leaving(context, first, others):
    assert abs(context.first - first) < 1e-9, context.first
    assert abs(context.others - others) < 1e-9, context.others


@then("{planned:g} of all requests leave")
def in_all(context, planned):
    share = context.tolerance.tolerant_share
    found = share * context.first + (1 - share) * context.others
    assert abs(found - planned) < 1e-9, found


@then(
    "a request with {latency_ms:d} ms for work of {work_ms:d} ms {verdict} in time "
    "{delay_ms:d} ms further away"
)
def in_time(context, latency_ms, work_ms, verdict, delay_ms):
    found = is_tolerant(latency_ms / 1000, work_ms / 1000, delay_ms / 1000)
    assert found == (verdict == "is")
