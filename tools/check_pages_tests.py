"""Tests of check_pages: each test changes a small valid checkout in a temporary folder, mostly by adding a fault."""

import tempfile
import unittest
from pathlib import Path

import check_pages

VALID_FILES = {
    "README.md": "# Program\n\nRun `make build`, then `make test`; see [the design](docs/design.md#the-node).\n",
    "Makefile": "build:\n\tcargo build\n\ntest:\n\tcargo test\n",
    "docs/design.md": (
        "# Design\n\n## The node\n\n`crates/node/src/rules.rs:may_write` gives a `crates/node/src/rules.rs:Permit::check`.\n"
        "Both are in `rules.rs`; [back](../README.md).\n"
    ),
    "crates/node/src/rules.rs": (
        "//! See docs/design.md.\npub struct Permit;\nimpl Permit {\n    pub fn check(self) {}\n}\npub fn may_write() {}\n"
    ),
}


class CheckPagesTest(unittest.TestCase):
    """The valid checkout has no findings; a checkout with one fault has exactly one finding."""

    def findings(self, **changes):
        """Returns the findings in the valid checkout with some files replaced or added.

        The name of an argument is the path of a file: `a__b_DOT_c` is `a/b.c`.
        """
        files = dict(VALID_FILES)
        files.update({name.replace("__", "/").replace("_DOT_", "."): text for name, text in changes.items()})
        with tempfile.TemporaryDirectory() as folder:
            for name, text in files.items():
                path = Path(folder) / name
                path.parent.mkdir(parents=True, exist_ok=True)
                path.write_text(text, encoding="utf-8")
            return [str(finding) for finding in check_pages.check(folder)]

    def test_valid_checkout_has_no_findings(self):
        self.assertEqual(self.findings(), [])

    def test_broken_link_is_found(self):
        findings = self.findings(docs__more_DOT_md="See [here](missing.md).\n")
        self.assertEqual(findings, ["docs/more.md:1: link to missing.md: there is no such file"])

    def test_broken_link_with_text_over_two_lines_is_found(self):
        self.assertEqual(len(self.findings(docs__more_DOT_md="See [over\nthere](missing.md).\n")), 1)

    def test_link_within_code_is_ignored(self):
        self.assertEqual(self.findings(docs__more_DOT_md="Write `[text](missing.md)`.\n"), [])

    def test_broken_anchor_is_found(self):
        findings = self.findings(docs__more_DOT_md="\nSee [here](design.md#no-such-part).\n")
        self.assertEqual(findings, ["docs/more.md:2: link to design.md#no-such-part: the page has no such heading"])

    def test_missing_code_file_with_path_is_found(self):
        findings = self.findings(docs__more_DOT_md="`crates/node/src/missing.rs`\n")
        self.assertEqual(findings, ["docs/more.md:1: `crates/node/src/missing.rs`: the tree has no such file"])

    def test_missing_code_file_without_path_is_found(self):
        findings = self.findings(docs__more_DOT_md="`missing.rs`\n")
        self.assertEqual(findings, ["docs/more.md:1: `missing.rs`: the tree has no such file"])

    def test_missing_function_is_found(self):
        findings = self.findings(docs__more_DOT_md="`crates/node/src/rules.rs:may_read`\n")
        expected = "docs/more.md:1: `crates/node/src/rules.rs:may_read`: the file defines no such name"
        self.assertEqual(findings, [expected])

    def test_name_that_is_only_a_prefix_of_a_defined_name_is_found(self):
        self.assertEqual(len(self.findings(docs__more_DOT_md="`crates/node/src/rules.rs:may`\n")), 1)

    def test_missing_method_is_found(self):
        self.assertEqual(len(self.findings(docs__more_DOT_md="`crates/node/src/rules.rs:Permit::missing`\n")), 1)

    def test_function_reference_without_full_path_is_found(self):
        self.assertEqual(len(self.findings(docs__more_DOT_md="`rules.rs:may_write`\n")), 1)

    def test_make_command_without_target_is_found(self):
        findings = self.findings(README_DOT_md="`make build`, `make test`, `make missing`\n")
        self.assertEqual(findings, ["README.md:1: `make missing`: the Makefile has no such target"])

    def test_missing_required_command_is_found(self):
        findings = self.findings(README_DOT_md="`make build`\n")
        self.assertEqual(findings, ["README.md:1: `make test` is not named"])

    def test_machine_path_is_found(self):
        findings = self.findings(docs__more_DOT_md="Look into " + "/home" + "/user.\n")
        self.assertEqual(len(findings), 1)

    def test_missing_page_named_in_code_is_found(self):
        findings = self.findings(crates__node__src__more_DOT_rs="//! See docs/missing.md.\n")
        self.assertEqual(findings, ["crates/node/src/more.rs:1: docs/missing.md: there is no such page"])

    def test_undefined_function_is_listed_by_check_names(self):
        with tempfile.TemporaryDirectory() as folder:
            for name, text in (("docs/more.md", "`may_write` and `may_...`, not `may_read`\n"), ("a.rs", "fn may_write() {}\n")):
                path = Path(folder) / name
                path.parent.mkdir(exist_ok=True)
                path.write_text(text, encoding="utf-8")
            findings = [str(finding) for finding in check_pages.check_names(check_pages.Tree(folder))]
        self.assertEqual(findings, ["docs/more.md:1: `may_read`: the code has no such name"])

    def test_fenced_block_is_ignored(self):
        self.assertEqual(self.findings(docs__more_DOT_md="```\n[x](missing.md) `missing.rs`\n```\n"), [])


if __name__ == "__main__":
    unittest.main()
