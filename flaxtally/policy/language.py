"""The language of policy files: settings as expressions, checked before they are evaluated.

    file      = { NAME "=" expr NEWLINE }            "#": comment; an open "(" continues the line
    expr      = "if" sum COMPARE sum "then" expr "else" expr | sum
    sum       = term { ("+" | "-") term }
    term      = factor { ("*" | "/") factor }
    factor    = NUMBER [ "ms" | "s" | "GB" | "share" ] | NAME
              | ("min" | "max") "(" expr { "," expr } ")"
              | "-" factor | "(" expr ")"
    COMPARE   = "<" | "<=" | ">" | ">=" | "=="

The parser is hand-written: a library (lark 1.3.1) adds 0.17 s and 12 MB to each start of a
controller on a fraction of a core, which delays the replacement of a controller that died.
"""

from __future__ import annotations

import difflib
import math
import operator
import re
from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping


class Unit(NamedTuple):
    """The exponents of seconds and of GB; a fraction or a count is a plain number."""

    seconds: int = 0
    gigabytes: int = 0

    def __str__(self) -> str:
        powers = zip(("s", "GB"), self, strict=True)
        parts = [f"{name}^{power}" if power != 1 else name for name, power in powers if power]
        return "*".join(parts) or "a plain number"


PLAIN, TIME, SIZE, RATE = Unit(), Unit(1), Unit(0, 1), Unit(-1)
UNITS = {"ms": (TIME, 0.001), "s": (TIME, 1.0), "GB": (SIZE, 1.0), "share": (PLAIN, 1.0)}
"""Each unit's name in a policy file, the unit, and the factor that converts a number to it."""
COMPARISONS: dict[str, Callable[[float, float], bool]] = {
    "<": operator.lt,
    "<=": operator.le,
    ">": operator.gt,
    ">=": operator.ge,
    "==": operator.eq,
}
ARITHMETIC: dict[str, Callable[[float, float], float]] = {
    "+": operator.add,
    "-": operator.sub,
    "*": operator.mul,
    "/": operator.truediv,
}
KEYWORDS = {"if", "then", "else", "min", "max", *UNITS}
MAX_NESTING_DEPTH = 20
MAX_TOKENS_PER_STATEMENT = 60


class Fault(NamedTuple):
    """An error in a policy file and its place; line 0 stands for the file as a whole."""

    file: str
    line: int
    reason: str

    def __str__(self) -> str:
        return f"{self.file}:{self.line}: {self.reason}"


class PolicyError(Exception):
    """A policy is invalid; `faults` lists every error that was found."""

    def __init__(self, faults: list[Fault]) -> None:
        super().__init__("\n".join(map(str, faults)))
        self.faults = faults


@dataclass(frozen=True)
class Number:
    """A number with its unit."""

    value: float
    unit: Unit


@dataclass(frozen=True)
class Name:
    """A reference to a setting, or to a value of the platform's settings file."""

    name: str


@dataclass(frozen=True)
class Call:
    """An arithmetic operation, `min` or `max`."""

    function: str
    arguments: tuple[Expression, ...]


@dataclass(frozen=True)
class Conditional:
    """A conditional expression: `if … then … else …`."""

    comparison: str
    left: Expression
    right: Expression
    then: Expression
    otherwise: Expression


Expression = Number | Name | Call | Conditional


@dataclass(frozen=True)
class Statement:
    """The definition of one setting, with its file, line and source text."""

    name: str
    expression: Expression
    file: str
    line: int
    text: str


@dataclass(frozen=True)
class SettingConstraint:
    """The unit and the range that the value of a setting must have."""

    unit: Unit
    minimum: float
    maximum: float = math.inf
    is_integer: bool = False


class _SyntaxError(Exception):
    pass


_TOKEN = re.compile(
    r"(?P<number>\d+(?:\.\d+)?)|(?P<name>[A-Za-z_][A-Za-z_0-9]*(?:\.[A-Za-z_][A-Za-z_0-9]*)*)"
    r"|(?P<sign><=|>=|==|[-+*/()<>=,])|(?P<space>[ \t\n]+)|(?P<bad>.)"
)


