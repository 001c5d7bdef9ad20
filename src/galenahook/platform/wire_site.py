"""Decodes the platform's configuration into queues and services.

The structs use the platform's field names; a comment explains a name that is
misleading. Unknown fields are ignored, since the platform may add some.
"""

from typing import Any

import msgspec

from galenahook import commands
from galenahook import errors
from galenahook import findings as findings_lib
from galenahook import messages
from galenahook.platform import wire


class _Queue(msgspec.Struct):
    """A queue of the configuration, which the platform calls a route."""

    name: str
    host: str
    path_prefix: str
    timeout_ms: messages.Count
    backend: str  # Name of the service whose workers run the jobs.
    priority: messages.Integer = 0
    max_attempts: messages.Count = 1
    stretch: messages.Amount = 1.0
    slo_ms: messages.Count = 0  # Added to the stretched run time.


class _Service(msgspec.Struct):
    name: str
    admission_check: bool = False


class _Site(msgspec.Struct):
    """The site's configuration."""

    version: messages.Count
    routes: tuple[_Queue, ...]
    services: tuple[_Service, ...]
    limits: dict[str, Any] = {}


def decode_site(data: bytes, at_ms: int) -> commands.PutSite:
    """Decodes and validates a configuration.

    Raises:
      errors.InvalidInputError: The configuration is invalid; has every finding.
    """
    site = wire.decode(data, _Site)
    findings = findings_lib.Findings()
    services = {service.name for service in site.services}
    host_prefixes: set[tuple[str, str]] = set()
    for index, queue in enumerate(site.routes):
        place = f"$.routes[{index}]"
        if queue.backend not in services:
            findings.add(
                f"{place}.backend",
                f"service {queue.backend!r} does not exist in configuration"
                f" {site.version}",
            )
        if queue.timeout_ms <= 0:
            findings.add(f"{place}.timeout_ms", "must be above 0 ms")
        if (queue.host.lower(), queue.path_prefix) in host_prefixes:
            findings.add(place, "same host and prefix as an earlier queue")
        host_prefixes.add((queue.host.lower(), queue.path_prefix))
    if findings:
        raise errors.InvalidInputError(findings.items)
    return commands.PutSite(
        version=site.version,
        document=data.decode("utf-8"),
        queues=tuple(_queue_row(queue) for queue in site.routes),
        services=tuple(
            commands.ServicePool(
                name=service.name, checks_capacity=service.admission_check
            )
            for service in site.services
        ),
        at_ms=at_ms,
    )


def _queue_row(queue: _Queue) -> commands.QueueRow:
    return commands.QueueRow(
        name=queue.name,
        host=queue.host,
        path_prefix=queue.path_prefix,
        service=queue.backend,
        timeout_ms=queue.timeout_ms,
        priority=queue.priority,
        max_attempts=queue.max_attempts,
        stretch=queue.stretch,
        objective_ms=queue.slo_ms,
    )
