"""Steps for malformed input to real processes."""

import json
import socket
from random import Random

from behave import then, when

from mothshunt.core.const import HEADER_REQUEST_ID
from testkit.ports import HOST
from testkit.routed_deployment import CALLERS_HOST

SEND_TIMEOUT_S = 0.05
RENEWAL = {
    "target": "stranger",
    "incarnation": 1,
    "sequence": 1,
    "service": "stock",
    "host": "127.0.0.1",
    "port": 9,
    "region": "north",
    "availability_zone": "north-a",
    "slots": 4,
}
ODD_VALUES = (None, -1, 2**70, 1e308, "", "x" * 5000, [], {}, True, "\x00", "-5s")


def odd_json(random: Random) -> bytes:
    """Return a renewal with odd values, or text that is hardly JSON."""
    chance = random.random()
    if chance < 0.1:
        return b"[" * 50_000
    if chance < 0.2:
        return random.randbytes(200)
    document = dict(RENEWAL)
    for name in random.sample(sorted(document), k=random.randint(1, 3)):
        document[name] = random.choice(ODD_VALUES)
    text = json.dumps(document).encode()
    return text[: random.randint(1, len(text))] if chance < 0.3 else text


def odd_request(random: Random) -> bytes:
    """Return a request of HTTP of which something is wrong, or may be."""
    body = odd_json(random)
    method = random.choice(("GET", "POST", "DELETE", "PUT", "\x00", "PRI * "))
    path = random.choice(
        ("/v1/targets", "/v1/entries", "/stock/a", "/orders/a", "/v1/routing", "//")
    )
    path += random.choice(("", "?a=%ff", "%00", "/../..", "#", "\udcff", " x"))
    length = random.choice((str(len(body)), "-1", "1e3", "99999999999999", "0, 1"))
    fields = [
        f"{method} {path} HTTP/{random.choice(('1.1', '1.0', '9.9', 'x'))}",
        f"Host: {random.choice((CALLERS_HOST, '', 'a' * 9000, '[::1'))}",
        f"{HEADER_REQUEST_ID}: {random.choice(('r', '', 'x' * 9000))}",
        f"Mothshunt-Deadline-Ms: {random.choice(('1', '-1', 'soon', '9' * 40))}",
        f"Cookie: {random.choice(('Mothshunt-Affinity', '=;=;=', '; ' * 900))}",
        random.choice((f"Content-Length: {length}", "Transfer-Encoding: chunked")),
    ]
    head = "\r\n".join(fields) + "\r\n\r\n"
    return head.encode("utf-8", "surrogateescape") + body


def odd_frame(random: Random) -> bytes:
    """Return something like a frame between instances, before any handshake."""
    length = random.choice((0, 1, 100, 2**31, 2**32 - 1))
    return length.to_bytes(4, "big") + random.randbytes(random.randint(0, 200))


def send(port: int, data: bytes) -> None:
    """Send bytes, read a little, and leave; a port that refuses is none of ours."""
    with socket.create_connection((HOST, port), timeout=1.0) as connection:
        connection.settimeout(SEND_TIMEOUT_S)
        try:
            connection.sendall(data)
            connection.recv(1000)
        except (TimeoutError, ConnectionError):
            # Cut off, or left waiting for more: both are allowed.
            return


@when(
    "{count:d} malformed inputs by seed {seed:d} are sent to each port of each process"
)
def malformed_inputs(context, count, seed):
    random = Random(seed)
    makers = (odd_request, odd_frame, lambda rnd: rnd.randbytes(300))
    for instance in context.routed.deployment.instances:
        ports = [instance.admin_port, instance.peer_port]
        if instance.plan.is_entry:
            ports.append(instance.traffic_port)
        for port in ports:
            for _ in range(count):
                send(port, random.choice(makers)(random))


@then('all processes run on, and each entry still serves "{host}" "{path}"')
def run_on(context, host, path):
    routed = context.routed
    for instance in routed.deployment.instances:
        assert instance.process.is_running(), instance.process.log_tail()

    async def all_serve():
        found = [(await routed.get(a, host, path))[0] for a in context.entries]
        return set(found) == {200}

    routed.run(routed.async_until(all_serve))