class _Parser:
    """A recursive-descent parser for one statement."""

    def __init__(self, text: str) -> None:
        self._tokens: list[tuple[str, str]] = []
        for match in _TOKEN.finditer(text):
            kind = str(match.lastgroup)
            if kind == "bad":
                raise _SyntaxError(f"unexpected character {match.group()!r}")
            if kind != "space":
                self._tokens.append((kind, match.group()))
        if len(self._tokens) > MAX_TOKENS_PER_STATEMENT:
            raise _SyntaxError(
                f"the statement has {len(self._tokens)} tokens, "
                f"at most {MAX_TOKENS_PER_STATEMENT} are allowed"
            )
        self._position = 0
        self._depth = 0

    def _peek(self) -> str:
        return self._tokens[self._position][1] if self._position < len(self._tokens) else "the end"

    def _next(self) -> tuple[str, str]:
        if self._position >= len(self._tokens):
            raise _SyntaxError("unexpected end of the expression")
        self._position += 1
        return self._tokens[self._position - 1]

    def _expect(self, text: str) -> None:
        if self._peek() != text:
            raise _SyntaxError(f"expected {text!r}, found {self._peek()!r}")
        self._position += 1

    def parse_statement(self) -> tuple[str, Expression]:
        kind, name = self._next()
        if kind != "name" or name in KEYWORDS:
            raise _SyntaxError(f"expected the name of a setting, found {name!r}")
        self._expect("=")
        expression = self._parse_expression()
        if self._position < len(self._tokens):
            raise _SyntaxError(f"unexpected {self._peek()!r} after the expression")
        return name, expression

    def _parse_expression(self) -> Expression:
        self._depth += 1
        if self._depth > MAX_NESTING_DEPTH:
            raise _SyntaxError(f"nested more than {MAX_NESTING_DEPTH} levels deep")
        try:
            if self._peek() != "if":
                return self._parse_sum()
            self._position += 1
            left = self._parse_sum()
            _, comparison = self._next()
            if comparison not in COMPARISONS:
                raise _SyntaxError(f"expected a comparison operator, found {comparison!r}")
            right = self._parse_sum()
            self._expect("then")
            then = self._parse_expression()
            self._expect("else")
            return Conditional(comparison, left, right, then, self._parse_expression())
        finally:
            self._depth -= 1

    def _parse_sum(self) -> Expression:
        return self._parse_chain(("+", "-"), self._parse_term)

    def _parse_term(self) -> Expression:
        return self._parse_chain(("*", "/"), self._parse_factor)

    def _parse_chain(
        self, signs: tuple[str, str], parse_operand: Callable[[], Expression]
    ) -> Expression:
        """Parses operands that are joined by any of the signs, associating to the left."""
        result = parse_operand()
        while self._peek() in signs:
            _, sign = self._next()
            result = Call(sign, (result, parse_operand()))
        return result

    def _parse_factor(self) -> Expression:
        kind, text = self._next()
        if kind == "number":
            unit, scale = PLAIN, 1.0
            if self._peek() in UNITS:
                unit, scale = UNITS[self._next()[1]]
            return Number(float(text) * scale, unit)
        if text == "-":
            self._depth += 1
            if self._depth > MAX_NESTING_DEPTH:
                raise _SyntaxError(f"nested more than {MAX_NESTING_DEPTH} levels deep")
            negated = Call("*", (Number(-1.0, PLAIN), self._parse_factor()))
            self._depth -= 1
            return negated
        if text == "(":
            inner = self._parse_expression()
            self._expect(")")
            return inner
        if text in ("min", "max"):
            self._expect("(")
            arguments = [self._parse_expression()]
            while self._peek() == ",":
                self._position += 1
                arguments.append(self._parse_expression())
            self._expect(")")
            return Call(text, tuple(arguments))
        if kind == "name" and text not in KEYWORDS:
            return Name(text)
        raise _SyntaxError(f"expected a number, a name or an expression, found {text!r}")


