"""Take each mechanism of the edge out, and see that a scenario fails without it.

Not part of CI: it rewrites sources for seconds at a time. ``make mutations`` runs it on
a clean work tree and exits 1 when a mutation is missed.
"""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path
from typing import NamedTuple

ROOT = Path(__file__).parent.parent
CORE = "packages/clementineyoke-core"
NODE = "packages/clementineyoke-node"
EDGE = f"{NODE}/src/clementineyoke_node/edge"
DECISIONS = f"{CORE}/src/clementineyoke_core"
RUN_LIMIT_S = 90


class Mutation(NamedTuple):
    """One mechanism taken out."""

    name: str
    file: str
    old: str
    new: str
    feature: str


CALLS = f"{NODE}/tests/edge/calls.feature"
STREAMS = f"{NODE}/tests/edge/streams.feature"
FLEET = f"{NODE}/tests/edge/fleet.feature"
NEWS = f"{NODE}/tests/edge/news.feature"
CRASHING = f"{NODE}/tests/edge/crashing_requests.feature"
PURE = f"{CORE}/tests/edge"

EVACUATIONS = f"{PURE}/evacuations.feature"
EVACUATION = f"{NODE}/tests/edge/evacuation.feature"
COLD = f"{CORE}/tests/cold_runners.feature"
COLD_CALLS = f"{NODE}/tests/edge/cold_runners.feature"
SIGNALS = f"{NODE}/tests/edge/runner_signals.feature"

