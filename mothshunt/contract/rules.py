"""Check of a contract for values that contradict each other."""

from collections.abc import Hashable, Iterable, Iterator

from mothshunt.contract import codes
from mothshunt.contract.model import Contract, IdempotentRule, LinkLimit
from mothshunt.core.codes import Failure, ResultCode
from mothshunt.core.types import RegionId


def contradictions(contract: Contract) -> Iterator[Failure]:
    """Yield every contradiction in a contract that is valid by its schema.

    :param contract: The contract.
    """
    yield from _duplicates("/services", (s.service for s in contract.services))
    yield from _duplicates("/regions", (r.region for r in contract.regions))
    yield from _duplicates(
        "/links", ((link.from_region, link.to_region) for link in contract.links)
    )
    yield from _link_faults(contract)
    yield from _shift_faults(contract)
    for index, service in enumerate(contract.services):
        yield from _rule_faults(f"/services/{index}/idempotent", service.idempotent)


def other_regions_capacity(contract: Contract) -> int:
    """Return the capacity of all regions except the largest.

    :param contract: The contract.
    """
    capacities = [region.capacity for region in contract.regions]
    return sum(capacities) - max(capacities)


def _duplicates(path: str, names: Iterable[Hashable]) -> Iterator[Failure]:
    first_index_by_name: dict[Hashable, int] = {}
    for index, name in enumerate(names):
        first = first_index_by_name.setdefault(name, index)
        if first == index:
            continue
        text = ">".join(name) if isinstance(name, tuple) else name
        detail = f"{text} is already listed at {path}/{first}"
        yield _failure(codes.DUPLICATE, f"{path}/{index}", detail)


def _link_faults(contract: Contract) -> Iterator[Failure]:
    known = {region.region for region in contract.regions}
    for index, link in enumerate(contract.links):
        path = f"/links/{index}"
        yield from _unknown_regions(path, link, known)
        if link.from_region == link.to_region:
            yield _failure(codes.LINK_TO_ITSELF, path, link.from_region)
        if link.to_region not in known:
            continue
        capacity = contract.capacity(link.to_region)
        if link.capacity > capacity:
            detail = (
                f"{link.capacity} exceeds the capacity {capacity} of {link.to_region}"
            )
            yield _failure(codes.LINK_ABOVE_REGION, f"{path}/capacity", detail)


def _unknown_regions(
    path: str, link: LinkLimit, known: set[RegionId]
) -> Iterator[Failure]:
    if link.from_region not in known:
        yield _failure(codes.UNKNOWN_REGION, f"{path}/from_region", link.from_region)
    if link.to_region not in known:
        yield _failure(codes.UNKNOWN_REGION, f"{path}/to_region", link.to_region)


def _shift_faults(contract: Contract) -> Iterator[Failure]:
    shift = contract.shift
    available = other_regions_capacity(contract)
    if shift.cap > available:
        detail = (
            f"{shift.cap} exceeds {available}, the capacity without the largest region"
        )
        yield _failure(codes.SHIFT_ABOVE_REGIONS, "/shift/cap", detail)
    # The schema requires a step of at least 1, even if the cap of 0 allows no shift.
    if shift.step > max(shift.cap, 1):
        detail = f"{shift.step} exceeds the cap {shift.cap}"
        yield _failure(codes.STEP_ABOVE_CAP, "/shift/step", detail)


def _rule_faults(path: str, rules: tuple[IdempotentRule, ...]) -> Iterator[Failure]:
    index_by_prefix: dict[tuple[str, str], int] = {}
    first_index_by_rule: dict[tuple[str, str], int] = {}
    for index, rule in enumerate(rules):
        first_index_by_rule.setdefault((rule.method, rule.path), index)
        if rule.path.endswith("*"):
            index_by_prefix.setdefault((rule.method, rule.path[:-1]), index)
    for index, rule in enumerate(rules):
        if "*" in rule.path[:-1]:
            yield _failure(codes.RULE_PATTERN, f"{path}/{index}/path", rule.path)
        covering = first_index_by_rule[(rule.method, rule.path)]
        if covering == index:
            covering = _broader_rule_index(rule, index_by_prefix, index)
        if covering != index:
            detail = f"covered by {path}/{covering}"
            yield _failure(codes.RULE_REPEATED, f"{path}/{index}", detail)


def _broader_rule_index(
    rule: IdempotentRule, index_by_prefix: dict[tuple[str, str], int], default: int
) -> int:
    # A rule that ends with * must not be taken to cover itself.
    longest = len(rule.path) - (2 if rule.path.endswith("*") else 0)
    for length in range(longest + 1):
        found = index_by_prefix.get((rule.method, rule.path[:length]))
        if found is not None:
            return found
    return default


def _failure(code: ResultCode, path: str, detail: str) -> Failure:
    return Failure(code=code, path=path, detail=detail)