def parse(text: str, file: str) -> list[Statement]:
    """Parses the text of a policy file; raises `PolicyError` with every syntax error."""
    statements: list[Statement] = []
    faults: list[Fault] = []
    pending, first_line = "", 0
    lines = text.split("\n")
    for number, line in enumerate(lines, 1):
        line = line.partition("#")[0].rstrip("\r")
        if not pending and not line.strip():
            continue
        first_line = first_line if pending else number
        pending += line + "\n"
        if pending.count("(") > pending.count(")") and number < len(lines):
            continue
        try:
            name, expression = _Parser(pending).parse_statement()
            statements.append(
                Statement(
                    name, expression, file, first_line, " ".join(pending.partition("=")[2].split())
                )
            )
        except _SyntaxError as error:
            faults.append(Fault(file, first_line, str(error)))
        pending = ""
    if faults:
        raise PolicyError(faults)
    return statements


def _suggest_name(name: str, names: list[str]) -> str:
    matches = difflib.get_close_matches(name, names, 1, 0.5)
    return f"; did you mean {matches[0]!r}?" if matches else ""


class _Checker:
    """Checks the names, units and references of a set of statements without evaluating them."""

    def __init__(
        self,
        statements: dict[str, Statement],
        constraints: Mapping[str, SettingConstraint],
        platform: Mapping[str, Unit],
    ) -> None:
        self._statements, self._constraints, self._platform = statements, constraints, platform
        self.faults: list[Fault] = []

    def check_all(self) -> None:
        """Checks every statement and adds each fault to `faults`."""
        names = [*self._constraints, *self._platform]
        for statement in self._statements.values():
            if statement.name not in self._constraints:
                self._add_fault(
                    statement,
                    f"unknown setting {statement.name!r}{_suggest_name(statement.name, names)}",
                )
                continue
            unit = self._infer_unit(statement.expression, statement)
            expected_unit = self._constraints[statement.name].unit
            if unit is not None and unit != expected_unit:
                self._add_fault(
                    statement,
                    f"{statement.name} has the wrong unit: got {unit}, expected {expected_unit}",
                )
        self._check_cycles()

    def _add_fault(self, statement: Statement, reason: str) -> None:
        self.faults.append(Fault(statement.file, statement.line, reason))

    def _infer_unit(self, expression: Expression, statement: Statement) -> Unit | None:
        """Returns the unit of an expression; None if it is invalid, after adding the fault."""
        match expression:
            case Number(_, unit):
                return unit
            case Name(name):
                if name in self._constraints:
                    if name not in self._statements:
                        self._add_fault(statement, f"{name} has no value")
                    return self._constraints[name].unit
                if name in self._platform:
                    return self._platform[name]
                self._add_fault(
                    statement,
                    f"unknown name {name!r}"
                    f"{_suggest_name(name, [*self._constraints, *self._platform])}",
                )
                return None
            case Conditional(_, left, right, then, otherwise):
                compared = self._find_common_unit(left, right, statement, "the compared values")
                result = self._find_common_unit(
                    then, otherwise, statement, "the results of 'then' and 'else'"
                )
                return result if compared is not None else None
            case Call("*" | "/" as sign, (left, right)):
                left_unit, right_unit = (
                    self._infer_unit(left, statement),
                    self._infer_unit(right, statement),
                )
                if left_unit is None or right_unit is None:
                    return None
                exponent_sign = 1 if sign == "*" else -1
                return Unit(
                    left_unit.seconds + exponent_sign * right_unit.seconds,
                    left_unit.gigabytes + exponent_sign * right_unit.gigabytes,
                )
            case Call(name, arguments):
                result = self._infer_unit(arguments[0], statement)
                for argument in arguments[1:]:
                    other = self._infer_unit(argument, statement)
                    if result is not None and other is not None and other != result:
                        self._add_fault(
                            statement, f"{name!r} of different units: {result} and {other}"
                        )
                        return None
                    result = None if other is None else result
                return result
        raise AssertionError(expression)

    def _find_common_unit(
        self, left: Expression, right: Expression, statement: Statement, context: str
    ) -> Unit | None:
        """Infers the unit of both expressions; adds a fault and returns None if they differ."""
        left_unit, right_unit = (
            self._infer_unit(left, statement),
            self._infer_unit(right, statement),
        )
        if left_unit is not None and right_unit is not None and left_unit != right_unit:
            self._add_fault(
                statement, f"{context} have different units: {left_unit} and {right_unit}"
            )
            return None
        return left_unit if right_unit is not None else None

    def _check_cycles(self) -> None:
        """Adds a fault for each circular reference."""
        visited: set[str] = set()

        def visit(name: str, path: tuple[str, ...]) -> None:
            if name in path:
                cycle = " -> ".join([*path[path.index(name) :], name])
                self._add_fault(self._statements[name], f"circular reference: {cycle}")
                visited.update(path)
            if name in visited or name not in self._statements:
                return
            for other in collect_names(self._statements[name].expression):
                visit(other, (*path, name))
            visited.add(name)

        for name in self._statements:
            visit(name, ())


