"""Steps for the text format of metrics, read by a library's parser."""

import math

from behave import given, then, when
from prometheus_client.parser import text_string_to_metric_families

from mothshunt.metrics.registry import Metrics

LABEL_VALUE = 'a "quoted" \\ text\nof two lines'


@given("metrics of a process")
def metrics(context):
    context.metrics = Metrics()
    context.metrics.gauge("mothshunt_revision", lambda: 17)
    context.metrics.counters(
        "mothshunt_posted_bytes_total", "message", lambda: {"roster": 12}
    )


@when(
    '{count:d} requests of service "{service}" with kind "{kind}" end as "{outcome}" '
    "after {took_ms:d} ms"
)
def requests_end(context, count, service, kind, outcome, took_ms):
    labels = {"service": service, "kind": kind, "outcome": outcome}
    for _ in range(count):
        context.metrics.count("mothshunt_requests_total", outcome=outcome)
        context.metrics.observe("mothshunt_seconds", took_ms / 1000, **labels)


@when("a label holds a quote, a backslash and a line feed")
def label_with_special_characters(context):
    context.metrics.count("mothshunt_requests_total", outcome=LABEL_VALUE)


def samples(context, name):
    families = text_string_to_metric_families(context.metrics.render())
    return [s for family in families for s in family.samples if s.name == name]


def single_value(context, name, **labels):
    found = [
        sample.value
        for sample in samples(context, name)
        if labels.items() <= sample.labels.items()
    ]
    assert len(found) == 1, (name, labels, found)
    return found[0]


@then('the parser finds the counter "{name}" at {value:d} with outcome "{outcome}"')
def finds_counter(context, name, value, outcome):
    assert single_value(context, f"mothshunt_{name}_total", outcome=outcome) == value


@then('the parser finds the gauge "{name}" at {value:d}')
def finds_gauge(context, name, value):
    assert single_value(context, f"mothshunt_{name}") == value


@then(
    'the parser finds {count:d} of {total:d} "{outcome}" requests within {bound_s:g} s'
)
def finds_bucket(context, count, total, outcome, bound_s):
    name = "mothshunt_seconds"
    assert (
        single_value(context, f"{name}_bucket", outcome=outcome, le=f"{bound_s:g}")
        == count
    )
    assert single_value(context, f"{name}_bucket", outcome=outcome, le="+Inf") == total
    assert single_value(context, f"{name}_count", outcome=outcome) == total


@then(
    'the parser finds a sum of {seconds:g} s for "{outcome}" requests, '
    "within {percent:d} %"
)
def finds_sum(context, seconds, outcome, percent):
    found = single_value(context, "mothshunt_seconds_sum", outcome=outcome)
    assert math.isclose(found, seconds, rel_tol=percent / 100), found


@then('the parser finds {count:d} bytes of the message "{message}"')
def finds_bytes(context, count, message):
    assert (
        single_value(context, "mothshunt_posted_bytes_total", message=message) == count
    )


@then("the parser reads it back as it was")
def reads_back(context):
    assert single_value(context, "mothshunt_requests_total", outcome=LABEL_VALUE) == 1
