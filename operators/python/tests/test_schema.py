"""Tests of the JSON Schemas in ``docs/schema/``."""

import json
import re
import unittest
from pathlib import Path

SCHEMAS = Path(__file__).parents[3] / "docs" / "schema"


class SchemaTest(unittest.TestCase):
    """Checks the patterns, which the Rust test of the schemas doesn't evaluate."""

    def test_patterns_match_their_examples_only(self) -> None:
        """Guards against a pattern that refuses a valid value or accepts an invalid one."""
        count = 0
        for path in sorted(SCHEMAS.glob("*.schema.json")):
            for name, definition in json.loads(path.read_text())["$defs"].items():
                if "pattern" not in definition:
                    continue
                pattern = re.compile(definition["pattern"])
                with self.subTest(f"{path.name} {name}"):
                    self.assertTrue(all(map(pattern.search, definition["examples"])))
                    self.assertIsNone(pattern.search("Not valid!"))
                count += 1
        self.assertEqual(count, 5)


if __name__ == "__main__":
    unittest.main()
