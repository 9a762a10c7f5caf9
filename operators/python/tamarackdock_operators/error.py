"""The error that declarations raise."""


class DeclarationError(ValueError):
    """A declaration is not valid. The message has its file and line, and a remedy."""
