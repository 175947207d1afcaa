"""Steps for the silence of kept-alive connections."""

from behave import given, then

from mothshunt.dispatch.silence import AnswerTime


@given("answers that usually take {usual:d} ms")
def usual_answers(context, usual):
    context.answer_time = AnswerTime()
    context.answer_time.observe(usual / 1000)


@then("with {left:d} ms to the deadline a connection may be silent for {limit}")
def silent_for(context, left, limit):
    found = context.answer_time.silence_limit_s(left / 1000)
    text = "ever" if found is None else f"{int(found * 1000)} ms"
    assert text == limit, text
