"""The operators' settings: a small expression language, checked before evaluation.

    file      = { NAME "=" expr NEWLINE }            "#": comment; lines may go on in brackets
    expr      = "if" sum COMPARE sum "then" expr "else" expr | sum
    sum       = term { ("+" | "-") term }
    term      = factor { ("*" | "/") factor }
    factor    = NUMBER [ "ms" | "s" | "GB" | "share" ] | NAME
              | ("min" | "max") "(" expr { "," expr } ")"
              | "-" factor | "(" expr ")"
    COMPARE   = "<" | "<=" | ">" | ">=" | "=="

A parser of our own: the one library that was measured (lark 1.3.1) adds 0.17 s and 12 MB to each
start of a controller, on a share of a core, just when a dead one is to be replaced.
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
    """Powers of seconds and of GB; a share or a count is a plain number."""

    seconds: int = 0
    gigabytes: int = 0

    def __str__(self) -> str:
        powers = zip(("s", "GB"), self, strict=True)
        parts = [f"{name}^{power}" if power != 1 else name for name, power in powers if power]
        return "*".join(parts) or "a plain number"


PLAIN, TIME, SIZE, RATE = Unit(), Unit(1), Unit(0, 1), Unit(-1)
UNITS = {"ms": (TIME, 0.001), "s": (TIME, 1.0), "GB": (SIZE, 1.0), "share": (PLAIN, 1.0)}
COMPARE: dict[str, Callable[[float, float], bool]] = {
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
DEEPEST = 20
LONGEST = 60


class Fault(NamedTuple):
    """What is wrong, and where."""

    file: str
    line: int
    reason: str

    def __str__(self) -> str:
        return f"{self.file}:{self.line}: {self.reason}"


class PolicyError(Exception):
    """One or more faults."""

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
    """A reference to a setting, or to a figure of the platform's file."""

    name: str


@dataclass(frozen=True)
class Call:
    """Arithmetic, `min` or `max`."""

    function: str
    arguments: tuple[Expression, ...]


@dataclass(frozen=True)
class Choice:
    """`if … then … else …`."""

    compare: str
    left: Expression
    right: Expression
    then: Expression
    otherwise: Expression


Expression = Number | Name | Call | Choice


@dataclass(frozen=True)
class Statement:
    """One setting of a file, and where it stands."""

    name: str
    expression: Expression
    file: str
    line: int
    text: str


@dataclass(frozen=True)
class Known:
    """What a setting must be: its unit and its range."""

    unit: Unit
    least: float
    most: float = math.inf
    whole: bool = False


class _SyntaxError(Exception):
    pass


_token = re.compile(
    r"(?P<number>\d+(?:\.\d+)?)|(?P<name>[A-Za-z_][A-Za-z_0-9]*(?:\.[A-Za-z_][A-Za-z_0-9]*)*)"
    r"|(?P<sign><=|>=|==|[-+*/()<>=,])|(?P<space>[ \t\n]+)|(?P<bad>.)"
)


