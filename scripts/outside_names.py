"""Prints the names that leave the process, one on each line, sorted.

A name leaves the process as a field or tag of a message or record, an option, a
flag, an environment variable, a metric or label, an error code, a log event, a
store key, or an HTTP path or header.  None of them may change with a rename.

    python scripts/outside_names.py > docs/outside-names.txt
"""

import ast
import re
import tomllib
from collections.abc import Iterator
from pathlib import Path

ROOT = Path(__file__).parent.parent
#: Classes that are written under the names of their fields, beside those that are
#: decorated with ``@record`` or ``@message`` and those that msgspec decodes.
ENCODED_CLASSES = {"BurnReport", "Order", "Report", "Endpoint", "Settings", "Row"}
#: Records of the cell are encoded by the order of their fields, without names.
ENCODED_BY_ORDER = "src/firhook/cell"
#: Strings without spaces, which may be compared, stored or sent.
PLAIN_NAME = re.compile(r"[A-Za-z0-9_][A-Za-z0-9_.:/{}@#-]*|/[A-Za-z0-9_./{}-]*")
COMMAND_FILES = ("src/firhook/cli", "src/firhook/_daemon.py")
COMMAND_MODULES = ("bench/lab.py", "bench/__main__.py", "standins/soak/__main__.py")


def trees(*folders: str) -> Iterator[tuple[Path, ast.Module]]:
    """Yield every module below some folders of the project."""
    for folder in folders:
        base = ROOT / folder
        for path in [base] if base.is_file() else sorted(base.rglob("*.py")):
            yield path, ast.parse(path.read_text(encoding="utf-8"))


def decorators(node: ast.ClassDef | ast.FunctionDef) -> set[str]:
    """Return the names of a definition's decorators, without arguments."""
    return {
        ast.unparse(d.func if isinstance(d, ast.Call) else d).split(".")[-1]
        for d in node.decorator_list
    }


def field_names(node: ast.ClassDef) -> Iterator[str]:
    """Yield the annotated fields of a class."""
    for stmt in node.body:
        if isinstance(stmt, ast.AnnAssign) and isinstance(stmt.target, ast.Name):
            yield stmt.target.id


def words(node: ast.AST | None) -> set[str]:
    """Return the names within a type, also where it is written as a string."""
    return set(re.findall(r"\w+", ast.unparse(node))) if node is not None else set()


def decoded_types(tree: ast.Module) -> Iterator[str]:
    """Yield the names of the types that msgspec decodes."""
    for node in ast.walk(tree):
        if isinstance(node, ast.Call) and "msgspec" in ast.unparse(node.func):
            for arg in (*node.args[1:], *(word.value for word in node.keywords)):
                yield from words(arg)


def encoded_classes() -> Iterator[str]:
    """Yield tags and fields of everything that is written under its names."""
    classes: list[ast.ClassDef] = []
    wanted = set(ENCODED_CLASSES)
    for path, tree in trees("src"):
        wanted.update(decoded_types(tree))
        if not path.is_relative_to(ROOT / ENCODED_BY_ORDER):
            classes += [n for n in ast.walk(tree) if isinstance(n, ast.ClassDef)]
    seen: set[int] = set()
    found = True
    while found:
        found = False
        for node in classes:
            tagged = bool(decorators(node) & {"record", "message"})
            if id(node) in seen or not (tagged or node.name in wanted):
                continue
            found = True
            seen.add(id(node))
            if tagged:
                yield node.name
            yield from field_names(node)
            for stmt in node.body:
                if isinstance(stmt, ast.AnnAssign):
                    wanted.update(words(stmt.annotation))


