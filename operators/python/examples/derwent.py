"""Deployment of Derwent Coachworks Collective: 3 data centres, 12 training and 3 app engines.

Print it with ``PYTHONPATH=operators/python python3 operators/python/examples/derwent.py``.
"""

from tamarackdock_operators import (
    Account,
    DataCentre,
    Deployment,
    Limits,
    Service,
    Target,
    Trainer,
)

MODEL = "body-planner"
FITTING = "fitting"
SUBNETS = {"north": "10.11.0", "east": "10.12.0", "west": "10.13.0"}

# Weight of each client account, and two hex digits that are repeated as the hash of its key.
# These hashes are examples; issue your own keys with `tamarackctl key new`.
ACCOUNTS = {
    "panel-training": (8, "b1"),
    "paint-training": (8, "b2"),
    "trim-training": (6, "b3"),
    "workshop": (4, "b4"),
    "estimates": (1, "b5"),
    "stores": (1, "b6"),
    "members": (1, "b7"),
    "audit": (1, "b8"),
}

# Staleness bound of each trainer in weight versions.
TRAINERS = {"panel": 1, "paint": 1, "trim": 2}


def account(name: str, weight: int, digits: str) -> Account:
    """Declare an account that may use both services."""
    return Account(name).weight(weight).may_use(MODEL, FITTING).key(digits * 32)


def trainer(name: str, bound: int) -> Trainer:
    """Declare a trainer with an account of its own."""
    return Trainer(name).of_account(f"{name}-training").samples(MODEL).staleness_bound(bound)


def engine(data_centre: str, number: int) -> Target:
    """Declare an engine of a data centre."""
    target = Target(f"{data_centre}-e{number}").serves(MODEL).in_data_centre(data_centre)
    return target.at(f"{SUBNETS[data_centre]}.{10 + number}", 9000).capacity(24, cold=2)


def training_engine(data_centre: str, number: int) -> Target:
    """Declare a training engine. Numbers 3 and 4 are cheap and ignore fencing tokens."""
    target = engine(data_centre, number).training()
    return target.cheap() if number > 2 else target.checks_epoch()


def deployment() -> Deployment:
    """Declare the whole deployment."""
    fitting = Target("north-fitting").serves(FITTING).in_data_centre("north")
    return (
        Deployment()
        .add(Service(MODEL).model().idempotent(), Service(FITTING).plain())
        .add(*(account(name, *rest) for name, rest in ACCOUNTS.items()))
        .add(*(trainer(name, bound) for name, bound in TRAINERS.items()))
        .add(*(DataCentre(name).in_region("dale") for name in SUBNETS))
        .add(*(engine(name, 0).checks_epoch() for name in SUBNETS))
        .add(*(training_engine(name, n) for name in SUBNETS for n in range(1, 5)))
        .add(fitting.at("10.11.0.50", 9100))
        .limits(Limits().first_byte_ms(30_000).between_bytes_ms(10_000))
    )


if __name__ == "__main__":
    deployment().print()