class _Parser:
    """One statement."""

    def __init__(self, text: str) -> None:
        self._tokens: list[tuple[str, str]] = []
        for match in _token.finditer(text):
            kind = str(match.lastgroup)
            if kind == "bad":
                raise _SyntaxError(f"{match.group()!r} has no place here")
            if kind != "space":
                self._tokens.append((kind, match.group()))
        if len(self._tokens) > LONGEST:
            raise _SyntaxError(f"longer than {LONGEST} words and signs")
        self._at = 0
        self._depth = 0

    def _peek(self) -> str:
        return self._tokens[self._at][1] if self._at < len(self._tokens) else "the end"

    def _next(self) -> tuple[str, str]:
        if self._at >= len(self._tokens):
            raise _SyntaxError("the expression ends too early")
        self._at += 1
        return self._tokens[self._at - 1]

    def _expect(self, text: str) -> None:
        if self._peek() != text:
            raise _SyntaxError(f"expected {text!r}, found {self._peek()!r}")
        self._at += 1

    def statement(self) -> tuple[str, Expression]:
        kind, name = self._next()
        if kind != "name" or name in KEYWORDS:
            raise _SyntaxError(f"expected the name of a setting, found {name!r}")
        self._expect("=")
        expression = self._expression()
        if self._at < len(self._tokens):
            raise _SyntaxError(f"{self._peek()!r} is left over")
        return name, expression

    def _expression(self) -> Expression:
        self._depth += 1
        if self._depth > DEEPEST:
            raise _SyntaxError("nested too deeply")
        try:
            if self._peek() != "if":
                return self._sum()
            self._at += 1
            left = self._sum()
            _, compare = self._next()
            if compare not in COMPARE:
                raise _SyntaxError(f"expected a comparison, found {compare!r}")
            right = self._sum()
            self._expect("then")
            then = self._expression()
            self._expect("else")
            return Choice(compare, left, right, then, self._expression())
        finally:
            self._depth -= 1

    def _sum(self) -> Expression:
        return self._chain(("+", "-"), self._term)

    def _term(self) -> Expression:
        return self._chain(("*", "/"), self._factor)

    def _chain(self, signs: tuple[str, str], part: Callable[[], Expression]) -> Expression:
        found = part()
        while self._peek() in signs:
            _, sign = self._next()
            found = Call(sign, (found, part()))
        return found

    def _factor(self) -> Expression:
        kind, text = self._next()
        if kind == "number":
            unit, scale = PLAIN, 1.0
            if self._peek() in UNITS:
                unit, scale = UNITS[self._next()[1]]
            return Number(float(text) * scale, unit)
        if text == "-":
            self._depth += 1
            if self._depth > DEEPEST:
                raise _SyntaxError("nested too deeply")
            negative = Call("*", (Number(-1.0, PLAIN), self._factor()))
            self._depth -= 1
            return negative
        if text == "(":
            found = self._expression()
            self._expect(")")
            return found
        if text in ("min", "max"):
            self._expect("(")
            arguments = [self._expression()]
            while self._peek() == ",":
                self._at += 1
                arguments.append(self._expression())
            self._expect(")")
            return Call(text, tuple(arguments))
        if kind == "name" and text not in KEYWORDS:
            return Name(text)
        raise _SyntaxError(f"{text!r} has no place here")


def parse(text: str, file: str) -> list[Statement]:
    """The statements of a file; raises PolicyError with all that can't be read."""
    statements: list[Statement] = []
    faults: list[Fault] = []
    pending, began = "", 0
    lines = text.split("\n")
    for number, line in enumerate(lines, 1):
        line = line.partition("#")[0].rstrip("\r")
        if not pending and not line.strip():
            continue
        began = began if pending else number
        pending += line + "\n"
        if pending.count("(") > pending.count(")") and number < len(lines):
            continue
        try:
            name, expression = _Parser(pending).statement()
            statements.append(
                Statement(
                    name, expression, file, began, " ".join(pending.partition("=")[2].split())
                )
            )
        except _SyntaxError as fault:
            faults.append(Fault(file, began, str(fault)))
        pending = ""
    if faults:
        raise PolicyError(faults)
    return statements


def _nearest(name: str, names: list[str]) -> str:
    close = difflib.get_close_matches(name, names, 1, 0.5)
    return f"; did you mean {close[0]!r}?" if close else ""


