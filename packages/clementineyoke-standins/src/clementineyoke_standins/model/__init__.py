"""Small specifications of the core protocols, for the model checker."""

from __future__ import annotations