MUTATIONS = (
    Mutation(
        "that a node lives is told like news",
        f"{DECISIONS}/membership.py",
        "if update.state is not NodeState.ALIVE or known.state is not NodeState.ALIVE:",
        "if True:",
        f"{CORE}/tests/membership.feature",
    ),
    Mutation(
        "a last ask carries the mean of busy runners alone",
        f"{DECISIONS}/slot_search.py",
        "seen_mean = sum(r.in_use for r in self._refusals) / len(self._refusals)",
        "seen_mean = max(r.in_use for r in self._refusals)",
        f"{CORE}/tests/slot_search.feature",
    ),
    Mutation(
        "an older word on emptied zones is believed",
        f"{DECISIONS}/edge/evacuations.py",
        "if view.revision <= self._view.revision:",
        "if False:",
        EVACUATIONS,
    ),
    Mutation(
        "orders seen again are no newer knowledge",
        f"{DECISIONS}/edge/evacuations.py",
        "        self._view = view\n        if is_same:\n            return None\n",
        "        if is_same:\n            return None\n        self._view = view\n",
        EVACUATIONS,
    ),
    Mutation(
        "runners of an emptied zone are ready",
        f"{DECISIONS}/runner_table.py",
        "return not self.is_evacuated(runner) and not self.is_backed_off(runner)",
        "return not self.is_backed_off(runner)",
        EVACUATION,
    ),
    Mutation(
        "a node serves before it knows which zones are emptied",
        f"{EDGE}/fleet_view.py",
        "knows_zones = self.evacuations.is_known or not self._follows_evacuations",
        "knows_zones = True",
        EVACUATION,
    ),
    Mutation(
        "peers do not hand over the orders",
        f"{EDGE}/peer_state_exchange.py",
        "evacuations.view if evacuations.version > evacuations_revision else None",
        "None",
        EVACUATION,
    ),
    Mutation(
        "calls to a pool without open runners may come back at once",
        f"{EDGE}/forwarder.py",
        "return NO_RUNNER_RETRY_MS",
        "return REFUSED_RETRY_MS",
        EVACUATION,
    ),
    Mutation(
        "a zone that returns is taken at its runners' last word",
        f"{DECISIONS}/cold_runners.py",
        "if duration_ms > 0.0:",
        "if False:",
        COLD,
    ),
    Mutation(
        "prompts are fetched by the ring's order alone",
        f"{DECISIONS}/edge/prompt_holders.py",
        "        return holder.runner\n",
        "        return None\n",
        f"{PURE}/prompt_holders.feature",
    ),
    Mutation(
        "a repeated word makes a runner warm",
        f"{EDGE}/fleet_view.py",
        "return [record for record in records if self._directory.is_newer(record)]",
        "return list(records)",
        EVACUATION,
    ),
    Mutation(
        "a home grants on cold runners by slots alone",
        f"{NODE}/src/clementineyoke_node/slots/slot_home.py",
        "return self._cold_pacer.may_grant(runner_id, now_ms=now_ms)",
        "return True",
        COLD_CALLS,
    ),
    Mutation(
        "a runner that took no connections counts as warm",
        f"{NODE}/src/clementineyoke_node/slots/slot_home.py",
        "            self._assume_cold(runner_id, now_ms)\n",
        "",
        f"{NODE}/tests/slots/slot_home.feature",
    ),
    Mutation(
        "a node takes a cold runner without its home",
        f"{NODE}/src/clementineyoke_node/slots/slot_broker.py",
        "return entry is not None and not self._is_cold(entry.runner)",
        "return entry is not None",
        COLD_CALLS,
    ),
    Mutation(
        "a reset ends an answer without a length",
        f"{EDGE}/runner_protocol.py",
        "if exc is not None and payload",
        "if False and payload",
        CALLS,
    ),
    Mutation(
        "a connection with a stray answer is kept",
        f"{EDGE}/runner_protocol.py",
        "and is_fresh and not has_unread_data",
        "and is_fresh",
        CALLS,
    ),
    Mutation(
        "any answer is taken for the call's own",
        f"{EDGE}/response_checks.py",
        "if head.call_id == call.call_id:",
        "if True:",
        CALLS,
    ),
    Mutation(
        "a success needs no proof",
        f"{EDGE}/response_checks.py",
        "and not head.has_signature:",
        "and False:",
        CALLS,
    ),
    Mutation(
        "a bare 503 goes on",
        f"{EDGE}/response_checks.py",
        "if head.status in NOT_RUN_STATUSES:",
        "if False:",
        CALLS,
    ),
    Mutation(
        "a caller sets what only the system may set",
        f"{NODE}/src/clementineyoke_node/platform/call_decoder.py",
        "if name.lower() not in names.RESERVED_HEADERS",
        "if True",
        CALLS,
    ),
    Mutation(
        "a head may have two ids",
        f"{NODE}/src/clementineyoke_node/platform/call_decoder.py",
        "if len(fields.getall(name, [])) > 1:",
        "if False:",
        CALLS,
    ),
    Mutation(
        "idle connections of a leaving node stay open",
        f"{EDGE}/edge_service.py",
        "connection.force_close()",
        "connection.close()",
        FLEET,
    ),
    Mutation(
        "a watch of the runners waits through an outage",
        f"{EDGE}/store_watcher.py",
        "MAX_HEARTBEATS_PER_WATCH = 2.0",
        "MAX_HEARTBEATS_PER_WATCH = 20.0",
        FLEET,
    ),
    Mutation(
        "an older state is put in force",
        f"{EDGE}/fleet_view.py",
        "if state.revision <= self.state_revision:",
        "if False:",
        FLEET,
    ),
    Mutation(
        "nothing is fetched from peers",
        f"{EDGE}/peer_state_exchange.py",
        "if address in self._pending or",
        "if True or",
        FLEET,
    ),
    Mutation(
        "a torn event goes on",
        f"{EDGE}/caller_stream.py",
        "self._splitter = EventSplitter()\n        if self._response",
        "if self._response",
        STREAMS,
    ),
    Mutation(
        "a forgotten connection is trusted again at once",
        f"{DECISIONS}/edge/idle_connection_policy.py",
        "return lost_ms is None or",
        "return True or",
        CALLS,
    ),
    Mutation(
        "news are told with the view's revision",
        f"{EDGE}/update_broadcaster.py",
        "            changes.revision,\n            ages",
        "            known,\n            ages",
        NEWS,
    ),
    Mutation(
        "news do not say what lapsed",
        f"{EDGE}/fleet_view.py",
        "wait_ms=self._directory.wait_ms(removal.runner_id, now_ms=now_ms)",
        "wait_ms=0",
        NEWS,
    ),
    Mutation(
        "a watcher skips what peers have told",
        f"{EDGE}/store_watcher.py",
        "revision = self._revisions[kind]",
        "revision = max(self._revisions[kind], self._view.runners_revision)",
        NEWS,
    ),
    Mutation(
        "a told lapse outlives the word of its end",
        f"{DECISIONS}/edge/runner_directory.py",
        "if not removal.wait_ms:",
        "if False:",
        PURE,
    ),
    Mutation(
        "a gap in the news goes unnoticed",
        f"{DECISIONS}/edge/runner_directory.py",
        "return 0 < self.revision >= changes.base_revision",
        "return True",
        PURE,
    ),
    Mutation(
        "silent watchers are trusted for good",
        f"{DECISIONS}/edge/store_freshness.py",
        "MAX_AGE_SHARE = 0.6",
        "MAX_AGE_SHARE = 60.0",
        NEWS,
    ),
    Mutation(
        "a late word of an end is the last one",
        f"{DECISIONS}/edge/runner_directory.py",
        "if record is None or record.revision > removal.revision:",
        "if record is None:",
        PURE,
    ),
    Mutation(
        "a lost answer is sent again",
        f"{DECISIONS}/edge/attempt_ledger.py",
        "if self._may_have_run and not self._may_repeat:",
        "if False:",
        PURE,
    ),
    Mutation(
        "each node spends the whole allowance",
        f"{DECISIONS}/edge/retry_window.py",
        "allowance = self._allowance / max(1, node_count)",
        "allowance = self._allowance",
        PURE,
    ),
    Mutation(
        "a lapse is an end",
        f"{DECISIONS}/edge/runner_directory.py",
        "if until_ms <= now_ms or record.is_leaving:",
        "if True:",
        PURE,
    ),
    Mutation(
        "whatever a peer waits for is adopted",
        f"{DECISIONS}/edge/runner_directory.py",
        "        if not self.revision:\n            self._adopt_lapsed",
        "        if True:\n            self._adopt_lapsed",
        PURE,
    ),
    Mutation(
        "a long prompt is waited for like a short one",
        f"{DECISIONS}/edge/attempt_timeouts.py",
        "expected_ms = MIN_HEAD_TIMEOUT_MS + PREFILL_MS_PER_TOKEN * prompt_tokens\n"
        "            first_event_ms",
        "expected_ms = 720.0\n            first_event_ms",
        PURE,
    ),
    Mutation(
        "quarantined runners are never tried",
        f"{DECISIONS}/pool_rings.py",
        "yield from quarantined",
        "return",
        PURE,
    ),
    Mutation(
        "a node without a state says that there is no route",
        f"{DECISIONS}/edge/admission.py",
        'raise _refuse(503, "no desired',
        'raise _refuse(404, "no desired',
        PURE,
    ),
    Mutation(
        "a failing runner is never taken out",
        f"{DECISIONS}/edge/runner_health.py",
        "share > MAX_FAILURE_SHARE",
        "share > 1.0",
        PURE,
    ),
    Mutation(
        "a paused runner is pressed first",
        f"{DECISIONS}/slot_search.py",
        "chosen = min(candidates)",
        "chosen = max(candidates)",
        f"{CORE}/tests/slot_search.feature",
    ),
    Mutation(
        "homes pause nobody",
        f"{DECISIONS}/fault_rate_breaker.py",
        "is_paused = tally.paused_until_ms > now_ms",
        "is_paused = True",
        f"{CORE}/tests/fault_share.feature",
    ),
    Mutation(
        "an end that was seen as it happened is waited for like a lapse",
        f"{DECISIONS}/edge/runner_directory.py",
        "until_ms = min(until_ms, now_ms + self._max_live_wait_ms)",
        "pass",
        PURE,
    ),
    Mutation(
        "a peer's wait begins anew",
        f"{DECISIONS}/edge/runner_directory.py",
        "now_ms + min(reported_wait_ms, self._max_live_wait_ms)",
        "now_ms + RETURN_GRACE_MS * (reported_wait_ms > 0)",
        PURE,
    ),
    Mutation(
        "a node's own lost connection counts as a store outage",
        f"{DECISIONS}/edge/runner_directory.py",
        "return since_ms is None or (",
        "return True or (",
        PURE,
    ),
    Mutation(
        "a wait reported by a peer is not capped",
        f"{DECISIONS}/edge/runner_directory.py",
        "min(reported_wait_ms, self._max_live_wait_ms)",
        "reported_wait_ms",
        PURE,
    ),
    Mutation(
        "the recovery of a second kind of call starts a wait after a local failure",
        f"{DECISIONS}/edge/runner_directory.py",
        "if self._was_failure_local:",
        "if False:",
        PURE,
    ),
    Mutation(
        "a late write of an earlier lifetime counts",
        f"{DECISIONS}/edge/runner_directory.py",
        "if record.runner.born_ms < known.runner.born_ms:",
        "if False:",
        PURE,
    ),
    Mutation(
        "the end of an earlier lifetime's entry ends the new one",
        f"{DECISIONS}/edge/runner_directory.py",
        "if 0 < removal.born_ms < record.runner.born_ms:",
        "if False:",
        PURE,
    ),
    Mutation(
        "news of an entry that has ended bring it back",
        f"{DECISIONS}/edge/runner_directory.py",
        "return is_known or record.revision > self.revision",
        "return True",
        PURE,
    ),
    Mutation(
        "an entry that was written over stays in use",
        f"{DECISIONS}/edge/runner_directory.py",
        "if removal.is_refused:",
        "if False:",
        PURE,
    ),
    Mutation(
        "connections outlive the lifetime that they were made to",
        f"{EDGE}/address_lifetimes.py",
        "if known is None or known[0] != lifetime:",
        "if known is None:",
        f"{NODE}/tests/edge/store_entries.feature",
    ),
    Mutation(
        "an unknown state counts as ready",
        f"{NODE}/src/clementineyoke_node/platform/entry_codec.py",
        'state: Literal["ready", "draining"]',
        "state: str",
        f"{NODE}/tests/edge/store_entries.feature",
    ),
    Mutation(
        "the first of a list are named to callers, whatever they bear",
        f"{DECISIONS}/edge/entry_nodes.py",
        "if node.calls_per_s >= min_per_s",
        "if True",
        PURE,
    ),
    Mutation(
        "weak hosts are not enough to be named, however many",
        f"{DECISIONS}/edge/entry_nodes.py",
        "capacity_per_s >= HEADROOM_FACTOR * calls_per_s",
        "min_per_s >= HEADROOM_FACTOR * calls_per_s",
        PURE,
    ),
    Mutation(
        "a call's last runner is given up like its first",
        f"{EDGE}/runner_timeout.py",
        "if self.may_retry():",
        "if True:",
        CALLS,
    ),
    Mutation(
        "a start writes its entry whether it is there or not",
        f"{EDGE}/node_registration.py",
        "if self._local_node in await",
        "if None in await",
        NEWS,
    ),
    Mutation(
        "a start asks the store for what its peers hand over",
        f"{EDGE}/store_watcher.py",
        "return self._view.is_stale(followed.part)",
        "return self._positions.get(followed.kind) is None",
        NEWS,
    ),
    Mutation(
        "watchers are chosen by name",
        f"{NODE}/src/clementineyoke_node/node_state.py",
        "return -node.calls_per_s, node.node_id",
        "return 0, node.node_id",
        NEWS,
    ),
    Mutation(
        "one node's word makes a runner unreachable",
        f"{DECISIONS}/reachability_breaker.py",
        "if reporters < MIN_REPORTERS:",
        "if False:",
        f"{CORE}/tests/reachability.feature",
    ),
    Mutation(
        "answers do not tell a busy runner from a dead one",
        f"{DECISIONS}/reachability_breaker.py",
        "self._outages.pop(runner_id, None)\n\n    def record_unreachable",
        "return\n\n    def record_unreachable",
        f"{CORE}/tests/reachability.feature",
    ),
    Mutation(
        "connections that failed are not told to the runner's home",
        f"{NODE}/src/clementineyoke_node/slots/slot_home.py",
        "if fault.is_unreachable:",
        "if False:",
        f"{NODE}/tests/slots/slot_home.feature",
    ),
    Mutation(
        "a leaving node tells it as often as any rumour",
        f"{DECISIONS}/membership.py",
        "if self.is_leaving and self._local_node.node_id not in chosen:",
        "if False:",
        f"{CORE}/tests/membership.feature",
    ),
    Mutation(
        "each runner of a common end counts",
        f"{DECISIONS}/edge/crash_records.py",
        "if sent_ms < known.last_ms - REPORT_ORDER_TOLERANCE_MS:",
        "if False:",
        f"{PURE}/crash_records.feature",
    ),
    Mutation(
        "an answer clears nothing",
        f"{DECISIONS}/edge/crash_records.py",
        "cleared = CrashRecord(clears=known.clears + 1, last_ms=now_ms)",
        "cleared = known",
        f"{PURE}/crash_records.feature",
    ),
    Mutation(
        "whoever was beside a request bears its ends",
        f"{DECISIONS}/edge/crash_records.py",
        "explained += max_crashes > record.crashes",
        "explained += 0",
        f"{PURE}/crash_records.feature",
    ),
    Mutation(
        "of two suspected requests both are refused",
        f"{DECISIONS}/edge/crash_records.py",
        "CRASHES_TO_REFUSE_CONTESTED if is_contested else CRASHES_TO_REFUSE",
        "CRASHES_TO_REFUSE",
        f"{PURE}/crash_records.feature",
    ),
    Mutation(
        "a connection that broke is a runner that ended",
        f"{EDGE}/crash_tracker.py",
        "if is_listening:",
        "if False:",
        CRASHING,
    ),
    Mutation(
        "a leaving runner's end counts",
        f"{EDGE}/crash_tracker.py",
        "entry is None or entry.state is RunnerState.DRAINING",
        "entry is None",
        CRASHING,
    ),
    Mutation(
        "a suspected request gets its second try",
        f"{EDGE}/forwarder.py",
        "if failure.is_connection_lost and self._crash_tracker.is_suspect(admitted):",
        "if False:",
        CRASHING,
    ),
    Mutation(
        "a node that starts takes over no records",
        f"{EDGE}/peer_state_exchange.py",
        "self._crash_tracker.merge_notes(received.crashes)",
        "pass",
        CRASHING,
    ),
    Mutation(
        "nobody reads what the store keeps of refused requests",
        f"{EDGE}/crash_archive.py",
        "await self._load()",
        "return",
        CRASHING,
    ),
    Mutation(
        "what the store keeps of refused requests stays",
        f"{EDGE}/crash_archive.py",
        "await self._store.delete(names.CRASHES_KIND, digest.hex())",
        "pass",
        CRASHING,
    ),
    Mutation(
        "a suspected request follows its prompt",
        f"{EDGE}/forwarder.py",
        "key = self._crash_tracker.isolation_key(admitted)",
        "key = None",
        CRASHING,
    ),
    Mutation(
        "a drain signalled in an answer is ignored",
        f"{EDGE}/runner_signals.py",
        "if head.is_draining and self._on_draining(runner):",
        "if head.is_draining and False:",
        SIGNALS,
    ),
    Mutation(
        "a refusal's time to back off is ignored",
        f"{EDGE}/runner_signals.py",
        "if head.retry_after_ms and self._table.record_backoff(",
        "if False and self._table.record_backoff(",
        SIGNALS,
    ),
    Mutation(
        "a later entry takes the signal of a drain back",
        f"{DECISIONS}/edge/runner_directory.py",
        "if record.runner.lifetime in self._draining:",
        "if False:",
        f"{PURE}/draining_runners.feature",
    ),
    Mutation(
        "a peer's news of a drain counts as known",
        f"{DECISIONS}/edge/runner_directory.py",
        "return record.is_leaving and self._mark_draining(known, record.runner)",
        "return False",
        f"{PURE}/draining_runners.feature",
    ),
    Mutation(
        "the home in another zone is not told of a drain",
        f"{EDGE}/edge_io.py",
        "self.broadcaster.send_to(home, changes)",
        "pass",
        SIGNALS,
    ),
    Mutation(
        "a shorter time ends a backoff",
        f"{DECISIONS}/runner_table.py",
        "if until_ms <= self._backoffs.get(runner.lifetime, 0.0):",
        "if False:",
        f"{PURE}/backoff.feature",
    ),
    Mutation(
        "calls are pressed on a runner within its backoff",
        f"{DECISIONS}/runner_table.py",
        "return not self.is_evacuated(runner) and not self.is_backed_off(runner)",
        "return not self.is_evacuated(runner)",
        f"{PURE}/backoff.feature",
    ),
    Mutation(
        "a connection is kept longer than its runner says",
        f"{EDGE}/runner_protocol.py",
        "if announced is not None:",
        "if False:",
        CALLS,
    ),
)