class _Check:
    """Units and names of one set of statements, without evaluating anything."""

    def __init__(
        self,
        statements: dict[str, Statement],
        known: Mapping[str, Known],
        platform: Mapping[str, Unit],
    ) -> None:
        self._statements, self._known, self._platform = statements, known, platform
        self.faults: list[Fault] = []

    def all(self) -> None:
        names = [*self._known, *self._platform]
        for statement in self._statements.values():
            if statement.name not in self._known:
                self._fault(
                    statement,
                    f"no such setting: {statement.name!r}{_nearest(statement.name, names)}",
                )
                continue
            unit = self._unit(statement.expression, statement)
            wanted = self._known[statement.name].unit
            if unit is not None and unit != wanted:
                self._fault(statement, f"{statement.name} is in {unit}, it must be in {wanted}")
        self._cycles()

    def _fault(self, statement: Statement, reason: str) -> None:
        self.faults.append(Fault(statement.file, statement.line, reason))

    def _unit(self, expression: Expression, where: Statement) -> Unit | None:
        """The unit, or None after a fault was noted."""
        match expression:
            case Number(_, unit):
                return unit
            case Name(name):
                if name in self._known:
                    if name not in self._statements:
                        self._fault(where, f"{name} has no value")
                    return self._known[name].unit
                if name in self._platform:
                    return self._platform[name]
                self._fault(
                    where, f"unknown name {name!r}{_nearest(name, [*self._known, *self._platform])}"
                )
                return None
            case Choice(_, left, right, then, otherwise):
                compared = self._same(left, right, where, "compared")
                result = self._same(then, otherwise, where, "either result")
                return result if compared is not None else None
            case Call("*" | "/" as sign, (left, right)):
                one, two = self._unit(left, where), self._unit(right, where)
                if one is None or two is None:
                    return None
                way = 1 if sign == "*" else -1
                return Unit(one.seconds + way * two.seconds, one.gigabytes + way * two.gigabytes)
            case Call(name, arguments):
                found = self._unit(arguments[0], where)
                for argument in arguments[1:]:
                    other = self._unit(argument, where)
                    if found is not None and other is not None and other != found:
                        self._fault(where, f"{name!r} of {found} and {other}")
                        return None
                    found = None if other is None else found
                return found
        raise AssertionError(expression)

    def _same(
        self, left: Expression, right: Expression, where: Statement, what: str
    ) -> Unit | None:
        one, two = self._unit(left, where), self._unit(right, where)
        if one is not None and two is not None and one != two:
            self._fault(where, f"{what}: {one} and {two}")
            return None
        return one if two is not None else None

    def _cycles(self) -> None:
        done: set[str] = set()

        def visit(name: str, path: tuple[str, ...]) -> None:
            if name in path:
                loop = " -> ".join([*path[path.index(name) :], name])
                self._fault(self._statements[name], f"goes round in circles: {loop}")
                done.update(path)
            if name in done or name not in self._statements:
                return
            for other in names_in(self._statements[name].expression):
                visit(other, (*path, name))
            done.add(name)

        for name in self._statements:
            visit(name, ())


def names_in(expression: Expression) -> list[str]:
    """The names that an expression refers to."""
    match expression:
        case Name(name):
            return [name]
        case Call(_, arguments):
            return [name for argument in arguments for name in names_in(argument)]
        case Choice(_, left, right, then, otherwise):
            return [name for part in (left, right, then, otherwise) for name in names_in(part)]
        case _:
            return []


def _value(expression: Expression, names: Callable[[str], float]) -> float:
    match expression:
        case Number(value, _):
            return value
        case Name(name):
            return names(name)
        case Choice(compare, left, right, then, otherwise):
            holds = COMPARE[compare](_value(left, names), _value(right, names))
            return _value(then if holds else otherwise, names)
        case Call("min", arguments):
            return min(_value(argument, names) for argument in arguments)
        case Call("max", arguments):
            return max(_value(argument, names) for argument in arguments)
        case Call(sign, (left, right)):
            return ARITHMETIC[sign](_value(left, names), _value(right, names))
    raise AssertionError(expression)


def evaluate(
    statements: dict[str, Statement],
    known: Mapping[str, Known],
    platform: Mapping[str, tuple[float, Unit]],
) -> dict[str, float]:
    """The value of each setting; raises PolicyError with every fault.

    Nothing is evaluated before all is checked.
    """
    check = _Check(statements, known, {name: unit for name, (_, unit) in platform.items()})
    check.all()
    if check.faults:
        raise PolicyError(sorted(check.faults))
    values: dict[str, float] = {}
    faults: list[Fault] = []

    def value(name: str) -> float:
        if name in platform:
            return platform[name][0]
        if name not in values:
            try:
                values[name] = _value(statements[name].expression, value)
            except ZeroDivisionError:
                faults.append(
                    Fault(statements[name].file, statements[name].line, f"{name} divides by zero")
                )
                # What follows from it is no fault of its own.
                values[name] = math.nan
        return values[name]

    for name, statement in statements.items():
        found, must = value(name), known[name]
        if math.isnan(found):
            continue
        if not math.isfinite(found) or not must.least <= found <= must.most:
            faults.append(
                Fault(
                    statement.file,
                    statement.line,
                    f"{name} is {found:g}, it must be between {must.least:g} and {must.most:g}",
                )
            )
        elif must.whole and found != int(found):
            faults.append(
                Fault(statement.file, statement.line, f"{name} is {found:g}, it must be whole")
            )
    if faults:
        raise PolicyError(faults)
    return values
