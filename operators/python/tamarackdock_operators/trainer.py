"""Trainers."""

from typing import Self

from .item import Named


class Trainer(Named):
    """A trainer, which requests steps of samples."""

    required = ("name", "account", "service", "staleness_bound")

    def of_account(self, account: str) -> Self:
        """Set the client account whose keys the trainer uses."""
        return self._set_name("account", account)

    def samples(self, service: str) -> Self:
        """Set the service whose model generates the samples."""
        return self._set_name("service", service)

    def staleness_bound(self, versions: int) -> Self:
        """Set by how many weight versions a sample may be behind when it is delivered."""
        return self._set_number("staleness_bound", versions, minimum=0)
