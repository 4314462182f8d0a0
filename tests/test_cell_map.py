"""Cell maps and deploy files: what is refused, and the commands that check and apply them."""

from __future__ import annotations

import threading
from pathlib import Path
from typing import TYPE_CHECKING

import msgspec
import pytest

from flaxtally.cells.map import Cell, CellIndex, CellMap, CellMapError, read_file
from flaxtally.cells.map_keeper import MAP_KEY
from flaxtally.cells.membership import CellSetup
from flaxtally.cli import main
from flaxtally.emulator.controller_settings import render_settings
from flaxtally.emulator.plan import Plan
from flaxtally.fakes.key_value_store import FakeKeyValueStore
from flaxtally.runtime.loop import Loop
from flaxtally.settings import load

from .simulated_cells import cell_map

if TYPE_CHECKING:
    from collections.abc import Iterator

ROOT = Path(__file__).resolve().parent.parent
NORTH = '[[cells.cell]]\nname = "north"\nzones = ["zone-0"]\ncontrollers = ["controller-0"]\n'
SOUTH = (
    '[[cells.cell]]\nname = "south"\nzones = ["zone-1", "zone-2"]\n'
    'controllers = ["controller-1", "controller-2"]\n'
)
SOUND = "[cells]\nversion = 1\n" + NORTH + SOUTH
STATE_PORT = 24990


def write(folder: Path, text: str, name: str = "scale.toml") -> str:
    path = folder / name
    path.write_text(text)
    return str(path)


@pytest.mark.parametrize(
    ("text", "place"),
    [
        ("cells = 3\n", "cells.missing, or not a table"),
        ("[cells]\nversion = 1\n", "cells.cell: 0 of them"),
        (SOUND.replace("version = 1", "version = 0"), "cells.version: 0 is below 1"),
        (SOUND.replace("version = 1", 'version = "x"'), "$.version"),
        (SOUND.replace("version = 1", "version = 1\nvariant = 2"), "cells.variant: unknown"),
        (SOUND.replace("version = 1", 'version = 1\nstate = "nowhere"'), "cells.state: not HOST"),
        (
            SOUND.replace('"zone-1"', '"zone-0"'),
            "cells.cell[1].zones: zone-0 is in north and south",
        ),
        (
            SOUND.replace('"controller-1"', '"controller-0"'),
            "cells.cell[1].controllers: controller-0",
        ),
        (SOUND.replace('["zone-0"]', "[]"), "cells.cell[0].zones: cell north has none"),
        (SOUND.replace('["controller-0"]', "[]"), "cells.cell[0].controllers: cell north has none"),
        (SOUND.replace('"south"', '"north"'), "cells.cell[1].name: north is there twice"),
        (SOUND.replace('"south"', '"South!"'), "cells.cell[1].name"),
        (SOUND + "opened = true\n", "opened"),
        ("[cells\n", "scale.toml"),
    ],
)
def test_a_deploy_file_with_a_fault_is_refused_with_its_place(
    tmp_path: Path, text: str, place: str, capsys: pytest.CaptureFixture[str]
) -> None:
    path = write(tmp_path, text)
    assert main(["cells", "check", path]) == 2
    shown = capsys.readouterr()
    assert place in shown.err
    assert shown.err.count("\n") == 1
    assert shown.out == ""


def test_a_sound_file_is_said_to_be(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["cells", "check", write(tmp_path, SOUND)]) == 0
    assert "2 cells, version 1" in capsys.readouterr().out


def test_a_file_that_is_not_there_is_named(capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["cells", "check", "/nowhere/scale.toml"]) == 2
    assert "/nowhere/scale.toml" in capsys.readouterr().err


def test_the_shipped_file_is_sound_and_starts_the_service() -> None:
    import tomllib

    path = ROOT / "deploy" / "scale.toml"
    assert len(read_file(str(path)).map.cells) > 1
    deploy = tomllib.loads(path.read_text())
    assert deploy["run"].endswith("--cells deploy/scale.toml --config")
    assert "requirements-cells.txt" in deploy["build"]


@pytest.mark.parametrize(
    ("newer", "place"),
    [
        (cell_map(1), "version: 1 is not newer than 1"),
        (CellMap(2, cell_map().cells[:1]), "zone b: missing"),
        (
            CellMap(2, (Cell("north", ("a", "b"), cell_map().cells[0].controllers),)),
            "zone b: in north; cell south has it for good",
        ),
        (
            CellMap(2, (*cell_map().cells[:1], Cell("south", ("b",), ("south-0", "south-1")))),
            "controller south-2: missing",
        ),
    ],
)
def test_a_map_that_takes_something_from_a_cell_may_not_follow(newer: CellMap, place: str) -> None:
    index = CellIndex(cell_map())
    with pytest.raises(CellMapError) as refused:
        index.followed_by(newer)
    assert str(refused.value).startswith(place)
    assert index.version == 1


def test_a_map_with_a_new_cell_may_follow_and_who_reads_the_old_one_sees_the_old() -> None:
    index = CellIndex(cell_map())
    newer = index.followed_by(CellMap(2, (*cell_map().cells, Cell("west", ("c",), ("west-0",)))))
    assert newer.by_zone["c"].name == "west"
    assert "c" not in index.by_zone
    assert set(index.cells) == {"north", "south"}


# For a controller


