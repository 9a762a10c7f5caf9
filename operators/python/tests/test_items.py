"""Tests of the declared items."""

import unittest

from tamarackdock_operators import (
    Account,
    DataCentre,
    DeclarationError,
    Limits,
    Service,
    Target,
    Trainer,
)


class ItemsTest(unittest.TestCase):
    """Checks the fields of items and the errors for wrong values."""

    def test_fields_have_the_names_of_the_configuration(self) -> None:
        """Guards against a method that sets a wrong field or writes a value in a wrong form."""
        target = Target("e1").serves("m").in_data_centre("d1").at("::1", 9000)
        target = target.training().cheap().checks_epoch().capacity(8, cold=2)
        expected = {
            "name": "e1", "service": "m", "data_centre": "d1", "address": "[::1]:9000",
            "role": "training", "class": "cheap", "checks_epoch": True,
            "capacity": 8, "cold_capacity": 2,
        }  # fmt: skip
        self.assertEqual(target.fields(), expected)
        account = Account("a").weight(2).may_use("m").key("AB" * 32)
        expected = {"name": "a", "weight": 2, "services": ["m"], "keys": ["ab" * 32]}
        self.assertEqual(account.fields(), expected)
        service = Service("m").plain().open().idempotent().fields()
        expected = {"name": "m", "kind": "plain", "access": "open", "idempotent": True}
        self.assertEqual(service, expected)
        trainer = Trainer("t").of_account("a").samples("m").staleness_bound(0)
        expected = {"name": "t", "account": "a", "service": "m", "staleness_bound": 0}
        self.assertEqual(trainer.fields(), expected)
        self.assertEqual(DataCentre("d").in_region("r").out().fields()["state"], "out")
        limits = Limits().body_bytes(1).first_byte_ms(2).between_bytes_ms(3).retry_ratio(0)
        self.assertEqual(list(limits.fields().values()), [1, 2, 3, 0.0])

    def test_wrong_values_are_refused_with_their_source_line(self) -> None:
        """Guards against invalid values that are found only after a submission."""
        wrong = [
            lambda: Account("Shop"),
            lambda: Account("a").weight(0),
            lambda: Account("a").weight(True),
            lambda: Account("a").key("secret"),
            lambda: Target("e").at("engine.example", 9000),
            lambda: Target("e").at("10.0.0.1", 0),
            lambda: Target("e").capacity(2, cold=3),
            lambda: Trainer("t").staleness_bound(-1),
            lambda: Limits().retry_ratio(1.5),
            lambda: Trainer("t").fields(),
            lambda: Service("m").fields(),
        ]
        for number, make in enumerate(wrong):
            with self.subTest(number), self.assertRaisesRegex(
                DeclarationError, r"^test_items\.py:\d+: .+; "
            ):
                make()


if __name__ == "__main__":
    unittest.main()
