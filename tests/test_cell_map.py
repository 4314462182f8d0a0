"""Cell maps and deploy files: which are refused, and the commands that check and apply them."""

from __future__ import annotations

import threading
from pathlib import Path
from typing import TYPE_CHECKING

import msgspec
import pytest

from flaxtally.cells.map import Cell, CellIndex, CellMap, CellMapError, read_file
from flaxtally.cells.map_watcher import MAP_KEY
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
VALID_FILE = "[cells]\nversion = 1\n" + NORTH + SOUTH
STATE_PORT = 24990


def write(folder: Path, text: str, name: str = "scale.toml") -> str:
    path = folder / name
    path.write_text(text)
    return str(path)


@pytest.mark.parametrize(
    ("text", "place"),
    [
        ("cells = 3\n", "cells.version: missing, because the file has no table [cells]"),
        ("[cells]\nversion = 1\n", "cells.cell: the map has 0 cells"),
        (VALID_FILE.replace("version = 1", "version = 0"), "cells.version: 0 is below 1"),
        (VALID_FILE.replace("version = 1", 'version = "x"'), "$.version"),
        (
            VALID_FILE.replace("version = 1", "version = 1\nvariant = 2"),
            "cells.variant: unknown field",
        ),
        (
            VALID_FILE.replace("version = 1", 'version = 1\nstate = "nowhere"'),
            "cells.state: 'nowhere' is not HOST",
        ),
        (
            VALID_FILE.replace('"zone-1"', '"zone-0"'),
            "cells.cell[1].zones: zone-0 is in cells north and south",
        ),
        (
            VALID_FILE.replace('"controller-1"', '"controller-0"'),
            "cells.cell[1].controllers: controller-0",
        ),
        (VALID_FILE.replace('["zone-0"]', "[]"), "cells.cell[0].zones: cell north has no zones"),
        (
            VALID_FILE.replace('["controller-0"]', "[]"),
            "cells.cell[0].controllers: cell north has no controllers",
        ),
        (
            VALID_FILE.replace('"south"', '"north"'),
            "cells.cell[1].name: north is already the name of another cell",
        ),
        (VALID_FILE.replace('"south"', '"South!"'), "cells.cell[1].name"),
        (VALID_FILE + "opened = true\n", "opened"),
        ("[cells\n", "scale.toml"),
    ],
)
def test_faulty_deploy_file_is_refused_with_one_line_that_names_the_field(
    tmp_path: Path, text: str, place: str, capsys: pytest.CaptureFixture[str]
) -> None:
    # An operator must see in one line which field of which file is wrong.
    path = write(tmp_path, text)
    assert main(["cells", "check", path]) == 2
    shown = capsys.readouterr()
    assert place in shown.err
    assert shown.err.count("\n") == 1
    assert shown.out == ""


def test_check_prints_cells_and_version_of_a_valid_file(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    # The operator must see which version of the map the checked file holds.
    assert main(["cells", "check", write(tmp_path, VALID_FILE)]) == 0
    assert "2 cells, version 1" in capsys.readouterr().out


def test_missing_deploy_file_is_named(capsys: pytest.CaptureFixture[str]) -> None:
    # The error must contain the path that the operator gave.
    assert main(["cells", "check", "/nowhere/scale.toml"]) == 2
    assert "/nowhere/scale.toml" in capsys.readouterr().err


def test_shipped_deploy_file_is_valid_and_starts_the_service() -> None:
    # With an invalid file, or commands that don't use it, no controller would start in its cell.
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
            "zone b: moved to cell north; it must stay in cell south",
        ),
        (
            CellMap(2, (*cell_map().cells[:1], Cell("south", ("b",), ("south-0", "south-1")))),
            "controller south-2: missing",
        ),
    ],
)
def test_map_that_takes_a_zone_or_controller_from_a_cell_is_refused(
    newer: CellMap, place: str
) -> None:
    # A machine whose zone changed its cell would get fencing tokens of two sequences, and a ledger
    # would have writers of two cells.
    index = CellIndex(cell_map())
    with pytest.raises(CellMapError) as refused:
        index.build_successor(newer)
    assert str(refused.value).startswith(place)
    assert index.version == 1


def test_map_with_a_new_cell_is_accepted_and_the_old_index_stays_the_same() -> None:
    # A reader of the old index must not see parts of the new map.
    index = CellIndex(cell_map())
    newer = index.build_successor(
        CellMap(2, (*cell_map().cells, Cell("west", ("c",), ("west-0",))))
    )
    assert newer.by_zone["c"].name == "west"
    assert "c" not in index.by_zone
    assert set(index.cells) == {"north", "south"}


# A controller's own cell


def write_config(folder: Path, number: int = 0) -> str:
    return write(folder, render_settings(Plan(workers=60), number), f"node-{number}.toml")


