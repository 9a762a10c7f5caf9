"""Targets."""

import ipaddress
from typing import Self

from .item import Named


class Target(Named):
    """A model engine or an instance of a plain service."""

    required = ("name", "service", "data_centre", "address")

    def serves(self, service: str) -> Self:
        """Set the service whose calls the target runs."""
        return self._set_name("service", service)

    def in_data_centre(self, data_centre: str) -> Self:
        """Set the data centre in which the target runs."""
        return self._set_name("data_centre", data_centre)

    def at(self, ip: str, port: int) -> Self:
        """Set the IP address and port to which nodes connect."""
        try:
            address = ipaddress.ip_address(ip)
        except ValueError:
            self.fail(f"`{ip}` is not an IP address; host names are not resolved")
        if not 0 < port < 1 << 16:
            self.fail(f"{port} is not a port; use 1 to 65535")
        host = f"[{address}]" if address.version == 6 else str(address)
        return self._set("address", f"{host}:{port}")

    def training(self) -> Self:
        """Use the target for samples of trainers only, not for calls of apps."""
        return self._set("role", "training")

    def cheap(self) -> Self:
        """Declare that the target costs less and can be reclaimed at any time."""
        return self._set("class", "cheap")

    def checks_epoch(self) -> Self:
        """Declare that the target refuses orders with an old fencing token."""
        return self._set("checks_epoch", True)

    def capacity(self, warm: int, cold: int = 1) -> Self:
        """Set how many calls the target runs at once when warm and when cold."""
        if cold > warm:
            self.fail(f"cold capacity {cold} is above the warm capacity {warm}; lower it")
        return self._set_number("capacity", warm)._set_number("cold_capacity", cold)
