"""Declares tamarackdock deployments and prints their configuration.

The output is JSON with comments for ``tamarackctl check`` and
``tamarackctl submit``. See ``docs/operators/install.md``.
"""

from .account import Account
from .data_centre import DataCentre
from .deployment import Deployment
from .error import DeclarationError
from .limits import Limits
from .service import Service
from .target import Target
from .trainer import Trainer

__all__ = [
    "Account",
    "DataCentre",
    "DeclarationError",
    "Deployment",
    "Limits",
    "Service",
    "Target",
    "Trainer",
]
