"""What all declared items share."""

import re
from typing import Any, ClassVar, Self

from .error import DeclarationError
from .source import Source

_NAME = re.compile(r"[a-z0-9_.-]{1,64}")


class Item:
    """A set of fields with the line that declares it."""

    required: ClassVar[tuple[str, ...]] = ()
    """Fields without a default."""

    def __init__(self) -> None:
        """Remember the line of the caller."""
        self.source = Source.of_caller()
        self._fields: dict[str, Any] = {}

    def fields(self) -> dict[str, Any]:
        """Return the fields in the form of the configuration.

        Raises:
            DeclarationError: A required field is missing.

        """
        for name in self.required:
            if name not in self._fields:
                self.fail(f"`{name}` is missing; call the method that sets it")
        return dict(self._fields)

    def fail(self, message: str) -> None:
        """Raise a ``DeclarationError`` with the place of the item."""
        raise DeclarationError(f"{self.source}: {message}")

    def _set(self, name: str, value: Any) -> Self:
        self._fields[name] = value
        return self

    def _set_name(self, field: str, name: str) -> Self:
        return self._set(field, self._checked(name))

    def _set_number(self, field: str, value: int, least: int = 1) -> Self:
        if isinstance(value, bool) or not isinstance(value, int) or value < least:
            self.fail(f"`{field}` is {value!r}; use a whole number of at least {least}")
        return self._set(field, value)

    def _checked(self, name: str) -> str:
        if not _NAME.fullmatch(name):
            self.fail(f"`{name}` is no name; use 1 to 64 of a-z, 0-9, `-`, `_` and `.`")
        return name


class Named(Item):
    """An item with a name that is unique in its list."""

    required = ("name",)

    def __init__(self, name: str) -> None:
        """Name the item."""
        super().__init__()
        self._set_name("name", name)

    @property
    def name(self) -> str:
        """The name."""
        return str(self._fields["name"])
