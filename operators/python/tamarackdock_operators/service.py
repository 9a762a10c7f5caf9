"""Services."""

from typing import Self

from .item import Named


class Service(Named):
    """A service that callers can address."""

    required = ("name", "kind")

    def model(self) -> Self:
        """Declare that model engines serve the calls."""
        return self._set("kind", "model")

    def plain(self) -> Self:
        """Declare that plain HTTP services serve the calls."""
        return self._set("kind", "plain")

    def open(self) -> Self:
        """Allow calls without a key."""
        return self._set("access", "open")

    def idempotent(self) -> Self:
        """Allow a call to be sent again. Calls of other services are sent at most once."""
        return self._set("idempotent", True)
