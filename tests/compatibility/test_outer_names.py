"""Each name that leaves the process still stands in the code, under the section of `outer_names.txt` that lists it."""

from __future__ import annotations

import ast
import pathlib
import re
import unittest
from collections.abc import Iterator

ROOT = pathlib.Path(__file__).parents[2]
LIST = pathlib.Path(__file__).with_name("outer_names.txt")
WORD_SEPARATORS = re.compile(r"[\s{}|,;:=<>()\[\]\"'`]+")


def listed_names() -> dict[str, list[str]]:
    """The names of the list by section."""
    sections: dict[str, list[str]] = {}
    for line in LIST.read_text(encoding="utf-8").splitlines():
        if line.startswith("["):
            sections[line.strip("[]")] = names = []
        elif line and not line.startswith("#"):
            names.append(line)
    return sections


def text_of(node: ast.Constant | ast.JoinedStr) -> str:
    """The text of a string, with {} for each part that an f-string fills in."""
    if isinstance(node, ast.JoinedStr):
        parts = (p.value if isinstance(p, ast.Constant) else "{}" for p in node.values)
        return "".join(map(str, parts))
    if isinstance(node.value, bytes):
        return node.value.decode("latin-1")
    return node.value if isinstance(node.value, str) else ""


def names_in_module(tree: ast.Module) -> Iterator[str]:
    """Names of a module that can leave the process: strings and their words, fields, keywords, functions.

    Docstrings do not count.
    """
    docstrings = {
        id(node.body[0].value)
        for node in ast.walk(tree)
        if isinstance(node, ast.Module | ast.ClassDef | ast.FunctionDef)
        and node.body
        and isinstance(node.body[0], ast.Expr)
    }
    for node in ast.walk(tree):
        if isinstance(node, ast.Constant | ast.JoinedStr) and id(node) not in docstrings:
            text = text_of(node)
            yield text
            yield from WORD_SEPARATORS.split(text)
        elif isinstance(node, ast.keyword) and node.arg:
            yield node.arg
        elif isinstance(node, ast.FunctionDef):
            yield node.name
        elif isinstance(node, ast.ClassDef):
            for field in node.body:
                if isinstance(field, ast.Assign | ast.AnnAssign):
                    target = field.target if isinstance(field, ast.AnnAssign) else field.targets[0]
                    yield getattr(target, "id", "")


def names_in(folder: pathlib.Path) -> set[str]:
    """Names of all modules of a folder, but for this one."""
    found: set[str] = set()
    for path in folder.rglob("*.py"):
        if path != pathlib.Path(__file__):
            found.update(names_in_module(ast.parse(path.read_text(encoding="utf-8"))))
    return found


class OuterNames(unittest.TestCase):
    def test_each_listed_name_stands_in_the_code(self):
        package = names_in(ROOT / "gullyoke")
        schema = (ROOT / "gullyoke/operator_config/operator.proto").read_text(encoding="utf-8")
        deploy = (ROOT / "deploy/balancer.toml").read_text(encoding="utf-8")
        tests = names_in(ROOT / "tests")
        places = {
            "Fields and values of the operator's file": set(re.findall(r"\w+", schema)),
            "Keys of the deploy file": set(re.findall(r"^\w+", deploy, re.MULTILINE)),
            "Words of the scenarios in tests/": tests,
        }
        sections = listed_names()
        self.assertGreater(len(sections), len(places))
        for section, names in sections.items():
            self.assertTrue(names, section)
            missing = [name for name in names if name not in places.get(section, package)]
            self.assertEqual(missing, [], section)


if __name__ == "__main__":
    unittest.main()
