"""The error of this package."""


class DeclarationError(ValueError):
    """A declaration is not valid. The message names the place and a remedy."""
