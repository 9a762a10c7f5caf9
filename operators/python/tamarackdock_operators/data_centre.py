"""Data centres."""

from typing import Self

from .item import Named


class DataCentre(Named):
    """A data centre with hosts and targets."""

    required = ("name", "region")

    def in_region(self, region: str) -> Self:
        """Set the region; the network between regions can be cut for an hour."""
        return self._set("region", region)

    def out(self) -> Self:
        """Give the data centre no new work."""
        return self._set("state", "out")
