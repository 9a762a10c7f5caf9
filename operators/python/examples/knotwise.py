"""Deployment of Knotwise Lights Ltd: 3 data centres, 10 training and 3 app engines.

Print it with ``PYTHONPATH=operators/python python3 operators/python/examples/knotwise.py``.
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

MODEL = "route-planner"
PARCELS = "parcels"
DATA_CENTRES = ("harbour", "mill", "station")
SUBNETS = {"harbour": "10.1.0", "mill": "10.2.0", "station": "10.3.0"}

# Weight of each client account, and two hex digits that are repeated as the hash of its key.
# These hashes are examples; issue your own keys with `tamarackctl key new`.
ACCOUNTS = {
    "van-dispatch": (8, "a1"),
    "shop-floor": (6, "a2"),
    "plan-training": (6, "a3"),
    "night-training": (4, "a4"),
    "support": (1, "a5"),
    "invoicing": (1, "a6"),
    "web-shop": (1, "a7"),
    "surveys": (1, "a8"),
}


def account(name: str, weight: int, digits: str) -> Account:
    """Declare an account that may use both services."""
    return Account(name).weight(weight).may_use(MODEL, PARCELS).key(digits * 32)


def engine(data_centre: str, number: int) -> Target:
    """Declare an engine of a data centre."""
    return (
        Target(f"{data_centre}-e{number}")
        .serves(MODEL)
        .in_data_centre(data_centre)
        .at(f"{SUBNETS[data_centre]}.{10 + number}", 9000)
        .capacity(16, cold=2)
        .checks_epoch()
    )


def plain(data_centre: str) -> Target:
    """Declare the instance of the plain service in a data centre."""
    target = Target(f"{data_centre}-parcels").serves(PARCELS).in_data_centre(data_centre)
    return target.at(f"{SUBNETS[data_centre]}.50", 9100).capacity(32, cold=8)


def deployment() -> Deployment:
    """Declare the whole deployment."""
    training = [("harbour", 4), ("mill", 3), ("station", 3)]
    return (
        Deployment()
        .add(Service(MODEL).model().idempotent(), Service(PARCELS).plain())
        .add(*(account(name, *rest) for name, rest in ACCOUNTS.items()))
        .add(Trainer("plans").of_account("plan-training").samples(MODEL).staleness_bound(2))
        .add(Trainer("nights").of_account("night-training").samples(MODEL).staleness_bound(4))
        .add(*(DataCentre(name).in_region("coast") for name in DATA_CENTRES))
        .add(*(engine(name, 0) for name in DATA_CENTRES))
        .add(*(engine(name, n + 1).training() for name, count in training for n in range(count)))
        .add(*(plain(name) for name in DATA_CENTRES))
        .limits(Limits().first_byte_ms(10_000).retry_ratio(0.1))
    )


if __name__ == "__main__":
    deployment().print()
