"""Parses configuration files.

All errors of a file are collected and reported together.
"""

import typing

import msgspec
import yaml

from clayfield.config.diagnostics import Diagnostic, InvalidConfigError
from clayfield.config.model import Configuration, _Section

MAX_FILE_BYTES = 4 * 1024 * 1024


def parse(text: str) -> Configuration:
    """Returns the configuration that a file declares.

    Args:
        text: the file in YAML.

    Raises:
        InvalidConfigError: the file has errors; lists each with line and
            remedy.
    """
    if len(text) > MAX_FILE_BYTES:
        _reject(0, "", f"file exceeds {MAX_FILE_BYTES} characters", "Split it.")
    try:
        root = yaml.compose(text, Loader=yaml.SafeLoader)
    except yaml.YAMLError as exc:
        mark = getattr(exc, "problem_mark", None)
        line = mark.line + 1 if mark else 0
        _reject(line, "", f"not YAML: {exc}", "Correct the syntax.")
    if root is None:
        _reject(1, "", "file is empty", "Declare at least one hall.")
    reader = _Reader()
    values = reader.read_section(root, Configuration, "")
    reader.check_references(values)
    if reader.diagnostics:
        raise InvalidConfigError(
            sorted(reader.diagnostics, key=lambda f: f.line)
        )
    return msgspec.convert(values, Configuration)


def _reject(line: int, path: str, problem: str, remedy: str) -> typing.NoReturn:
    """Raises an error for a file that cannot be parsed further."""
    raise InvalidConfigError([Diagnostic(line, path, problem, remedy)])


class _Reader:
    """Converts YAML nodes to plain values and checks them by type.

    Attributes:
        diagnostics: the errors found so far.
    """

    def __init__(self) -> None:
        self.diagnostics: list[Diagnostic] = []
        self._lines: dict[str, int] = {"": 1}

    def read_section(
        self, node: yaml.Node, section: type[_Section], path: str
    ) -> dict:
        """Returns the values of a section, and records its errors."""
        fields = {f.name: f for f in msgspec.structs.fields(section)}
        values: dict = {}
        for name, child, child_path in self._pairs(node, path):
            field = fields.get(name)
            if field is None:
                names = ", ".join(fields)
                self._add_diagnostic(
                    child, child_path, "unknown field", f"Use {names}."
                )
            else:
                values[name] = self._read(child, field.type, child_path)
        for name, field in fields.items():
            if field.required and name not in values:
                self._add_diagnostic(
                    node, path, f"{name} is missing", f"Add {name}."
                )
        return values

    def _read(
        self, node: yaml.Node, expected_type: object, path: str
    ) -> object:
        if isinstance(expected_type, type) and issubclass(
            expected_type, _Section
        ):
            return self.read_section(node, expected_type, path)
        if typing.get_origin(expected_type) is dict:
            return self._read_table(node, expected_type, path)
        return self._read_value(node, expected_type, path)

    def _read_table(
        self, node: yaml.Node, expected_type: object, path: str
    ) -> dict:
        name_type, section = typing.get_args(expected_type)
        table = {}
        for name, child, child_path in self._pairs(node, path):
            self._convert(child, name, name_type, child_path)
            table[name] = self.read_section(child, section, child_path)
        return table

    def _read_value(
        self, node: yaml.Node, expected_type: object, path: str
    ) -> object:
        loader = yaml.SafeLoader("")
        try:
            value = loader.construct_object(node, deep=True)
        except yaml.YAMLError as exc:
            self._add_diagnostic(
                node, path, f"cannot be read: {exc}", "Correct it."
            )
            return None
        return self._convert(node, value, expected_type, path)

    def _convert(
        self, node: yaml.Node, value: object, expected_type: object, path: str
    ) -> object:
        try:
            return msgspec.convert(value, expected_type)
        except msgspec.ValidationError as exc:
            self._add_diagnostic(
                node, path, str(exc), "Write a value of that kind."
            )
            return value

    def _pairs(
        self, node: yaml.Node, path: str
    ) -> list[tuple[str, yaml.Node, str]]:
        """Returns the (name, value, path) triples of a mapping."""
        if isinstance(node, yaml.ScalarNode) and node.value in ("", "~"):
            return []
        if not isinstance(node, yaml.MappingNode):
            self._add_diagnostic(
                node, path, "not a mapping", "Write 'name: value'."
            )
            return []
        pairs: list[tuple[str, yaml.Node, str]] = []
        names: set[str] = set()
        for key, child in node.value:
            name = str(key.value)
            child_path = f"{path}.{name}" if path else name
            self._lines[child_path] = key.start_mark.line + 1
            if name in names:
                self._add_diagnostic(
                    key, child_path, "stands twice", "Keep one."
                )
                continue
            names.add(name)
            pairs.append((name, child, child_path))
        return pairs

    def check_references(self, values: dict) -> None:
        """Checks references between sections, prices and tokens."""
        services = values.get("services") or {}
        classes = values.get("classes") or {}
        if not values.get("halls"):
            self._add_diagnostic_at(
                "halls", "no halls", "Declare every hall under halls."
            )
        if not any(
            operator.get("tokens")
            for operator in (values.get("operators") or {}).values()
        ):
            self._add_diagnostic_at(
                "operators",
                "no operator has a token",
                "Declare one, or nobody could apply the next file.",
            )
        for name, job in (values.get("jobs") or {}).items():
            self._check_name(f"jobs.{name}.service", job, "service", services)
            self._check_name(f"jobs.{name}.priority", job, "priority", classes)
        self._check_prices(classes)
        self._check_tokens(values)

    def _check_name(
        self, path: str, job: dict, field: str, declared: dict
    ) -> None:
        name = job.get(field)
        if name is not None and name not in declared:
            remedy = f"Declare it, or use one of: {', '.join(declared)}."
            self._add_diagnostic_at(path, f"{name!r} is not declared", remedy)

    def _check_prices(self, classes: dict) -> None:
        name_by_order: dict = {}
        for name, section in classes.items():
            order = (section.get("first", False), section.get("price"))
            other = name_by_order.setdefault(order, name)
            if other != name:
                self._add_diagnostic_at(
                    f"classes.{name}",
                    f"has the price of {other}",
                    "Give each class a price of its own.",
                )

    def _check_tokens(self, values: dict) -> None:
        owners: dict[str, str] = {}
        for section in ("members", "operators"):
            for name, owner in (values.get(section) or {}).items():
                for token in owner.get("tokens") or []:
                    path = f"{section}.{name}"
                    other = owners.setdefault(str(token), path)
                    if other != path:
                        self._add_diagnostic_at(
                            path,
                            f"shares a token with {other}",
                            "Give each a token of its own.",
                        )

    def _add_diagnostic(
        self, node: yaml.Node, path: str, problem: str, remedy: str
    ) -> None:
        line = node.start_mark.line + 1
        self.diagnostics.append(Diagnostic(line, path, problem, remedy))

    def _add_diagnostic_at(self, path: str, problem: str, remedy: str) -> None:
        line = self._lines.get(path, 1)
        self.diagnostics.append(Diagnostic(line, path, problem, remedy))
