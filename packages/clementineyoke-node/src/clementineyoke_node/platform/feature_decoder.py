"""Decodes the platform's rule sets to the overload features that they call for."""

from __future__ import annotations

from typing import TYPE_CHECKING

from clementineyoke_core.overload.overload_features import OverloadFeatures
from clementineyoke_node.platform import names

if TYPE_CHECKING:
    from collections.abc import Collection


def decode_features(contracts: Collection[str]) -> OverloadFeatures:
    """Return the features that the rule sets in force call for.

    Token reservations and the weighting by speed are on for every deployment: they
    apply to a pool only once its runners report their current speed.
    """
    has_pressure = names.PRESSURE_CONTRACT in contracts
    return OverloadFeatures(
        priority_admission=has_pressure,
        return_schedule=has_pressure,
        token_reservations=True,
        speed_weighting=True,
    )
