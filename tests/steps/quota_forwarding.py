"""Steps for requests of workspaces with a quota at a routed entry."""

from dataclasses import replace
from unittest import mock

from behave import given, then, when

from mothshunt.forwarding import forwarder
from mothshunt.quota.messages import QuotaTokenReply, QuotaTokenRequest
from mothshunt.quota.model import IssueState
from tests.steps.forwarding_attempts import send, status
from tests.support.quota_world import workspace


@given("a workspace of all callers with {tokens:d} tokens left")
def workspace_of_all(context, tokens):
    quota = workspace("w", 0.01, 1)
    read_request, left = forwarder.read_request, [tokens]

    def read_with_workspace(*arguments):
        return replace(read_request(*arguments), workspace=quota)

    async def async_on_request(peer, request):
        granted = min(request.needed, left[0])
        left[0] -= granted
        return QuotaTokenReply(
            state=IssueState.ISSUING,
            granted=granted,
            next_token_ms=100_000,
            retry_after_ms=0 if granted else 100_000,
        )

    context.stack.enter_context(
        mock.patch.object(forwarder, "read_request", read_with_workspace)
    )
    context.world.network.on_request(QuotaTokenRequest, async_on_request)
    context.world.quota._quota_by_workspace = {"w": (0.01, 1)}


@when('another routed caller sends {method} "{path}" with body "{body}"')
def sends_another(context, method, path, body):
    context.answers.append(send(context, method, path, body=body.encode()))


@then("the callers got status {first:d} and then {second:d}")
def got_statuses(context, first, second):
    found = [status(answer) for answer in context.answers]
    assert found == [first, second], context.answers
    for answer in context.answers:
        if status(answer) == 429:
            assert b"mothshunt-code: 3401" in answer.lower(), answer
            assert b"retry-after" in answer.lower(), answer
