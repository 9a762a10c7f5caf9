"""Client accounts."""

import re
from typing import Self

from .item import Named

_HASH = re.compile(r"[0-9a-fA-F]{64}")


class Account(Named):
    """A client account (a tenant), to which keys belong."""

    def weight(self, weight: int) -> Self:
        """Set the account's share of the targets relative to other accounts (default 1)."""
        return self._set_number("weight", weight)

    def may_use(self, *services: str) -> Self:
        """Add services that the account may use."""
        allowed = self._fields.setdefault("services", [])
        allowed.extend(self._checked(service) for service in services)
        return self

    def key(self, sha256: str) -> Self:
        """Add a key by its hash, which ``tamarackctl key new`` prints.

        Never write a key itself into a declaration.
        """
        if not _HASH.fullmatch(sha256):
            self.fail("a key is given by its hash; `tamarackctl key hash` prints it")
        self._fields.setdefault("keys", []).append(sha256.lower())
        return self
