"""Operations on contracts."""

import asyncio
import json

from expression import Error, Ok, Result

from mothshunt.access.model import AccessRole
from mothshunt.admin import codes
from mothshunt.admin.changes import ChangeHandlers, async_find_item
from mothshunt.admin.const import MAX_FAULTS
from mothshunt.admin.messages import Call, Refusal, Reply, Route, Scope, refuse
from mothshunt.admin.model import (
    ChangeDocument,
    ContractDocument,
    ContractList,
    ContractSummary,
    DiffDocument,
    ValidationDocument,
)
from mothshunt.admin.parameters import ChangeQuery, ReadQuery
from mothshunt.configuration.model import (
    NO_REVISION,
    ConfigurationSource,
    ItemKey,
    Section,
)
from mothshunt.configuration.service import ConfigurationService, Item
from mothshunt.contract.check import check_contract
from mothshunt.contract.diff import DiffLine, diff_contracts
from mothshunt.contract.model import Contract
from mothshunt.core.codes import Failure
from mothshunt.core.types import CustomerId, RegionId, Role
from mothshunt.util import schema


class ContractHandlers:
    """Read, check and change contracts.

    :param configuration: Holds the contracts.
    :param source: Names the regions of the entry instances.
    :param changes: Commits the changes.
    """

    def __init__(
        self,
        configuration: ConfigurationService,
        source: ConfigurationSource,
        changes: ChangeHandlers,
    ) -> None:
        self._configuration = configuration
        self._source = source
        self._changes = changes

    def routes(self) -> tuple[Route, ...]:
        """Return the operations of this module."""
        return (
            Route(
                method="GET",
                path="/v1/contracts",
                summary="List the contracts that the operator may read.",
                role=AccessRole.READ,
                scope=Scope.ANY,
                handler=self._async_list,
                answer=ContractList,
            ),
            Route(
                method="GET",
                path="/v1/contracts/{customer}",
                summary="Show a contract with its revision.",
                role=AccessRole.READ,
                scope=Scope.CUSTOMER,
                handler=self._async_get,
                answer=ContractDocument,
            ),
            Route(
                method="PUT",
                path="/v1/contracts/{customer}",
                summary="Replace a contract.",
                role=AccessRole.CHANGE,
                scope=Scope.CUSTOMER,
                handler=self._async_put,
                query=ChangeQuery,
                body=Contract,
                answer=ChangeDocument,
            ),
            Route(
                method="DELETE",
                path="/v1/contracts/{customer}",
                summary="Remove a contract; its customer is no longer served.",
                role=AccessRole.ADMINISTER,
                scope=Scope.CUSTOMER,
                handler=self._async_delete,
                query=ChangeQuery,
                answer=ChangeDocument,
            ),
            Route(
                method="POST",
                path="/v1/contracts/validate",
                summary="Check a contract and change nothing.",
                role=AccessRole.READ,
                scope=Scope.ANY,
                handler=self._async_validate,
                body=Contract,
                answer=ValidationDocument,
            ),
            Route(
                method="POST",
                path="/v1/contracts/{customer}/diff",
                summary="Show what a contract would change, and change nothing.",
                role=AccessRole.READ,
                scope=Scope.CUSTOMER,
                handler=self._async_diff,
                body=Contract,
                answer=DiffDocument,
            ),
        )

    async def _async_list(self, call: Call[ReadQuery]) -> Result[Reply, Refusal]:
        items = await self._configuration.async_items(
            Section.CONTRACT, call.query.timeout_s
        )
        if items.is_error():
            return Error(Refusal(failure=items.error))
        summaries = [
            ContractSummary(customer=CustomerId(item.key.name), revision=item.revision)
            for item in items.ok
            if call.operator.has_role(AccessRole.READ, CustomerId(item.key.name))
        ]
        summaries.sort(key=lambda summary: summary.customer)
        return Ok(Reply(body=ContractList(contracts=tuple(summaries))))

    async def _async_get(self, call: Call[ReadQuery]) -> Result[Reply, Refusal]:
        customer = call.customer()
        found = await async_find_item(
            self._configuration, contract_key(customer), call.query.timeout_s
        )
        if found.is_error():
            return Error(found.error)
        if found.ok is None:
            return refuse(codes.CONTRACT_UNKNOWN, customer)
        document = ContractDocument(
            customer=customer,
            revision=found.ok.revision,
            contract=json.loads(found.ok.value or b"null"),
        )
        return Ok(Reply(body=document, revision=found.ok.revision))

    async def _async_put(self, call: Call[ChangeQuery]) -> Result[Reply, Refusal]:
        contract = await _async_contract_of(call)
        if contract.is_error():
            return Error(contract.error)
        return await self._changes.async_submit(
            call,
            contract_key(call.customer()),
            schema.to_json(contract.ok),
            summary="contract applied",
        )

    async def _async_delete(self, call: Call[ChangeQuery]) -> Result[Reply, Refusal]:
        if call.query.base_revision == NO_REVISION:
            return refuse(codes.CONTRACT_UNKNOWN, call.customer())
        return await self._changes.async_submit(
            call, contract_key(call.customer()), None, summary="contract removed"
        )

    async def _async_validate(self, call: Call[ReadQuery]) -> Result[Reply, Refusal]:
        checked = await asyncio.to_thread(check_contract, call.body)
        if checked.is_error():
            return Error(faulty(checked.error))
        document = ValidationDocument(
            customer=checked.ok.customer,
            regions_without_entry=self._regions_without_entry(checked.ok),
        )
        return Ok(Reply(body=document))

    def _regions_without_entry(self, contract: Contract) -> tuple[RegionId, ...]:
        records = self._source.current().instance_by_id.values()
        known = {record.region for record in records if Role.ENTRY in record.roles}
        regions = (region.region for region in contract.regions)
        return tuple(region for region in regions if region not in known)

    async def _async_diff(self, call: Call[ReadQuery]) -> Result[Reply, Refusal]:
        contract = await _async_contract_of(call)
        if contract.is_error():
            return Error(contract.error)
        customer = call.customer()
        found = await async_find_item(
            self._configuration, contract_key(customer), call.query.timeout_s
        )
        if found.is_error():
            return Error(found.error)
        lines = await asyncio.to_thread(_diff_lines, found.ok, contract.ok)
        document = DiffDocument(
            customer=customer,
            revision=found.ok.revision if found.ok else NO_REVISION,
            lines=lines,
        )
        return Ok(Reply(body=document, revision=document.revision))


