#!/usr/bin/env python3
"""Checks that the pages agree with the code. Prints one line per finding; the exit code is 1 if there is any.

The pages are README.md, CHANGELOG.md and all Markdown files below docs/. The checks are:

- a relative link points to a file that exists, and its anchor to a heading of that page;
- a code reference `path/file.rs` names a file by its path from the root; `file.rs` names at least one file in the tree;
- a code reference `path/file.rs:name` names a function, type, constant or module that is defined in that file;
  in `path/file.rs:Type::name`, both names are defined in the file;
- every `make` command in the README is a target of the Makefile, and the README names `make build` and `make test`;
- no page contains a path of a particular machine, such as a home directory;
- a page that is named in a comment of the code exists.

Usage: tools/check_pages.py [--root FOLDER]
       tools/check_pages.py --names       also lists names in `backticks` that the code does not contain
       tools/check_pages.py --self-test   runs the tests of this program, which check that each kind of fault is found
"""

import argparse
import re
import subprocess
import sys
import unittest
from dataclasses import dataclass
from pathlib import Path

REQUIRED_COMMANDS = ("build", "test")

# The text of a link may start on the previous line, so the pattern matches only the end of a link.
LINK = re.compile(r"\]\(([^()\s]+)\)")
URL = re.compile(r"[a-z][a-z0-9+.-]*:", re.IGNORECASE)
HEADING = re.compile(r"#{1,6} +(.*?)(?: +#+)?$")
FENCE = re.compile(r"\s*(```|~~~)")
CODE_SPAN = re.compile(r"`([^`]+)`")
CODE_REFERENCE = re.compile(r"(?<![\w./*<>-])((?:[\w.-]+/)*[\w-]+\.rs)(?::([A-Za-z_]\w*(?:::\w+)*))?(?![\w*])")
MAKE_COMMAND = re.compile(r"\bmake ([a-z][a-z0-9-]*)")
MAKE_TARGET = re.compile(r"^([A-Za-z0-9_-]+)\s*:(?!=)", re.MULTILINE)
MACHINE_PATH = re.compile(r"(?<![\w.)>-])/(?:work|home|root|tmp|Users|mnt|opt|srv|var)/[\w.-]+")
PAGE_IN_CODE = re.compile(r"\bdocs/[\w./-]+\.md\b")
IDENTIFIER = re.compile(r"(?:[A-Za-z]\w*::)?[a-z]+(?:_[a-z0-9]+)+(\.\.\.|_\.\.\.)?$")
DEFINITION = r"\b(?:fn|struct|enum|union|trait|type|const|static|mod|macro_rules!)\s+{name}\b"
VARIANT = r"^\s*{name}\s*(?:[,({{=]|$)"


@dataclass(frozen=True)
class Finding:
    """A fault on one line of a page or a source file."""

    page: str
    line: int
    text: str

    def __str__(self):
        return f"{self.page}:{self.line}: {self.text}"


class Tree:
    """The files of a checkout; paths are relative to its root."""

    def __init__(self, root):
        self.root = Path(root).resolve()
        self.files = self._tracked_files() or self._files_on_disk()
        self.file_names = {Path(file).name for file in self.files}
        self._texts = {}

    def _tracked_files(self):
        command = ["git", "-C", str(self.root), "ls-files", "-z", "--cached", "--others", "--exclude-standard"]
        result = subprocess.run(command, capture_output=True, text=True, check=False)
        if result.returncode != 0:
            return set()
        return {file for file in result.stdout.split("\0") if file and (self.root / file).is_file()}

    def _files_on_disk(self):
        return {str(path.relative_to(self.root)) for path in self.root.rglob("*") if path.is_file()}

    def text(self, file):
        """Returns the text of a file, or an empty string if the file does not exist."""
        if file not in self._texts:
            path = self.root / file
            self._texts[file] = path.read_text(encoding="utf-8") if path.is_file() else ""
        return self._texts[file]

    def pages(self):
        """Returns the pages that are checked, sorted by path."""
        return sorted(file for file in self.files if file.endswith(".md") and is_checked(file))


def is_checked(file):
    """Returns whether a Markdown file is one of the pages that are checked."""
    return file in ("README.md", "CHANGELOG.md") or file.startswith("docs/")


def prose_lines(text):
    """Yields (line number, line) for the lines of a page outside of fenced code blocks."""
    in_fence = False
    for number, line in enumerate(text.splitlines(), 1):
        if FENCE.match(line):
            in_fence = not in_fence
        elif not in_fence:
            yield number, line


def anchors(text):
    """Returns the anchors of the headings of a page, derived as common Markdown renderers do it."""
    slug_counts = {}
    for _, line in prose_lines(text):
        heading = HEADING.match(line)
        if heading is None:
            continue
        title = re.sub(r"[`*]|\[([^\]]*)\]\([^)]*\)", lambda match: match.group(1) or "", heading.group(1))
        slug = re.sub(r"[^\w\- ]", "", title.lower()).strip().replace(" ", "-")
        slug_counts[slug] = slug_counts.get(slug, 0) + 1
    return {f"{slug}-{index}" if index else slug for slug, count in slug_counts.items() for index in range(count)}


