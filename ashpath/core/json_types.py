"""The type of JSON objects that have not been validated."""

from __future__ import annotations

from typing import Any

JsonObject = dict[str, Any]
"""An object as the JSON parser returns it; its keys and values are not validated."""
