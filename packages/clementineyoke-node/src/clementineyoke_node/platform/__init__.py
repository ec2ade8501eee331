"""Names, formats and calls of the users' platform; no routing decisions.

No other package uses the platform's formats: they are decoded here to types of the
core.
"""

from __future__ import annotations
