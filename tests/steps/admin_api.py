"""Steps for the administration API."""

from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when

from mothshunt.core.types import Role
from tests.support import contracts
from tests.support.admin_deployment import AdminDeployment, ask
from tests.support.admin_fakes import ManualClock
from tests.support.contracts import parsed

CONTRACT_BY_CUSTOMER = {
    "rackhaven": contracts.rackhaven(),
    "sleman": contracts.sleman(),
}


def send(context, method, path, query=None, body=None, token=None):
    context.status, context.headers, context.answer = ask(
        context.admin_port, method, path, query, body, token
    )


def put_contract(context, customer, change_id, base, body=None, token=None):
    query = {"change_id": change_id, "base_revision": base}
    body = CONTRACT_BY_CUSTOMER[customer] if body is None else body
    token = token or context.admin.token
    send(context, "PUT", f"/v1/contracts/{customer}", query, body, token)


@given("an administration API")
def administration(context):
    context.admin = AdminDeployment(context.stack, ManualClock())
    context.admin_port = context.admin.start()


@given("an administration API on an instance without the role control")
def administration_on_entry(context):
    context.admin = AdminDeployment(context.stack)
    context.admin_port = context.admin.start(Role.ENTRY)


@given('the contract of "{customer}" was put as change "{change}"')
def contract_was_put(context, customer, change):
    put_contract(context, customer, change, 0)
    assert context.status == 200, context.answer


@given("the administration API has no majority")
def no_majority(context):
    context.admin.log.failing = True


@given("the answers of commits are lost on their way to the administration API")
def commits_lost(context):
    context.admin.log.losing = True


@given("the answers of commits come through again")
def commits_not_lost(context):
    context.admin.log.losing = False


@when('the contract of "{customer}" is put as change "{change}" on base {base:d}')
def contract_is_put(context, customer, change, base):
    put_contract(context, customer, change, base)


@given(
    'the contract of "{customer}" was put with shift cap {cap:d} '
    'as change "{change}" on base {base:d}'
)
def contract_was_put_with_cap(context, customer, cap, change, base):
    body = {**CONTRACT_BY_CUSTOMER[customer], "shift": {"cap": cap, "step": 10}}
    put_contract(context, customer, change, base, body)
    assert context.status == 200, context.answer


@when('the contract of "{customer}" is posted to {path}')
def contract_is_posted(context, customer, path):
    body = CONTRACT_BY_CUSTOMER[customer]
    send(context, "POST", path, body=body, token=context.admin.token)


@when('the contract of "{customer}" is put with shift cap {cap:d} and step {step:d}')
def contract_with_faults(context, customer, cap, step):
    body = {**CONTRACT_BY_CUSTOMER[customer], "shift": {"cap": cap, "step": step}}
    put_contract(context, customer, "faulty", 0, body)


@when('the contract of "{customer}" is put to the path of "{other}"')
def contract_of_another(context, customer, other):
    put_contract(context, other, "astray", 0, CONTRACT_BY_CUSTOMER[customer])


@when('the contract of "{customer}" is put as text "{text}"')
def contract_as_text(context, customer, text):
    put_contract(context, customer, "text", 0, text.encode())


@when("{method} {path} is asked without a token")
def asked_without_token(context, method, path):
    send(context, method, path)


@when('{method} {path} is asked with the token "{token}"')
def asked_with_token(context, method, path, token):
    send(context, method, path, token=token)


@when("{method} {path} is asked by the bootstrap administrator")
def asked_by_bootstrap(context, method, path):
    send(context, method, path, token=context.admin.token)


@when("{method} {path} is asked with a body of {size:d} bytes")
def asked_with_body(context, method, path, size):
    send(context, method, path, body=b" " * size, token=context.admin.token)


@when('{method} {path} is changed as "{change}" on base {base:d}')
def changed(context, method, path, change, base):
    query = {"change_id": change, "base_revision": base}
    send(context, method, path, query, token=context.admin.token)