def code_strings(tree: ast.Module) -> set[int]:
    """Return the ids of string constants that name code: exports and types."""
    found: set[int] = set()

    def skip(node: ast.AST | None) -> None:
        if node is not None:
            found.update(id(sub) for sub in ast.walk(node))

    for node in ast.walk(tree):
        if isinstance(node, ast.Assign) and ast.unparse(node.targets[0]) == "__all__":
            skip(node.value)
        elif isinstance(node, (ast.AnnAssign, ast.arg)):
            skip(node.annotation)
        elif isinstance(node, (ast.FunctionDef, ast.AsyncFunctionDef)):
            skip(node.returns)
        elif isinstance(node, ast.Subscript):
            # Strings in a type's brackets are types; those in data's are keys.
            if ast.unparse(node.value).split(".")[-1][:1].isupper():
                skip(node.slice)
        elif isinstance(node, ast.Call) and ast.unparse(node.func) == "TypeVar":
            skip(node)
        elif isinstance(node, ast.Expr) and isinstance(node.value, ast.Constant):
            skip(node.value)
    return found


def data_strings(tree: ast.Module) -> Iterator[str]:
    """Yield strings without spaces, which may be compared, stored or sent."""
    code = code_strings(tree)
    for node in ast.walk(tree):
        if (
            isinstance(node, ast.Constant)
            and isinstance(node.value, str)
            and id(node) not in code
            and PLAIN_NAME.fullmatch(node.value)
        ):
            yield node.value


def log_fields(tree: ast.Module) -> Iterator[str]:
    """Yield the members of log lines."""
    for node in ast.walk(tree):
        if isinstance(node, ast.Call) and ast.unparse(node.func) == "log":
            yield from (word.arg for word in node.keywords if word.arg)


def error_texts(tree: ast.Module) -> Iterator[str]:
    """Yield the names, codes, titles and remedies of the kinds of errors."""
    for node in ast.walk(tree):
        if isinstance(node, ast.Call) and ast.unparse(node.func) == "_define_error":
            texts = [arg.value for arg in node.args if isinstance(arg, ast.Constant)]
            yield from (text for text in texts if isinstance(text, str))


def command_names(tree: ast.Module) -> Iterator[str]:
    """Yield commands and flags: functions that are commands, and parameters."""
    for node in ast.walk(tree):
        if isinstance(node, ast.FunctionDef) and decorators(node) & {
            "command",
            "default",
        }:
            yield node.name
            yield from (
                arg.arg for arg in (*node.args.args, *node.args.kwonlyargs) if arg.arg
            )
        elif isinstance(node, ast.ClassDef) and "Parameter" in decorators(node):
            yield from field_names(node)


def project_names() -> Iterator[str]:
    """Yield entry points, markers and the names of the deploy file."""
    project = tomllib.loads((ROOT / "pyproject.toml").read_text(encoding="utf-8"))
    for name, target in project["project"]["scripts"].items():
        yield name
        yield target
    for marker in project["tool"]["pytest"]["ini_options"]["markers"]:
        yield marker.split(":")[0]
    deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text(encoding="utf-8"))
    for role, fields in deploy["roles"].items():
        yield role
        yield from fields


def read_elsewhere() -> set[str]:
    """Return the words of the operators' pages, the tests and the measures."""
    found: set[str] = set()
    pages = [ROOT / "docs/OPERATIONS.md", *sorted((ROOT / "docs/operators").glob("*"))]
    for page in pages:
        for code in re.findall(r"`([^`]+)`", page.read_text(encoding="utf-8")):
            found.update(re.findall(r"[\w.]+", code))
    for _, tree in trees("tests", "bench", "standins"):
        found.update(data_strings(tree))
    return found


def outside_names() -> set[str]:
    """Return all names that leave the process."""
    names = set(project_names())
    names.update(encoded_classes())
    fields: set[str] = set()
    for path, tree in trees("src", "standins"):
        names.update(data_strings(tree))
        fields.update(log_fields(tree))
        if path.name == "_errors.py":
            names.update(error_texts(tree))
    for _, tree in trees(*COMMAND_FILES, *COMMAND_MODULES):
        names.update(command_names(tree))
    names.update(fields & read_elsewhere())
    for _, tree in trees("standins/model/_faults.py"):
        for node in ast.walk(tree):
            if isinstance(node, ast.AsyncFunctionDef) and node.name[:6] == "fault_":
                names.add(node.name)
    return {name for name in names if len(name) > 1 and name.strip() == name}


if __name__ == "__main__":
    print("\n".join(sorted(outside_names())))
