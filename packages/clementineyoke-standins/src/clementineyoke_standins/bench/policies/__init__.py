"""One small class for each way of choosing a runner."""

from __future__ import annotations
