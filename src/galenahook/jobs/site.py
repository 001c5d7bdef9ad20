"""Replicated configuration of a site: queues, pools, zones out of service."""

from collections.abc import Iterator

from galenahook import commands
from galenahook import messages


class SiteRecord(messages.Message, frozen=True, kw_only=True, tag="site"):
    """The configuration in force.

    Attributes:
      version: Its version; 0 before the first.
      document: The document that the operator sent, unchanged.
      queues: Its queues.
      services: Its pools of workers.
      zones_out: Availability zones out of service.
    """

    version: int = 0
    document: str = ""
    queues: tuple[commands.QueueRow, ...] = ()
    services: tuple[commands.ServicePool, ...] = ()
    zones_out: tuple[str, ...] = ()


class SiteState:
    """Holds the configuration in force and finds queues in it.

    Attributes:
      current: The record in force.
    """

    __slots__ = ("_by_host", "current")

    def __init__(self) -> None:
        self.current = SiteRecord()
        self._by_host: dict[str, list[commands.QueueRow]] = {}

    def put(self, command: commands.PutSite) -> commands.Result:
        """Applies a configuration if its version is higher; else ignores it."""
        if command.version > self.current.version:
            self._set(
                SiteRecord(
                    version=command.version,
                    document=command.document,
                    queues=command.queues,
                    services=command.services,
                    zones_out=self.current.zones_out,
                )
            )
        return commands.Done()

    def set_zone_service(
        self, command: commands.SetZoneService
    ) -> commands.Result:
        """Puts an availability zone out of service or in service."""
        zones = set(self.current.zones_out) - {command.availability_zone}
        if command.out:
            zones.add(command.availability_zone)
        current = self.current
        self.current = SiteRecord(
            version=current.version,
            document=current.document,
            queues=current.queues,
            services=current.services,
            zones_out=tuple(sorted(zones)),
        )
        return commands.Done()

    def _set(self, record: SiteRecord) -> None:
        self.current = record
        self._by_host = {}
        for queue in record.queues:
            self._by_host.setdefault(queue.host.lower(), []).append(queue)
        for queues in self._by_host.values():
            queues.sort(key=lambda queue: -len(queue.path_prefix))

    def find_queue(self, host: str, path: str) -> commands.QueueRow | None:
        """Returns the queue with the longest prefix of the path, if any."""
        for queue in self._by_host.get(host.lower(), ()):
            if path.startswith(queue.path_prefix):
                return queue
        return None

    def queue_named(self, name: str) -> commands.QueueRow | None:
        """Returns the queue of that name, if any."""
        for queue in self.current.queues:
            if queue.name == name:
                return queue
        return None

    def snapshot_records(self) -> Iterator[SiteRecord]:
        """Returns the record in force, or nothing if none was ever put."""
        return iter([self.current] if self.current != SiteRecord() else [])

    def restore_record(self, record: SiteRecord) -> None:
        """Restores the record of a snapshot."""
        self._set(record)
