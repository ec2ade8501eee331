"""The users' platform: its names, formats and calls. Nothing here decides anything.

No other package knows these names; they are decoded here, once, into the core's types.
"""

from __future__ import annotations