def collect_names(expression: Expression) -> list[str]:
    """Returns the names that an expression refers to."""
    match expression:
        case Name(name):
            return [name]
        case Call(_, arguments):
            return [name for argument in arguments for name in collect_names(argument)]
        case Conditional(_, left, right, then, otherwise):
            return [name for part in (left, right, then, otherwise) for name in collect_names(part)]
        case _:
            return []


def _evaluate_expression(expression: Expression, look_up: Callable[[str], float]) -> float:
    match expression:
        case Number(value, _):
            return value
        case Name(name):
            return look_up(name)
        case Conditional(comparison, left, right, then, otherwise):
            is_true = COMPARISONS[comparison](
                _evaluate_expression(left, look_up), _evaluate_expression(right, look_up)
            )
            return _evaluate_expression(then if is_true else otherwise, look_up)
        case Call("min", arguments):
            return min(_evaluate_expression(argument, look_up) for argument in arguments)
        case Call("max", arguments):
            return max(_evaluate_expression(argument, look_up) for argument in arguments)
        case Call(sign, (left, right)):
            return ARITHMETIC[sign](
                _evaluate_expression(left, look_up), _evaluate_expression(right, look_up)
            )
    raise AssertionError(expression)


def evaluate(
    statements: dict[str, Statement],
    constraints: Mapping[str, SettingConstraint],
    platform: Mapping[str, tuple[float, Unit]],
) -> dict[str, float]:
    """Returns the value of each setting, or raises `PolicyError` with every fault.

    Statements are evaluated only if all of them passed the checks of names and units.
    """
    checker = _Checker(
        statements, constraints, {name: unit for name, (_, unit) in platform.items()}
    )
    checker.check_all()
    if checker.faults:
        raise PolicyError(sorted(checker.faults))
    values: dict[str, float] = {}
    faults: list[Fault] = []

    def evaluate_name(name: str) -> float:
        if name in platform:
            return platform[name][0]
        if name not in values:
            try:
                values[name] = _evaluate_expression(statements[name].expression, evaluate_name)
            except ZeroDivisionError:
                faults.append(
                    Fault(statements[name].file, statements[name].line, f"{name} divides by zero")
                )
                # Settings that depend on this one become NaN too and are not reported again.
                values[name] = math.nan
        return values[name]

    for name, statement in statements.items():
        value, constraint = evaluate_name(name), constraints[name]
        if math.isnan(value):
            continue
        if not math.isfinite(value) or not constraint.minimum <= value <= constraint.maximum:
            faults.append(
                Fault(
                    statement.file,
                    statement.line,
                    f"{name} is {value:g}, it must be between {constraint.minimum:g} "
                    f"and {constraint.maximum:g}",
                )
            )
        elif constraint.is_integer and value != int(value):
            faults.append(
                Fault(
                    statement.file,
                    statement.line,
                    f"{name} is {value:g}, it must be a whole number",
                )
            )
    if faults:
        raise PolicyError(faults)
    return values
