"""What requests that crash runners may have in common."""

from __future__ import annotations

from functools import lru_cache
from hashlib import blake2b
from typing import TYPE_CHECKING, NamedTuple

from clementineyoke_core.edge.request_digest import LENGTH_BYTES
from clementineyoke_core.hashing import hash_text

if TYPE_CHECKING:
    from collections.abc import Sequence

    from clementineyoke_core.edge.prompt_key import PromptPart

PART_DIGEST_BYTES = 12
"""Shorter than the digest of a request, which tells the two kinds apart."""
MAX_PARTS = 16
"""Parts of a prompt that are factors by themselves. The parts of a longer prompt are
known by one factor for all of its team's long prompts: a caller may claim any number of
parts, and hide a crashing one among hundreds of others."""
PART_CACHE_SIZE = 4_096
_PART_DOMAIN = b"prompt part"
_LONG_PROMPT_DOMAIN = b"long prompt"


class CrashFactors(NamedTuple):
    """What may be the cause if a call's runner crashes, each known by a digest."""

    request: bytes
    """Digest of the request itself."""
    parts: tuple[bytes, ...]
    """Digests of the parts of its prompt that other requests may share."""
    team: int
    """Hash of the caller's team."""

    @property
    def digests(self) -> tuple[bytes, ...]:
        """Return the digests of all factors."""
        return (self.request, *self.parts)


def crash_factors(
    *, request: bytes, team: str | None, prompt_parts: Sequence[PromptPart]
) -> CrashFactors:
    """Return the factors of a call; the same on every node.

    ``request`` is the digest of the request. The last part of a prompt belongs to the
    request or its chat alone.
    """
    ids = dict.fromkeys(part.part_id for part in prompt_parts[:-1])
    if len(ids) > MAX_PARTS:
        parts: tuple[bytes, ...] = (_digest(_LONG_PROMPT_DOMAIN, team or ""),)
    else:
        parts = tuple(dict.fromkeys(part_digest(part_id) for part_id in ids))
    return CrashFactors(request, parts, hash_text(team or ""))


@lru_cache(maxsize=PART_CACHE_SIZE)
def part_digest(part_id: str) -> bytes:
    """Return the digest of a part; ids are hexadecimal, in either case."""
    return _digest(_PART_DOMAIN, part_id.lower())


def is_part(digest: bytes) -> bool:
    """Return whether a factor is a part of prompts rather than a request."""
    return len(digest) == PART_DIGEST_BYTES


def _digest(domain: bytes, text: str) -> bytes:
    digest = blake2b(digest_size=PART_DIGEST_BYTES)
    digest.update(len(domain).to_bytes(LENGTH_BYTES, "big"))
    digest.update(domain)
    digest.update(text.encode())
    return digest.digest()
