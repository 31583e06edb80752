"""Tests of the documentation: examples, links between pages, and names of tests."""

import doctest
import re
from pathlib import Path

import pimentoquay

DOCS = Path(__file__).parents[2] / "docs"
LINK = re.compile(r"\]\(([^)#:]+)(?:#[^)]*)?\)")


def test_examples_of_the_subpackages_run():
    page = DOCS / "subpackages.md"
    failed, run = doctest.testfile(str(page), module_relative=False, encoding="utf-8")
    assert failed == 0 and run > 30
    package = Path(pimentoquay.__file__).parent
    names = {path.parent.name for path in package.glob("*/__init__.py")} - {"tests"}
    headings = re.findall(r"^## (\w+)$", page.read_text(encoding="utf-8"), re.MULTILINE)
    assert sorted(headings) == sorted(names)


def test_links_between_pages_lead_somewhere():
    pages = [DOCS.parent / "README.md", *DOCS.rglob("*.md")]
    broken = [
        f"{page.relative_to(DOCS.parent)}: {target}"
        for page in pages
        for target in LINK.findall(page.read_text(encoding="utf-8"))
        if not (page.parent / target).exists()
    ]
    assert not broken


def test_each_test_that_the_invariants_name_exists():
    """Names have the form ``path::test``, with the path of the file within the package.

    ``::test`` names a test in the file that was named last.
    """
    source, named = "", 0
    for span in re.findall(r"`([^`]+)`", (DOCS / "invariants.md").read_text(encoding="utf-8")):
        found = re.fullmatch(r"([\w/]+/test_\w+\.py)?(?:::(test_\w+))?", span)
        if found is None:
            continue
        path, test = found.groups()
        if path:
            source = (DOCS.parent / "pimentoquay" / path).read_text(encoding="utf-8")
        if test:
            named += 1
            assert f"def {test}(" in source, span
    assert named > 20
