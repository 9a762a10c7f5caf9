"""Tests of the printed deployment."""

import io
import json
import unittest
from contextlib import redirect_stdout

from tamarackdock_operators import Account, DataCentre, DeclarationError, Deployment, Limits


class DeploymentTest(unittest.TestCase):
    """Checks the printed configuration and the errors of a deployment."""

    def test_output_is_json_with_the_source_of_each_item(self) -> None:
        """Guards against output that is invalid JSON, and against comments with a wrong line."""
        deployment = Deployment().limits(Limits().retry_ratio(0.5))
        line = DeploymentTest.test_output_is_json_with_the_source_of_each_item.__code__
        account = Account("a").weight(3)
        deployment.add(account, DataCentre("d").in_region("quote \" // 'r'"))
        text = deployment.render()
        self.assertIn(f'    // test_deployment.py:{line.co_firstlineno + 4}\n    {{"name": "a"', text)
        plain = [part for part in text.splitlines() if not part.lstrip().startswith("//")]
        read = json.loads("\n".join(plain))
        self.assertEqual(read["accounts"], [{"name": "a", "weight": 3}])
        self.assertEqual(read["data_centres"][0]["region"], "quote \" // 'r'")
        self.assertEqual(read["limits"], {"retry_ratio": 0.5})
        self.assertEqual(read["targets"], [])

    def test_same_name_is_refused_in_one_list_only(self) -> None:
        """Guards against an item that replaces another one of its kind without an error."""
        deployment = Deployment().add(Account("a"), DataCentre("a").in_region("r"))
        with self.assertRaisesRegex(DeclarationError, "already declared at test_deployment.py:"):
            deployment.add(Account("a"))

    def test_invalid_declaration_prints_nothing_and_exits_with_1(self) -> None:
        """Guards against an incomplete configuration in the file that an operator submits."""
        output = io.StringIO()
        with redirect_stdout(output), self.assertRaises(SystemExit) as caught:
            Deployment().add(DataCentre("d")).print()
        self.assertEqual(output.getvalue(), "")
        self.assertIn("`region` is missing", str(caught.exception.code))


if __name__ == "__main__":
    unittest.main()
