"""Data centres."""

from typing import Self

from .item import Named


class DataCentre(Named):
    """A data centre in which hosts and targets run."""

    required = ("name", "region")

    def in_region(self, region: str) -> Self:
        """Set the region. The network between regions can be cut for an hour."""
        return self._set("region", region)

    def out(self) -> Self:
        """Take the data centre out, so that it gets no new work."""
        return self._set("state", "out")