def contract_key(customer: CustomerId) -> ItemKey:
    """Return the name of a contract's item.

    :param customer: Customer of the contract.
    """
    return ItemKey(section=Section.CONTRACT, name=customer)


def faulty(faults: tuple[Failure, ...]) -> Refusal:
    """Return the refusal of a contract.

    :param faults: Every fault of the contract.
    """
    first = faults[0]
    detail = f"{len(faults)} faults, the first: {first.path} {first.detail}"
    failure = Failure(code=codes.CONTRACT_FAULTY, detail=detail, path=first.path)
    return Refusal(failure=failure, faults=faults[:MAX_FAULTS])


def _diff_lines(present: Item | None, contract: Contract) -> tuple[DiffLine, ...]:
    text = present.value if present is not None else None
    before = check_contract(text).default_value(None) if text is not None else None
    return diff_contracts(before, contract)


async def _async_contract_of(call: Call[object]) -> Result[Contract, Refusal]:
    # A large body would hold up the heartbeats of this instance.
    checked = await asyncio.to_thread(check_contract, call.body)
    if checked.is_error():
        return Error(faulty(checked.error))
    if checked.ok.customer != call.customer():
        return refuse(codes.CUSTOMER_MISMATCH, checked.ok.customer, "/customer")
    return Ok(checked.ok)
