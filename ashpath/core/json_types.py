"""What JSON is inside the program, until a module of its format has parsed it."""

from __future__ import annotations

from typing import Any

JsonObject = dict[str, Any]
"""An object as the parser returns it: nothing in it is checked yet."""