def config(folder: Path, number: int = 0) -> str:
    return write(folder, render_settings(Plan(workers=60), number), f"node-{number}.toml")


def test_a_cell_has_its_own_peers_zones_keys_and_part_of_the_rates(tmp_path: Path) -> None:
    settings = load(config(tmp_path, 1))
    setup = CellSetup(read_file(write(tmp_path, SOUND)), settings)
    own = setup.own
    assert (setup.cell.name, setup.prefix) == ("south", "cell/south/")
    assert set(own.peers) == {"controller-2"}
    assert own.zones == ("zone-1", "zone-2")
    # One state service and one cloud for both: rates are divided, and some are left for all.
    assert own.state_limits.write_rps == pytest.approx(50.0 * 0.8 / 2)
    assert own.cloud_rps == pytest.approx(2.5)
    assert setup.shared_state == settings.state


def test_cells_with_a_shared_state_service_apart_have_all_of_their_own(tmp_path: Path) -> None:
    text = SOUND.replace("version = 1", 'version = 1\nstate = "10.9.0.1:2379"')
    setup = CellSetup(read_file(write(tmp_path, text)), load(config(tmp_path)))
    assert setup.shared_state == ("10.9.0.1", 2379)
    assert setup.own.state_limits.write_rps == 50.0


@pytest.mark.parametrize(
    ("old", "new", "place"),
    [
        ('"controller-0"', '"elsewhere"', "controller controller-0 is in no cell"),
        ('["controller-0"]', '["controller-0", "far"]', "controller far of cell north"),
        ('"zone-0"', '"zone-9"', "zone zone-9 of cell north is not in the settings"),
    ],
)
def test_a_file_that_contradicts_the_settings_is_refused(
    tmp_path: Path, old: str, new: str, place: str, capsys: pytest.CaptureFixture[str]
) -> None:
    path = write(tmp_path, SOUND.replace(old, new))
    assert main(["check", "--config", config(tmp_path), "--cells", path]) == 2
    assert place in capsys.readouterr().err


def test_a_file_with_one_cell_is_the_undivided_fleet(tmp_path: Path) -> None:
    import argparse

    from flaxtally.cli.controller_commands import read_cells

    one = (
        '[cells]\nversion = 1\n[[cells.cell]]\nname = "all"\nzones = ["zone-0"]\n'
        'controllers = ["controller-0"]\n'
    )
    settings = load(config(tmp_path))
    assert read_cells(argparse.Namespace(cells=write(tmp_path, one)), settings) is None
    assert read_cells(argparse.Namespace(cells=None), settings) is None
    assert read_cells(argparse.Namespace(cells=write(tmp_path, SOUND)), settings) is not None


# Commands against a state service


class Service:
    """A state service on loopback, in a thread of its own."""

    def __init__(self) -> None:
        self.loop = Loop()
        self.state = FakeKeyValueStore(self.loop, ("127.0.0.1", STATE_PORT))
        self.where = f"127.0.0.1:{STATE_PORT}"
        self._thread = threading.Thread(target=self.loop.run)
        # The loop looks whether it is to stop at its next turn.
        self._tick()
        self._thread.start()

    def _tick(self) -> None:
        self.loop.after(0.02, self._tick)

    def close(self) -> None:
        self.loop.stop()
        self._thread.join()
        self.loop.close()


@pytest.fixture
def service() -> Iterator[Service]:
    running = Service()
    yield running
    running.close()


@pytest.mark.real_processes
def test_maps_are_applied_in_their_order_and_shown(
    tmp_path: Path, service: Service, capsys: pytest.CaptureFixture[str]
) -> None:
    first = write(tmp_path, SOUND, "first.toml")
    second = write(
        tmp_path, SOUND.replace("version = 1", "version = 2") + "open = false\n", "second.toml"
    )
    assert main(["cells", "show", "--state", service.where]) == 1
    assert main(["cells", "apply", first, "--state", service.where]) == 0
    assert main(["cells", "apply", second, "--state", service.where]) == 0
    before = service.state.rows[MAP_KEY]
    capsys.readouterr()
    assert main(["cells", "apply", first, "--state", service.where]) == 2
    assert "version: 1 is not newer than 2" in capsys.readouterr().err
    moved = write(tmp_path, SOUND.replace("version = 1", "version = 3").replace("zone-2", "zone-9"))
    assert main(["cells", "apply", moved, "--state", service.where]) == 2
    assert "zone zone-2: missing" in capsys.readouterr().err
    assert service.state.rows[MAP_KEY] == before, "nothing changed"
    assert main(["cells", "show", "--state", service.where]) == 0
    shown = capsys.readouterr().out
    assert "version 2" in shown
    assert "cell south: takes no new jobs; zones zone-1 zone-2" in shown


@pytest.mark.real_processes
def test_no_state_service_and_no_address_are_said(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = write(tmp_path, SOUND)
    assert main(["cells", "apply", path, "--state", "127.0.0.1:1"]) == 1
    assert "no answer" in capsys.readouterr().err
    assert main(["cells", "apply", path, "--state", "nowhere"]) == 2
    assert "not HOST:PORT" in capsys.readouterr().err


def test_a_map_is_plain_data_at_the_state_service() -> None:
    value = msgspec.to_builtins(cell_map())
    assert value["cells"][0] == {
        "name": "north",
        "zones": ("a",),
        "controllers": ("north-0", "north-1", "north-2"),
        "open": True,
    }
