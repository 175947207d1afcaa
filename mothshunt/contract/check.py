"""Check of a contract against its schema and for contradictions."""

import json
from collections.abc import Iterator

from expression import Error, Ok, Result

from mothshunt.contract import codes, rules
from mothshunt.contract.model import Contract
from mothshunt.core.codes import Failure
from mothshunt.util import schema


def check_contract(text: bytes) -> Result[Contract, tuple[Failure, ...]]:
    """Decode a contract and check all of it.

    :param text: JSON text in UTF-8.
    :return: The contract, or every fault with its path in the document.
    """
    try:
        document = json.loads(text, object_pairs_hook=_ObjectPairs)
    except (ValueError, RecursionError) as error:
        return Error((Failure(code=codes.MALFORMED, detail=str(error)),))
    failures = tuple(_duplicate_keys(document, ""))
    match schema.from_json(Contract, text):
        case Result(tag="ok", ok=contract):
            failures += tuple(rules.contradictions(contract))
            return Error(failures) if failures else Ok(contract)
        case Result(error=faults):
            return Error(failures + tuple(_invalid_value(fault) for fault in faults))


class _ObjectPairs(list[tuple[str, object]]):
    """Key-value pairs of a JSON object, including those with a repeated key."""


def _duplicate_keys(value: object, path: str) -> Iterator[Failure]:
    if isinstance(value, _ObjectPairs):
        known: set[str] = set()
        for key, inner in value:
            if key in known:
                yield Failure(code=codes.DUPLICATE_KEY, path=f"{path}/{key}")
            known.add(key)
            yield from _duplicate_keys(inner, f"{path}/{key}")
    elif isinstance(value, list):
        for index, inner in enumerate(value):
            yield from _duplicate_keys(inner, f"{path}/{index}")


def _invalid_value(fault: schema.Fault) -> Failure:
    return Failure(code=codes.INVALID, path=fault.path, detail=fault.problem)