def check_links(tree, page):
    """Checks that relative links point to existing files, and their anchors to headings."""
    for number, line in prose_lines(tree.text(page)):
        for link in LINK.findall(CODE_SPAN.sub("code", line)):
            if URL.match(link):
                continue
            path, _, anchor = link.partition("#")
            target = (tree.root / page).parent / path if path else tree.root / page
            if not target.exists():
                yield Finding(page, number, f"link to {link}: there is no such file")
            elif anchor and target.suffix == ".md":
                if anchor not in anchors(target.read_text(encoding="utf-8")):
                    yield Finding(page, number, f"link to {link}: the page has no such heading")


def defines(text, name):
    """Returns whether a Rust source defines a name; for `Type::name`, both parts must be defined."""
    parts = name.split("::")
    for position, part in enumerate(parts):
        is_declared = re.search(DEFINITION.format(name=re.escape(part)), text)
        is_variant = position > 0 and re.search(VARIANT.format(name=re.escape(part)), text, re.MULTILINE)
        is_implemented = position < len(parts) - 1 and re.search(rf"\bimpl\b.*\b{re.escape(part)}\b", text)
        if not (is_declared or is_variant or is_implemented):
            return False
    return True


def check_code_references(tree, page):
    """Checks that the source files a page names exist and define the names given with them."""
    for number, line in prose_lines(tree.text(page)):
        for span in CODE_SPAN.findall(line):
            for file, name in CODE_REFERENCE.findall(span):
                exists = file in tree.files if "/" in file else file in tree.file_names
                if not exists:
                    yield Finding(page, number, f"`{file}`: the tree has no such file")
                elif name and "/" not in file:
                    yield Finding(page, number, f"`{file}:{name}`: give the file's whole path")
                elif name and not defines(tree.text(file), name):
                    yield Finding(page, number, f"`{file}:{name}`: the file defines no such name")


def check_commands(tree):
    """Checks that the README's `make` commands are targets, and that the required ones are in the README."""
    targets = set(MAKE_TARGET.findall(tree.text("Makefile")))
    named_commands = set()
    for number, line in enumerate(tree.text("README.md").splitlines(), 1):
        for command in MAKE_COMMAND.findall(line):
            named_commands.add(command)
            if command not in targets:
                yield Finding("README.md", number, f"`make {command}`: the Makefile has no such target")
    for command in REQUIRED_COMMANDS:
        if command not in named_commands:
            yield Finding("README.md", 1, f"`make {command}` is not named")


def check_machine_paths(tree, page):
    """Checks that a page contains no path of a particular machine."""
    for number, line in enumerate(tree.text(page).splitlines(), 1):
        for path in MACHINE_PATH.findall(line):
            yield Finding(page, number, f"{path} is a path of one machine")


def check_pages_named_in_code(tree):
    """Checks that the pages named in Rust files exist."""
    for file in sorted(file for file in tree.files if file.endswith(".rs")):
        for number, line in enumerate(tree.text(file).splitlines(), 1):
            for page in PAGE_IN_CODE.findall(line):
                if page not in tree.files:
                    yield Finding(file, number, f"{page}: there is no such page")


def check_names(tree):
    """Lists names in backticks that look like functions or tests and occur in no source, settings or tool file."""
    code_extensions = (".rs", ".toml", ".json", ".py", ".sh")
    code = "\n".join(tree.text(file) for file in sorted(tree.files) if file.endswith(code_extensions))
    # Incident reports and the changelog keep the names that were in use when they were written.
    for page in (page for page in tree.pages() if page.startswith("docs/") and "/incidents/" not in page):
        for number, line in prose_lines(tree.text(page)):
            for span in CODE_SPAN.findall(line):
                identifier = IDENTIFIER.match(span)
                if identifier is None:
                    continue
                name_start = span.rstrip(".").split("::")[-1]
                word_end = "" if identifier.group(1) else r"\b"
                if not re.search(rf"\b{re.escape(name_start)}{word_end}", code):
                    yield Finding(page, number, f"`{span}`: the code has no such name")


def check(root):
    """Returns all findings in a checkout."""
    tree = Tree(root)
    findings = []
    for page in tree.pages():
        findings.extend(check_links(tree, page))
        findings.extend(check_code_references(tree, page))
        findings.extend(check_machine_paths(tree, page))
    findings.extend(check_commands(tree))
    findings.extend(check_pages_named_in_code(tree))
    return findings


def self_test():
    """Runs the tests in check_pages_tests.py; returns whether they pass."""
    sys.dont_write_bytecode = True
    sys.path.insert(0, str(Path(__file__).parent))
    suite = unittest.defaultTestLoader.loadTestsFromName("check_pages_tests")
    return unittest.TextTestRunner(verbosity=2).run(suite).wasSuccessful()


def main():
    """Checks the checkout that contains this program, or the one given by --root; returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--root", default=Path(__file__).resolve().parent.parent)
    parser.add_argument("--names", action="store_true")
    parser.add_argument("--self-test", action="store_true")
    arguments = parser.parse_args()
    if arguments.self_test:
        return 0 if self_test() else 1
    findings = check(arguments.root)
    if arguments.names:
        findings.extend(check_names(Tree(arguments.root)))
    for finding in findings:
        print(finding)
    return 1 if findings else 0


if __name__ == "__main__":
    sys.exit(main())
