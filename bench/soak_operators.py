"""Operators of a soak, who change the configuration and a zone's service.

They repeat a change that got no reply in a second at the next replica, as the
platform's operators do, and check that what was acknowledged is in force.
"""

import json
import random

import curio

from galenahook import clock as clock_lib
from galenahook import errors
from galenahook import web

HOST = "desk.example"
# Path prefix of the queue that every configuration has.
PREFIX = "/q/"
# Zone that operators take out of service.
CHANGED_ZONE = "zone-b"
# Time after an acknowledgement in which a change takes effect everywhere.
CONFIGURATION_APPLY_MS = 2_000
ZONE_APPLY_MS = 5_000

_START_TIMEOUT_MS = 20_000
_ATTEMPT_MS = 1_000
_QUEUE_TIMEOUT_MS = 3_000
_CHANGE_PERIOD_MS = 700
_INVALID_SHARE = 0.2
_READ_PERIOD_MS = 150
_ZONE_OUT_MS = 7_000
_ZONE_IN_MS = 1_500


class Operators:
    """Operators of a site.

    Attributes:
      findings: Broken promises.
      changes: Number of acknowledged configurations.
      zone_orders: Number of acknowledged orders about the zone.
      zone_out_ms: When the order that took the zone out of service was
        acknowledged; 0 once it is being returned.
    """

    def __init__(
        self, controls: list[str], rng: random.Random, findings: list[str]
    ) -> None:
        self.findings = findings
        self.changes = self.zone_orders = 0
        self.zone_out_ms = 0
        self._controls = controls
        self._random = rng
        self._clock = clock_lib.Clock()
        # Each configuration that was sent, by version.
        self._sent: dict[int, bytes] = {}
        # Newest acknowledged version, and when it was acknowledged, by version.
        self._version = self._read_version = 0
        self._acknowledged_ms: dict[int, int] = {}

    async def _send(
        self, address: str, method: str, path: str, body: bytes = b""
    ) -> web.Response | None:
        """Sends a request; returns None if there is no reply in time."""
        try:
            connection = await web.connect(address, _ATTEMPT_MS)
        except errors.ExchangeError:
            return None
        request = web.Request(method, f"/galenahook/{path}", [], body)
        try:
            return await connection.exchange(request, _ATTEMPT_MS)
        except errors.ExchangeError:
            return None
        finally:
            await connection.close()

    async def _order(self, path: str, body: bytes, timeout_ms: int) -> int:
        """Sends an order to one replica after the other.

        Returns:
          The status of the first response below 500, or 0 after the timeout.
        """
        end_ms = self._clock.monotonic_ms() + timeout_ms
        number = self._random.randrange(len(self._controls))
        while self._clock.monotonic_ms() < end_ms:
            address = self._controls[number % len(self._controls)]
            response = await self._send(address, "POST", path, body)
            if response is not None and response.status < 500:
                return response.status
            number += 1
            await curio.sleep(0.02)
        return 0

    # --- Configuration --------------------------------------------------------

    def _next_site(self) -> tuple[int, bytes]:
        version = max(self._sent, default=0) + 1
        queue = {
            "host": HOST,
            "timeout_ms": _QUEUE_TIMEOUT_MS,
            "backend": "desk",
            "max_attempts": 4,
        }
        queues = [
            {"name": "q", "path_prefix": PREFIX},
            {"name": f"r{version}", "path_prefix": f"/r{version}/"},
        ]
        site = {
            "version": version,
            "routes": [queue | names for names in queues],
            "services": [{"name": "desk"}],
        }
        return version, json.dumps(site).encode()

    async def change_site(self, timeout_ms: int) -> bool:
        """Sends a new configuration; returns whether it was acknowledged."""
        version, body = self._next_site()
        self._sent[version] = body
        status = await self._order("config/put", body, timeout_ms)
        if status == 200:
            self.changes += 1
            self._version = version
            self._acknowledged_ms[version] = self._clock.monotonic_ms()
        elif status:
            self.findings.append(f"CONFIG {version}: refused with {status}")
        return status == 200

    async def put_first_site(self) -> None:
        """Sends configurations until one is acknowledged.

        Raises:
          TimeoutError: None was acknowledged in time.
        """
        if not await self.change_site(_START_TIMEOUT_MS):
            raise TimeoutError("no configuration was accepted")

    async def change_site_repeatedly(self) -> None:
        """Sends valid and invalid configurations until cancelled."""
        while True:
            await curio.sleep(clock_lib.seconds(_CHANGE_PERIOD_MS))
            if self._random.random() < _INVALID_SHARE:
                await self._send_invalid_site()
            else:
                await self.change_site(5 * _ATTEMPT_MS)

    async def _send_invalid_site(self) -> None:
        version, body = self._next_site()
        site = json.loads(body)
        site["routes"][1]["timeout_ms"] = 0
        body = json.dumps(site).encode()
        address = self._random.choice(self._controls)
        response = await self._send(address, "POST", "config/put", body)
        if response is not None and response.status < 400:
            self.findings.append(f"CONFIG {version}: invalid, and accepted")

    async def read_site_repeatedly(self) -> None:
        """Reads the configuration from any replica until cancelled."""
        while True:
            await self._read_site(self._random.choice(self._controls))
            await curio.sleep(clock_lib.seconds(_READ_PERIOD_MS))

    async def _read_site(self, address: str) -> bool:
        """Reads and checks the configuration; returns whether it came."""
        sent_ms = self._clock.monotonic_ms()
        oldest = max(
            version
            for version, acknowledged_ms in self._acknowledged_ms.items()
            if version == min(self._acknowledged_ms)
            or acknowledged_ms + CONFIGURATION_APPLY_MS <= sent_ms
        )
        response = await self._send(address, "GET", "config/get")
        if response is None or response.status != 200:
            return False
        version = json.loads(response.body)["version"]
        if version < oldest:
            self.findings.append(f"CONFIG {version} read, {oldest} expected")
        if response.body != self._sent.get(version):
            self.findings.append(f"CONFIG {version}: not as it was sent")
        self._read_version = max(self._read_version, version)
        return True

    async def check_site_at_end(self, timeout_ms: int) -> None:
        """Checks that every replica has the newest configuration."""
        end_ms = self._clock.monotonic_ms() + timeout_ms
        await curio.sleep(clock_lib.seconds(CONFIGURATION_APPLY_MS))
        for address in self._controls:
            while not await self._read_site(address):
                if self._clock.monotonic_ms() >= end_ms:
                    self.findings.append(
                        f"CONFIG {self._version}: does not come from {address}"
                    )
                    break
                await curio.sleep(0.1)

    def newest_prefix(self) -> str:
        """Returns the prefix of the queue in the newest configuration read.

        A change without a reply may be in force after the acknowledged ones.
        """
        return f"/r{self._read_version}/"

    # --- Zone -----------------------------------------------------------------

    async def change_zone_repeatedly(self) -> None:
        """Takes the zone out of service and returns it, until cancelled."""
        while True:
            await self._set_zone(True)
            if self._random.random() < 0.5:
                # Orders in quick succession, of which copies may be late.
                await self._set_zone(False)
                await self._set_zone(True)
            await curio.sleep(clock_lib.seconds(_ZONE_OUT_MS))
            await self._set_zone(False)
            await curio.sleep(clock_lib.seconds(_ZONE_IN_MS))

    async def _set_zone(self, out: bool) -> bool:
        self.zone_out_ms = 0
        action = "start" if out else "finish"
        path = f"evacuate/{CHANGED_ZONE}/{action}"
        if await self._order(path, b"", 5 * _ATTEMPT_MS) != 200:
            return False
        self.zone_orders += 1
        if out:
            self.zone_out_ms = self._clock.monotonic_ms()
        return True

    async def return_zone(self, timeout_ms: int) -> None:
        """Returns the zone to service at the end."""
        end_ms = self._clock.monotonic_ms() + timeout_ms
        while not await self._set_zone(False):
            if self._clock.monotonic_ms() >= end_ms:
                self.findings.append(f"EVAC {CHANGED_ZONE}: can't be returned")
                return

    def is_zone_out(self) -> bool:
        """Returns whether nothing may start in the zone any more."""
        out_ms = self.zone_out_ms
        now_ms = self._clock.monotonic_ms()
        return out_ms > 0 and now_ms > out_ms + ZONE_APPLY_MS
