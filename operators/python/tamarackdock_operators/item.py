"""The base classes of all declared items."""

import re
from typing import Any, ClassVar, Self

from .error import DeclarationError
from .source import Source

_NAME = re.compile(r"[a-z0-9_.-]{1,64}")


class Item:
    """A set of configuration fields, with the source line that declares it."""

    required: ClassVar[tuple[str, ...]] = ()
    """Names of the fields that have no default."""

    def __init__(self) -> None:
        """Record the source line of the declaration."""
        self.source = Source.of_caller()
        self._fields: dict[str, Any] = {}

    def fields(self) -> dict[str, Any]:
        """Return the fields as they appear in the configuration.

        Raises:
            DeclarationError: A required field is missing.

        """
        for name in self.required:
            if name not in self._fields:
                self.fail(f"`{name}` is missing; call the method that sets it")
        return dict(self._fields)

    def fail(self, message: str) -> None:
        """Raise a ``DeclarationError`` with the source line of the item."""
        raise DeclarationError(f"{self.source}: {message}")

    def _set(self, name: str, value: Any) -> Self:
        self._fields[name] = value
        return self

    def _set_name(self, field: str, name: str) -> Self:
        return self._set(field, self._checked(name))

    def _set_number(self, field: str, value: int, minimum: int = 1) -> Self:
        if isinstance(value, bool) or not isinstance(value, int) or value < minimum:
            self.fail(f"`{field}` is {value!r}; use a whole number of at least {minimum}")
        return self._set(field, value)

    def _checked(self, name: str) -> str:
        if not _NAME.fullmatch(name):
            self.fail(f"`{name}` is not a valid name; use 1 to 64 of a-z, 0-9, `-`, `_` and `.`")
        return name


class Named(Item):
    """An item whose name is unique in its list."""

    required = ("name",)

    def __init__(self, name: str) -> None:
        """Set the name and record the source line."""
        super().__init__()
        self._set_name("name", name)

    @property
    def name(self) -> str:
        """The name that other items refer to."""
        return str(self._fields["name"])
