"""Reads a configuration file, whole, and lists every fault it has."""

import typing

import msgspec
import yaml

from clayfield.config.faults import BadConfigError, Fault
from clayfield.config.model import Configuration, _Section

MAX_FILE_BYTES = 4 * 1024 * 1024


def parse(text: str) -> Configuration:
    """Returns the configuration that a file declares.

    Args:
        text: the file in YAML.

    Raises:
        BadConfigError: with every fault, each with its line and a remedy.
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
    if reader.faults:
        raise BadConfigError(sorted(reader.faults, key=lambda f: f.line))
    return msgspec.convert(values, Configuration)


def _reject(line: int, path: str, problem: str, remedy: str) -> typing.NoReturn:
    raise BadConfigError([Fault(line, path, problem, remedy)])


class _Reader:
    """Walks the nodes of a file beside the types they should have."""

    def __init__(self) -> None:
        self.faults: list[Fault] = []
        self._lines: dict[str, int] = {"": 1}

    def read_section(
        self, node: yaml.Node, section: type[_Section], path: str
    ) -> dict:
        """Returns the values of a section, as far as they are sound."""
        fields = {f.name: f for f in msgspec.structs.fields(section)}
        values: dict = {}
        for name, child, child_path in self._pairs(node, path):
            field = fields.get(name)
            if field is None:
                known = ", ".join(fields)
                self._fault(child, child_path, "unknown field", f"Use {known}.")
            else:
                values[name] = self._read(child, field.type, child_path)
        for name, field in fields.items():
            if field.required and name not in values:
                self._fault(node, path, f"{name} is missing", f"Add {name}.")
        return values

    def _read(self, node: yaml.Node, kind: object, path: str) -> object:
        if isinstance(kind, type) and issubclass(kind, _Section):
            return self.read_section(node, kind, path)
        if typing.get_origin(kind) is dict:
            return self._read_table(node, kind, path)
        return self._read_value(node, kind, path)

    def _read_table(self, node: yaml.Node, kind: object, path: str) -> dict:
        name_type, section = typing.get_args(kind)
        table = {}
        for name, child, child_path in self._pairs(node, path):
            self._convert(child, name, name_type, child_path)
            table[name] = self.read_section(child, section, child_path)
        return table

    def _read_value(self, node: yaml.Node, kind: object, path: str) -> object:
        loader = yaml.SafeLoader("")
        try:
            value = loader.construct_object(node, deep=True)
        except yaml.YAMLError as exc:
            self._fault(node, path, f"cannot be read: {exc}", "Correct it.")
            return None
        return self._convert(node, value, kind, path)

    def _convert(
        self, node: yaml.Node, value: object, kind: object, path: str
    ) -> object:
        try:
            return msgspec.convert(value, kind)
        except msgspec.ValidationError as exc:
            self._fault(node, path, str(exc), "Write a value of that kind.")
            return value

    def _pairs(
        self, node: yaml.Node, path: str
    ) -> list[tuple[str, yaml.Node, str]]:
        if isinstance(node, yaml.ScalarNode) and node.value in ("", "~"):
            return []
        if not isinstance(node, yaml.MappingNode):
            self._fault(node, path, "not a mapping", "Write 'name: value'.")
            return []
        pairs: list[tuple[str, yaml.Node, str]] = []
        seen: set[str] = set()
        for key, child in node.value:
            name = str(key.value)
            child_path = f"{path}.{name}" if path else name
            self._lines[child_path] = key.start_mark.line + 1
            if name in seen:
                self._fault(key, child_path, "stands twice", "Keep one.")
                continue
            seen.add(name)
            pairs.append((name, child, child_path))
        return pairs

    def check_references(self, values: dict) -> None:
        """Checks that names used are declared, and that classes differ."""
        services = values.get("services") or {}
        classes = values.get("classes") or {}
        if not values.get("halls"):
            self._fault_at(
                "halls", "no halls", "Declare every hall under halls."
            )
        if not any(
            operator.get("tokens")
            for operator in (values.get("operators") or {}).values()
        ):
            self._fault_at(
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
            self._fault_at(path, f"{name!r} is not declared", remedy)

    def _check_prices(self, classes: dict) -> None:
        by_price: dict = {}
        for name, one in classes.items():
            rank = (one.get("first", False), one.get("price"))
            other = by_price.setdefault(rank, name)
            if other != name:
                self._fault_at(
                    f"classes.{name}",
                    f"has the price of {other}",
                    "Give each class a price of its own.",
                )

    def _check_tokens(self, values: dict) -> None:
        holders: dict[str, str] = {}
        for section in ("members", "operators"):
            for name, holder in (values.get(section) or {}).items():
                for token in holder.get("tokens") or []:
                    path = f"{section}.{name}"
                    other = holders.setdefault(str(token), path)
                    if other != path:
                        self._fault_at(
                            path,
                            f"shares a token with {other}",
                            "Give each a token of its own.",
                        )

    def _fault(
        self, node: yaml.Node, path: str, problem: str, remedy: str
    ) -> None:
        line = node.start_mark.line + 1
        self.faults.append(Fault(line, path, problem, remedy))

    def _fault_at(self, path: str, problem: str, remedy: str) -> None:
        line = self._lines.get(path, 1)
        self.faults.append(Fault(line, path, problem, remedy))
