"""Contracts of the two customers, as plain documents."""

import json

from mothshunt.contract.check import check_contract


def rackhaven():
    """Return the contract of a customer that weighs latency."""
    return _contract(
        "rackhaven",
        "latency",
        ("cabinet-status", "site-access", "circuit-ordering", "remote-hands"),
    )


def sleman():
    """Return the contract of a customer that weighs headroom."""
    return _contract(
        "sleman",
        "headroom",
        ("inventory", "tray-reservation", "deposit-payment", "pickup-scheduling"),
    )


def _contract(customer, weighs, services):
    return {
        "customer": customer,
        "weighs": weighs,
        "services": [{"service": service} for service in services],
        "regions": [
            {"region": "north", "capacity": 100},
            {"region": "centre", "capacity": 80},
            {"region": "south", "capacity": 60},
        ],
        "links": [
            {"from_region": "north", "to_region": "south", "capacity": 20},
        ],
        "shift": {"cap": 60, "step": 10},
    }


def parsed(document):
    """Return a contract from its plain document."""
    return check_contract(json.dumps(document).encode()).ok
