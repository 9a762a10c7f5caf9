"""Trainers."""

from typing import Self

from .item import Named


class Trainer(Named):
    """A trainer that requests steps."""

    required = ("name", "account", "service", "staleness_bound")

    def of_account(self, account: str) -> Self:
        """Set the client account whose keys the trainer shows."""
        return self._set_name("account", account)

    def samples(self, service: str) -> Self:
        """Set the model that makes the samples."""
        return self._set_name("service", service)

    def staleness_bound(self, versions: int) -> Self:
        """Set by how many weight versions a sample may be old when it is handed over."""
        return self._set_number("staleness_bound", versions, least=0)
