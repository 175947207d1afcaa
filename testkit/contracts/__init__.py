"""Contracts of the two customers, at today's sizes."""

import json
from pathlib import Path
from typing import Any

CUSTOMERS = ("rackhaven", "sleman")


def contract_path(customer: str) -> Path:
    """Return the path of a customer's contract.

    :param customer: Name of the customer.
    """
    return Path(__file__).parent / f"{customer}.json"


def contract_document(customer: str) -> dict[str, Any]:
    """Return a customer's contract as plain data.

    :param customer: Name of the customer.
    """
    return dict(json.loads(contract_path(customer).read_text()))
