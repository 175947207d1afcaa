"""Steps for the graceful shutdown of an entry instance."""

from dataclasses import replace

from behave import given, then, when

from mothshunt.configuration.model import Configuration
from mothshunt.contract.model import Contract
from mothshunt.drain.coordinator import LeaveCoordinator
from mothshunt.util import schema
from testkit.contracts import contract_path
from tests.support.recording_network import ManualClock


def configuration(lifetimes):
    text = contract_path("rackhaven").read_bytes()
    contract = schema.from_json(Contract, text).ok
    return Configuration(
        contract_by_customer={
            f"customer-{number}": replace(contract, lookup_lifetime_s=lifetime)
            for number, lifetime in enumerate(lifetimes)
        }
    )


def make_entry(context, lifetimes):
    context.clock = ManualClock(now=0.0)
    context.leave = LeaveCoordinator(context.clock, lambda: 0)
    context.leave.on_configuration(configuration(lifetimes))


@given("an entry instance with contracts of look-up lifetimes {a:d} s and {b:d} s")
def entry_with_contracts(context, a, b):
    make_entry(context, [a, b])


@given("an entry instance without contracts")
def entry_without_contracts(context):
    make_entry(context, [])


@when("the lifetimes are lowered to {a:d} s and {b:d} s at {at:d} s")
def lowered(context, a, b, at):
    context.clock.now = float(at)
    context.leave.on_configuration(configuration([a, b]))


@when("it starts to leave at {at:d} s")
def leaves(context, at):
    context.serve_until = context.leave.serve_until(float(at))


@then("it must serve until {at:d} s")
def serves_until(context, at):
    assert context.serve_until == float(at), context.serve_until
