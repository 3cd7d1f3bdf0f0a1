"""Dependencies between the packages: which of them may import which."""

from __future__ import annotations

import ast
from pathlib import Path

import pytest

SOURCE = Path(__file__).parent.parent / "src"
ALLOWED = {
    "foxtailwell/core": {"foxtailwell.core"},
    "foxtailwell/adapters": {"foxtailwell.core", "foxtailwell.adapters"},
    "foxtailwell/fleet": {"foxtailwell.core", "foxtailwell.adapters", "foxtailwell.fleet"},
    "foxtailwell/entry": {
        "foxtailwell.core",
        "foxtailwell.adapters",
        "foxtailwell.fleet",
        "foxtailwell.entry",
    },
    "foxtailwell/scheduler": {
        "foxtailwell.core",
        "foxtailwell.adapters",
        "foxtailwell.fleet",
        "foxtailwell.scheduler",
    },
    "foxtailwell/workflows": {"foxtailwell.workflows"},
    "foxtailwell/controller": {
        "foxtailwell.core",
        "foxtailwell.adapters",
        "foxtailwell.workflows",
        "foxtailwell.controller",
    },
    "foxtailwell/instance": {
        "foxtailwell.core",
        "foxtailwell.adapters",
        "foxtailwell.workflows",
        "foxtailwell.controller",
        "foxtailwell.instance",
    },
}
PLATFORM_NAMES = (
    "kv-txn",
    "kv-range",
    "kv-watch",
    "kv-lease",
    "run-start",
    "run-stop",
    "/-/hold",
    "X-Expect-Instance",
    "FOXTAILWELL_BOOT",
    "op/config",
    "servers/",
    'data_rack"',
    "fencing_token",
)
CORE_LIBRARIES = {"result"}
IO_MODULES = {"socket", "os", "time", "random", "asyncio", "threading", "pathlib", "datetime"}


def _imports(path: Path) -> set[str]:
    names: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            names |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom) and node.module:
            names.add(node.module)
    return names


@pytest.mark.parametrize("package", sorted(ALLOWED))
def test_package_imports_only_what_its_layer_allows(package):
    """Guards against imports of a higher layer, which would bring I/O into the core."""
    allowed = ALLOWED[package]
    files = list((SOURCE / package).rglob("*.py"))
    assert files
    for path in files:
        internal = {name for name in _imports(path) if name.split(".")[0].startswith("foxtailwell")}
        disallowed = {
            n for n in internal if n != "foxtailwell" and not any(n.startswith(a) for a in allowed)
        }
        assert not disallowed, f"{path.name} imports {disallowed}"


def test_product_never_imports_stand_ins():
    """Guards against a product that needs the stand-ins or other development packages."""
    for path in (SOURCE / "foxtailwell").rglob("*.py"):
        top_level = {name.split(".")[0] for name in _imports(path)}
        assert not {t for t in top_level if t.startswith("foxtailwell_")}, path.name


@pytest.mark.parametrize("package", ["core", "workflows"])
def test_core_uses_no_input_or_output(package):
    """Guards against access to clocks, sockets or random sources in the pure packages."""
    for path in (SOURCE / "foxtailwell" / package).rglob("*.py"):
        top_level = {name.split(".")[0] for name in _imports(path)}
        assert not top_level & IO_MODULES, path.name


def test_names_of_the_platform_stay_in_its_folder():
    """Guards against paths and field names of the platform outside its adapter."""
    for path in (SOURCE / "foxtailwell").rglob("*.py"):
        if path.parent.name == "platform":
            continue
        assert not any(n.startswith("foxtailwell.platform") for n in _imports(path)), path
        text = path.read_text()
        assert not [name for name in PLATFORM_NAMES if name in text], path
