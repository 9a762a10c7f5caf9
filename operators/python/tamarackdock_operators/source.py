"""Where an item is declared."""

import sys
from dataclasses import dataclass
from pathlib import PurePath
from typing import Self

_PACKAGE = __name__.rpartition(".")[0]


@dataclass(frozen=True)
class Source:
    """A line of a declaration file, without its directory."""

    file: str
    line: int

    @classmethod
    def of_caller(cls) -> Self:
        """Return the line outside of this package that is being run."""
        frame = sys._getframe(1)
        while frame.f_back is not None and _is_own(frame.f_globals.get("__name__", "")):
            frame = frame.f_back
        return cls(PurePath(frame.f_code.co_filename).name, frame.f_lineno)

    def __str__(self) -> str:
        """Return the form ``file:line``."""
        return f"{self.file}:{self.line}"


def _is_own(module: str) -> bool:
    return module == _PACKAGE or module.startswith(f"{_PACKAGE}.")
