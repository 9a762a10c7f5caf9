"""Limits that apply to all nodes."""

from typing import Self

from .item import Item


class Limits(Item):
    """Limits that apply to all nodes. A limit that is not set has its default."""

    def body_bytes(self, size: int) -> Self:
        """Set the largest request body in bytes."""
        return self._set_number("body_bytes", size)

    def first_byte_ms(self, span: int) -> Self:
        """Set how long a target may take until its first byte, in ms."""
        return self._set_number("first_byte_ms", span)

    def between_bytes_ms(self, span: int) -> Self:
        """Set how long a target may take between two pieces of a response, in ms."""
        return self._set_number("between_bytes_ms", span)

    def retry_ratio(self, ratio: float) -> Self:
        """Set the largest number of retries as a share of calls, from 0 to 1."""
        if not 0 <= ratio <= 1:
            self.fail(f"`retry_ratio` is {ratio!r}; use a number from 0 to 1")
        return self._set("retry_ratio", float(ratio))
