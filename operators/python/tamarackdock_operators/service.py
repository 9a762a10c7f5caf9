"""Services."""

from typing import Self

from .item import Named


class Service(Named):
    """A service that callers may use."""

    required = ("name", "kind")

    def model(self) -> Self:
        """Let model engines stand behind the service."""
        return self._set("kind", "model")

    def plain(self) -> Self:
        """Let plain HTTP services stand behind the service."""
        return self._set("kind", "plain")

    def open(self) -> Self:
        """Let everybody call the service without a key."""
        return self._set("access", "open")

    def idempotent(self) -> Self:
        """Allow a call to be repeated. Calls of other services are sent at most once."""
        return self._set("idempotent", True)