def main() -> None:
    """Try all, or those whose names hold the argument; exit 1 when one is missed.

    One that no longer fits the source counts as missed.
    """
    wanted = sys.argv[1] if len(sys.argv) > 1 else ""
    tried = [mutation for mutation in MUTATIONS if wanted in mutation.name]
    missed = [mutation.name for mutation in tried if not _is_caught(mutation)]
    print(f"{len(tried) - len(missed)} caught, {len(missed)} missed")
    sys.exit(1 if missed else 0)


def _is_caught(mutation: Mutation) -> bool:
    path = ROOT / mutation.file
    source = path.read_text()
    if mutation.old not in source:
        print(f"NO LONGER FITS {mutation.name}")
        return False
    path.write_text(source.replace(mutation.old, mutation.new, 1))
    try:
        caught = _fails(mutation.feature)
    finally:
        path.write_text(source)
    print(f"{'caught' if caught else 'MISSED'} {mutation.name}", flush=True)
    return caught


def _fails(feature: str) -> bool:
    command = [sys.executable, "-m", "behave", feature, "--stop", "--no-capture"]
    try:
        done = subprocess.run(
            command, cwd=ROOT, check=False, capture_output=True, timeout=RUN_LIMIT_S
        )
    except subprocess.TimeoutExpired:
        return True
    return done.returncode != 0


if __name__ == "__main__":
    main()
