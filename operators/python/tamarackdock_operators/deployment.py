"""The declaration of a whole deployment."""

import json
import sys
from typing import Self, TextIO

from .account import Account
from .data_centre import DataCentre
from .error import DeclarationError
from .item import Named
from .limits import Limits
from .service import Service
from .source import Source
from .target import Target
from .trainer import Trainer

_LISTS: dict[type[Named], str] = {
    Service: "services",
    Account: "accounts",
    Trainer: "trainers",
    DataCentre: "data_centres",
    Target: "targets",
}


class Deployment:
    """The configuration that all nodes share."""

    def __init__(self) -> None:
        """Start with no items."""
        self.source = Source.of_caller()
        self._lists: dict[str, dict[str, Named]] = {name: {} for name in _LISTS.values()}
        self._limits: Limits | None = None

    def add(self, *items: Named) -> Self:
        """Add services, accounts, trainers, data centres and targets.

        Raises:
            DeclarationError: An item of the same kind has the same name.

        """
        for item in items:
            declared = self._lists[_LISTS[type(item)]]
            if item.name in declared:
                first = declared[item.name].source
                message = f"`{item.name}` is already declared at {first}; choose another name"
                item.fail(message)
            declared[item.name] = item
        return self

    def limits(self, limits: Limits) -> Self:
        """Set the limits that apply to all nodes."""
        self._limits = limits
        return self

    def render(self) -> str:
        """Return the configuration as JSON with the source of each item in a comment.

        Raises:
            DeclarationError: An item lacks a required field.

        """
        parts = [_list(name, list(items.values())) for name, items in self._lists.items()]
        if self._limits is not None:
            parts.append(f"  // {self._limits.source}\n  \"limits\": {_object(self._limits)}")
        body = ",\n".join(parts)
        return f"{{\n  // Printed by `{self.source.file}`; change that file instead.\n{body}\n}}\n"

    def print(self, file: TextIO | None = None) -> None:
        """Print the configuration.

        If it is not valid, print only the error, on standard error, and exit with status 1.

        """
        try:
            text = self.render()
        except DeclarationError as error:
            sys.exit(str(error))
        (file or sys.stdout).write(text)


def _list(name: str, items: list[Named]) -> str:
    lines = [f"    // {item.source}\n    {_object(item)}" for item in items]
    inner = ",\n".join(lines)
    return f'  "{name}": [\n{inner}\n  ]' if lines else f'  "{name}": []'


def _object(item: Named | Limits) -> str:
    return json.dumps(item.fields())
