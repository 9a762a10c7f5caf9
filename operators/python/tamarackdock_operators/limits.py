"""Bounds for all nodes."""

from typing import Self

from .item import Item


class Limits(Item):
    """Bounds for all nodes. Those that are not set have the node's defaults."""

    def body_bytes(self, size: int) -> Self:
        """Set the largest request body in bytes."""
        return self._set_number("body_bytes", size)

    def first_byte_ms(self, span: int) -> Self:
        """Set how long a target may take to the first byte, in ms."""
        return self._set_number("first_byte_ms", span)

    def between_bytes_ms(self, span: int) -> Self:
        """Set how long a target may pause within a response, in ms."""
        return self._set_number("between_bytes_ms", span)

    def retry_ratio(self, ratio: float) -> Self:
        """Set the retries as a share of calls, from 0 to 1."""
        if not 0 <= ratio <= 1:
            self.fail(f"`retry_ratio` is {ratio!r}; use a number from 0 to 1")
        return self._set("retry_ratio", float(ratio))
