"""The source line of an item."""

import sys
from dataclasses import dataclass
from pathlib import PurePath
from typing import Self

_PACKAGE = __name__.rpartition(".")[0]


@dataclass(frozen=True)
class Source:
    """A file name without its directory, and a line number."""

    file: str
    line: int

    @classmethod
    def of_caller(cls) -> Self:
        """Return the line outside of this package that called into it."""
        frame = sys._getframe(1)
        while frame.f_back is not None and _is_own(frame.f_globals.get("__name__", "")):
            frame = frame.f_back
        return cls(PurePath(frame.f_code.co_filename).name, frame.f_lineno)

    def __str__(self) -> str:
        """Return the form ``file:line``."""
        return f"{self.file}:{self.line}"


def _is_own(module: str) -> bool:
    return module == _PACKAGE or module.startswith(f"{_PACKAGE}.")