def test_cell_settings_have_its_peers_zones_key_prefix_and_part_of_the_rates(
    tmp_path: Path,
) -> None:
    # A controller that used the settings of the whole fleet would take controllers of other cells
    # for its peers, share their keys, and exceed the rates of the services that all cells use.
    settings = load(write_config(tmp_path, 1))
    setup = CellSetup(read_file(write(tmp_path, VALID_FILE)), settings)
    cell_settings = setup.cell_settings
    assert (setup.cell.name, setup.key_prefix) == ("south", "cell/south/")
    assert set(cell_settings.peers) == {"controller-2"}
    assert cell_settings.zones == ("zone-1", "zone-2")
    # Both cells use one state service and one cloud: rates are divided, and a part of the state
    # service's rate is left for shared keys.
    assert cell_settings.state_limits.write_rps == pytest.approx(50.0 * 0.8 / 2)
    assert cell_settings.cloud_rps == pytest.approx(2.5)
    assert setup.shared_state == settings.state


def test_cells_with_a_separate_shared_state_service_keep_the_full_rates(tmp_path: Path) -> None:
    # A separate service for the shared keys takes nothing from the rates of the cells' own service.
    text = VALID_FILE.replace("version = 1", 'version = 1\nstate = "10.9.0.1:2379"')
    setup = CellSetup(read_file(write(tmp_path, text)), load(write_config(tmp_path)))
    assert setup.shared_state == ("10.9.0.1", 2379)
    assert setup.cell_settings.state_limits.write_rps == 50.0


@pytest.mark.parametrize(
    ("old", "new", "place"),
    [
        ('"controller-0"', '"elsewhere"', "controller controller-0 is in no cell"),
        ('["controller-0"]', '["controller-0", "far"]', "controller far of cell north"),
        ('"zone-0"', '"zone-9"', "zone zone-9 of cell north is not in the settings"),
    ],
)
def test_deploy_file_that_contradicts_the_settings_is_refused(
    tmp_path: Path, old: str, new: str, place: str, capsys: pytest.CaptureFixture[str]
) -> None:
    # A controller must not start with a cell whose controllers or zones its settings do not have.
    path = write(tmp_path, VALID_FILE.replace(old, new))
    assert main(["check", "--config", write_config(tmp_path), "--cells", path]) == 2
    assert place in capsys.readouterr().err


def test_deploy_file_with_one_cell_is_an_undivided_fleet(tmp_path: Path) -> None:
    # A fleet whose file has a single cell must run like one without the file, under the same keys.
    import argparse

    from flaxtally.cli.controller_commands import read_cells

    one = (
        '[cells]\nversion = 1\n[[cells.cell]]\nname = "all"\nzones = ["zone-0"]\n'
        'controllers = ["controller-0"]\n'
    )
    settings = load(write_config(tmp_path))
    assert read_cells(argparse.Namespace(cells=write(tmp_path, one)), settings) is None
    assert read_cells(argparse.Namespace(cells=None), settings) is None
    assert read_cells(argparse.Namespace(cells=write(tmp_path, VALID_FILE)), settings) is not None


# Commands that call a state service


class Service:
    """A fake state service on loopback that runs in its own thread."""

    def __init__(self) -> None:
        self.loop = Loop()
        self.state = FakeKeyValueStore(self.loop, ("127.0.0.1", STATE_PORT))
        self.address = f"127.0.0.1:{STATE_PORT}"
        self._thread = threading.Thread(target=self.loop.run)
        # The loop only notices `stop` in its next iteration, so a timer keeps it running.
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
def test_maps_are_applied_in_the_order_of_versions_and_shown(
    tmp_path: Path, service: Service, capsys: pytest.CaptureFixture[str]
) -> None:
    # A map that is older, or moves a zone, must leave the stored one as it is.
    first = write(tmp_path, VALID_FILE, "first.toml")
    second = write(
        tmp_path, VALID_FILE.replace("version = 1", "version = 2") + "open = false\n", "second.toml"
    )
    assert main(["cells", "show", "--state", service.address]) == 1
    assert main(["cells", "apply", first, "--state", service.address]) == 0
    assert main(["cells", "apply", second, "--state", service.address]) == 0
    before = service.state.rows[MAP_KEY]
    capsys.readouterr()
    assert main(["cells", "apply", first, "--state", service.address]) == 2
    assert "version: 1 is not newer than 2" in capsys.readouterr().err
    moved = write(
        tmp_path, VALID_FILE.replace("version = 1", "version = 3").replace("zone-2", "zone-9")
    )
    assert main(["cells", "apply", moved, "--state", service.address]) == 2
    assert "zone zone-2: missing" in capsys.readouterr().err
    assert service.state.rows[MAP_KEY] == before, "nothing changed"
    assert main(["cells", "show", "--state", service.address]) == 0
    shown = capsys.readouterr().out
    assert "version 2" in shown
    assert "cell south: takes no new jobs; zones zone-1 zone-2" in shown


@pytest.mark.real_processes
def test_unreachable_state_service_and_malformed_address_are_reported(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    # An operator must be able to tell an unreachable service from a wrong command line.
    path = write(tmp_path, VALID_FILE)
    assert main(["cells", "apply", path, "--state", "127.0.0.1:1"]) == 1
    assert "no answer" in capsys.readouterr().err
    assert main(["cells", "apply", path, "--state", "nowhere"]) == 2
    assert "not HOST:PORT" in capsys.readouterr().err


def test_map_is_stored_as_plain_data() -> None:
    # The stored fields are read by controllers of other versions.
    value = msgspec.to_builtins(cell_map())
    assert value["cells"][0] == {
        "name": "north",
        "zones": ("a",),
        "controllers": ("north-0", "north-1", "north-2"),
        "open": True,
    }