@then("the administration API answers {status:d}")
def answers(context, status):
    assert context.status == status, (context.status, context.answer)


@then('the administration API refuses with {status:d} and code {code:d} "{name}"')
def refuses(context, status, code, name):
    found = (context.status, context.answer["code"], context.answer["name"])
    assert found == (status, code, name), context.answer
    assert context.headers["Mothshunt-Code"] == str(code)
    assert context.headers["Mothshunt-Ran"] == context.answer["ran"]


@then('{count:d} administration refusals are counted as "{name}"')
def counted(context, count, name):
    metrics = context.admin.metrics
    found = metrics.counter_value("mothshunt_refusals_total", reason=name)
    assert found == count, metrics.render()


@then('the answer\'s "{field}" is {value}')
def answer_field(context, field, value):
    found = context.answer
    for part in field.split("."):
        found = found[int(part)] if part.isdigit() else found[part]
    assert str(found) == value.strip('"'), context.answer


@then("the answer names the faults {faults}")
def answer_faults(context, faults):
    found = [f"{fault['code']} {fault['path']}" for fault in context.answer["faults"]]
    assert ", ".join(found) == faults, context.answer


@then('the answer has the entity tag "{tag}"')
def entity_tag(context, tag):
    assert context.headers["ETag"] == f'"{tag}"', context.headers


@then("{count:d} changes were accepted by the administration API")
def changes_accepted(context, count):
    records = context.admin.state.audit
    assert len(records) == count, records


@then('change {index:d} was made by "{operator}"')
def change_made_by(context, index, operator):
    record = context.admin.state.audit[index - 1]
    assert record.operator == operator, record


@given('instance "{name}" reports revision {revision:d}')
def reports_revision(context, name, revision):
    context.admin.status.revision_by_id[name] = revision


@given("every instance reports {count:d} requests in flight")
def reports_in_flight(context, count):
    context.admin.status.in_flight = count


@given('the contract of "{customer}" is in force at the administration API')
def in_force_here(context, customer):
    contract = parsed(CONTRACT_BY_CUSTOMER[customer])
    context.admin.source.contract_by_customer[customer] = contract


@when("{seconds:g} seconds pass at the administration API")
def seconds_pass(context, seconds):
    context.admin.clock.now += seconds


@given("the last report of every instance is {seconds:g} seconds old")
@when("the last report of every instance is {seconds:g} seconds old")
def reports_old(context, seconds):
    context.admin.status.age_s = seconds


@given("an administration API whose reads take long")
def slow_reads(context):
    administration(context)
    context.admin.log.read_s = 1.0


@when("{count:d} requests with guessed tokens are sent at the same time")
def guessed_tokens(context, count):
    def guess(number):
        return ask(
            context.admin_port, "GET", "/v1/contracts", token=f"guessed-{number}"
        )

    with ThreadPoolExecutor(count) as pool:
        context.guesses = list(pool.map(guess, range(count)))


@then("all of them are refused with code {code:d}")
def all_refused(context, code):
    found = {answer["code"] for _, _, answer in context.guesses}
    assert found == {code}, found


@then("the operators were read at most {count:d} times")
def reads_at_most(context, count):
    assert context.admin.log.reads <= count, context.admin.log.reads


@then('the requests are counted under the method "{method}"')
def counted_under(context, method):
    series = f'mothshunt_admin_requests_total{{method="{method}"'
    assert series in context.admin.metrics.render(), context.admin.metrics.render()


@when('the contract of "{customer}" is put with {count:d} links that name nothing')
def contract_with_bad_links(context, customer, count):
    body = {**CONTRACT_BY_CUSTOMER[customer], "links": [{}] * count}
    put_contract(context, customer, "faulty", 0, body)


@then('the answer\'s detail begins with "{text}"')
def detail_begins(context, text):
    assert context.answer["detail"].startswith(text), context.answer["detail"]
