"""Mutation tests: apply known faults to the sources and check that a scenario fails.

Each mutation disables one mechanism, mostly of the edge. Mutation tests are not part of
CI because they change source files in place for seconds at a time. Run them with
``make mutations`` on a clean work tree; it exits with 1 if a mutation is missed.
"""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path
from typing import NamedTuple

ROOT = Path(__file__).parent.parent
CORE = "packages/clementineyoke-core"
NODE = "packages/clementineyoke-node"
NODE_EDGE_SOURCE = f"{NODE}/src/clementineyoke_node/edge"
CORE_SOURCE = f"{CORE}/src/clementineyoke_core"
FEATURE_TIMEOUT_S = 90


class Mutation(NamedTuple):
    """A fault: the first occurrence of ``old`` in a file is replaced by ``new``."""

    name: str
    file: str
    old: str
    new: str
    feature: str
    """The feature file, or folder of them, that must fail with the fault."""


CALLERS_SOURCE = f"{NODE}/src/clementineyoke_node/callers"
ISOLATION = f"{NODE}/tests/callers/isolation.feature"
RESUME = f"{NODE}/tests/callers/resume.feature"
CALLS = f"{NODE}/tests/edge/calls.feature"
STREAMS = f"{NODE}/tests/edge/streams.feature"
FLEET = f"{NODE}/tests/edge/fleet.feature"
NEWS = f"{NODE}/tests/edge/news.feature"
CRASHING_REQUESTS = f"{NODE}/tests/edge/crashing_requests.feature"
CRASHING_PARTS = f"{NODE}/tests/edge/crashing_parts.feature"
BRITTLE_RUNNERS = f"{NODE}/tests/edge/brittle_runners.feature"
CUT_OFF_NODES = f"{NODE}/tests/edge/cut_off_nodes.feature"
CORE_EDGE_TESTS = f"{CORE}/tests/edge"
CORE_OVERLOAD_TESTS = f"{CORE}/tests/overload"

CORE_EVACUATIONS = f"{CORE_EDGE_TESTS}/evacuations.feature"
NODE_EVACUATION = f"{NODE}/tests/edge/evacuation.feature"
CORE_LIFETIME_DOUBTS = f"{CORE}/tests/lifetime_doubts.feature"
CORE_COLD_RUNNERS = f"{CORE}/tests/cold_runners.feature"
NODE_COLD_RUNNERS = f"{NODE}/tests/edge/cold_runners.feature"
RUNNER_SIGNALS = f"{NODE}/tests/edge/runner_signals.feature"
VERSIONS = f"{NODE}/tests/edge/versions.feature"
BEHIND_NODES = f"{NODE}/tests/edge/behind_nodes.feature"
REUSED_ADDRESSES = f"{NODE}/tests/edge/reused_addresses.feature"
RESUMED_STREAMS = f"{NODE}/tests/edge/resumed_streams.feature"
LOST_EVENTS = f"{NODE}/tests/edge/lost_events.feature"
LOOP_STALLS = f"{NODE}/tests/edge/loop_stalls.feature"
REFUSED_BYTES = f"{NODE}/tests/edge/refused_bytes.feature"
ENDLESS_BYTES = f"{NODE}/tests/edge/endless_bytes.feature"
BOUNDS_SOURCE = f"{NODE}/src/clementineyoke_node/bounds"
RUNNER_SILENCE = f"{NODE}/tests/edge/runner_silence.feature"
LEAVING_NODE = f"{NODE}/tests/edge/leaving_node.feature"
RUNNER_RESTARTS = f"{NODE}/tests/edge/runner_restarts.feature"
CONTENT_CODINGS = f"{NODE}/tests/edge/content_codings.feature"
RESTART_OF_ALL = f"{NODE}/tests/edge/restart_of_all_nodes.feature"
STREAM_RECORDS = f"{NODE}/tests/edge/stream_records.feature"
STREAM_HOLDERS = f"{NODE}/tests/edge/stream_holders.feature"
UNREAD_BODIES = f"{NODE}/tests/edge/unread_bodies.feature"
STORE_CALLS = f"{NODE}/tests/edge/store_calls.feature"
STORE_ENTRIES = f"{NODE}/tests/edge/store_entries.feature"
NODE_PLATFORM_SOURCE = f"{NODE}/src/clementineyoke_node/platform"
CORE_STREAM_VERSIONS = f"{CORE_EDGE_TESTS}/stream_versions.feature"

MUTATIONS = (
    Mutation(
        "membership updates from alive to alive are spread",
        f"{CORE_SOURCE}/membership.py",
        "if (\n"
        "            update.state is not MemberState.ALIVE\n"
        "            or known.state is not MemberState.ALIVE\n"
        "        ):",
        "if True:",
        f"{CORE}/tests/membership.feature",
    ),
    Mutation(
        "a last-resort request carries the highest load of the refusals, not the mean",
        f"{CORE_SOURCE}/slot_search.py",
        "seen_mean = sum(r.in_use for r in self._refusals) / len(self._refusals)",
        "seen_mean = max(r.in_use for r in self._refusals)",
        f"{CORE}/tests/slot_search.feature",
    ),
    Mutation(
        "an older view of evacuations replaces a newer one",
        f"{CORE_SOURCE}/edge/evacuations.py",
        "if view.revision <= self._view.revision:",
        "if False:",
        CORE_EVACUATIONS,
    ),
    Mutation(
        "an unchanged view of evacuations at a later revision is discarded",
        f"{CORE_SOURCE}/edge/evacuations.py",
        "        self._view = view\n        if is_same:\n            return None\n",
        "        if is_same:\n            return None\n        self._view = view\n",
        CORE_EVACUATIONS,
    ),
    Mutation(
        "runners of an evacuated zone count as available",
        f"{CORE_SOURCE}/runner_table.py",
        "return not self.is_evacuated(runner) and not self.is_backed_off(runner)",
        "return not self.is_backed_off(runner)",
        NODE_EVACUATION,
    ),
    Mutation(
        "a node is ready before it knows which zones are evacuated",
        f"{NODE_EDGE_SOURCE}/fleet_view.py",
        "knows_zones = self.evacuations.is_known or not self._follows_evacuations",
        "knows_zones = True",
        NODE_EVACUATION,
    ),
    Mutation(
        "peers do not hand over evacuations",
        f"{NODE_EDGE_SOURCE}/peer_state_exchange.py",
        "evacuations.view if evacuations.version > evacuations_revision else None",
        "None",
        NODE_EVACUATION,
    ),
    Mutation(
        "a call to a pool without available runners gets the short Retry-After",
        f"{NODE_EDGE_SOURCE}/forwarder.py",
        "return NO_RUNNER_RETRY_MS",
        "return REFUSED_RETRY_MS",
        NODE_EVACUATION,
    ),
    Mutation(
        "runners are never assumed cold, for example after an evacuation",
        f"{CORE_SOURCE}/cold_runners.py",
        "if duration_ms > 0.0:",
        "if False:",
        CORE_COLD_RUNNERS,
    ),
    Mutation(
        "prompts are not fetched from the runner that answered them last",
        f"{CORE_SOURCE}/edge/prompt_holders.py",
        "        return holder.runner\n",
        "        return None\n",
        f"{CORE_EDGE_TESTS}/prompt_holders.feature",
    ),
    Mutation(
        "a repeated old entry makes a cold runner count as warm",
        f"{NODE_EDGE_SOURCE}/fleet_view.py",
        "return [record for record in records if self._directory.is_newer(record)]",
        "return list(records)",
        NODE_EVACUATION,
    ),
    Mutation(
        "a home node does not limit the rate of calls to cold runners",
        f"{CORE_SOURCE}/grants/cold_pace_rule.py",
        "return RefusalReason.COLD",
        "return None",
        NODE_COLD_RUNNERS,
    ),
    Mutation(
        "admission: the reserve ignores the runner's own count",
        f"{CORE_SOURCE}/overload/priority_reserve_rule.py",
        "            ramp(occupancy, start, start + RESERVE_RANGE),\n",
        "            0.0,\n",
        f"{CORE_OVERLOAD_TESTS}/priority_reserve_rule.feature",
    ),
    Mutation(
        "admission: the reserve ignores urgent calls without a slot",
        f"{CORE_SOURCE}/overload/priority_reserve_rule.py",
        "min(1.0, reading.urgent_share / URGENT_FULL_SHARE)",
        "0.0",
        f"{CORE_OVERLOAD_TESTS}/priority_reserve_rule.feature",
    ),
    Mutation(
        "admission: the reserve rule refuses calls that are not described",
        f"{CORE_SOURCE}/overload/priority_reserve_rule.py",
        "if entry is None or not request.profile.is_described:",
        "if entry is None:",
        f"{CORE_OVERLOAD_TESTS}/priority_reserve_rule.feature",
    ),
    Mutation(
        "admission: an unknown priority takes the rank of the next more urgent one",
        f"{CORE_SOURCE}/overload/priority_ranks.py",
        "min(bisect_left(priorities, priority), len(priorities) - 1)",
        "max(0, bisect_left(priorities, priority + 1) - 1)",
        f"{CORE_OVERLOAD_TESTS}/admission_level.feature",
    ),
    Mutation(
        "admission: ranks do not follow a newer desired state",
        f"{CORE_SOURCE}/overload/priority_ranks.py",
        "if state is None or state.revision == self._revision:",
        "if state is None or self._revision >= 0:",
        f"{CORE_OVERLOAD_TESTS}/admission_level.feature",
    ),
    Mutation(
        "admission: the priority of a route does not count beside that of a team",
        f"{CORE_SOURCE}/edge/desired_state.py",
        "return cls(priority, route_priority)",
        "return cls(priority, 0)",
        f"{CORE_OVERLOAD_TESTS}/admission_level.feature",
    ),
    Mutation(
        "admission: a priority that few calls use has a rank",
        f"{CORE_SOURCE}/overload/priority_ranks.py",
        "if counts.get(p, 0.0) >= min_calls",
        "if counts.get(p, 0.0) > 0.0",
        f"{CORE_OVERLOAD_TESTS}/admission_level.feature",
    ),
    Mutation(
        "a busy home is bypassed while its pool is short of capacity",
        f"{NODE}/src/clementineyoke_node/slots/slot_broker.py",
        "may_bypass = self._may_bypass_in_shortage",
        "pass",
        f"{NODE}/tests/slots/slot_broker.feature",
    ),
    Mutation(
        "admission: an old mean of the fleet stays in use",
        f"{CORE_SOURCE}/overload/pressure_meter.py",
        "now_ms - exchanged_ms < MAX_GOSSIP_AGE_MS",
        "True",
        f"{CORE_OVERLOAD_TESTS}/admission_level.feature",
    ),
    Mutation(
        "admission: the level falls as fast as it rises",
        f"{CORE_SOURCE}/overload/admission_level.py",
        "elapsed_ms / FALL_MS",
        "elapsed_ms / RISE_MS",
        f"{CORE_OVERLOAD_TESTS}/admission_level.feature",
    ),
    Mutation(
        "admission: a level rejects calls while the pool has free slots",
        f"{CORE_SOURCE}/overload/admission_level.py",
        "self._level * (1.0 - self._relief)",
        "self._level",
        f"{CORE_OVERLOAD_TESTS}/admission_load.feature",
    ),
    Mutation(
        "admission: no minimum share is admitted",
        f"{CORE_SOURCE}/overload/admission_level.py",
        "return max(MIN_ADMITTED_SHARE, 1.0 - rejected)",
        "return 1.0 - rejected",
        f"{CORE_OVERLOAD_TESTS}/admission_level.feature",
    ),
    Mutation(
        "admission: a starving rank gets no minimum",
        f"{CORE_SOURCE}/overload/served_shares.py",
        "return share < minimum and share < self._share(rank - 1)",
        "return False",
        f"{CORE_OVERLOAD_TESTS}/admission_load.feature",
    ),
    Mutation(
        "admission: the home counts no queued calls",
        f"{NODE}/src/clementineyoke_node/slots/slot_home.py",
        "queued=0 if queue is None else len(queue)",
        "queued=0",
        f"{NODE}/tests/slots/slot_home.feature",
    ),
    Mutation(
        "admission: the home counts the slots of paused runners",
        f"{NODE}/src/clementineyoke_node/slots/slot_home.py",
        "            and not self._fault_breaker.is_paused(runner_id, now_ms=now_ms)\n",
        "",
        f"{NODE}/tests/slots/slot_home.feature",
    ),
    Mutation(
        "admission: the pressure is not gossiped",
        f"{NODE_EDGE_SOURCE}/edge_io.py",
        "        keys |= self.admission.gossip_keys()\n",
        "",
        f"{NODE}/tests/edge/admission_by_priority.feature",
    ),
    Mutation(
        "admission: the level is not asked",
        f"{NODE_EDGE_SOURCE}/forwarder.py",
        "        self._check_level(admitted)\n",
        "",
        f"{NODE}/tests/edge/admission_by_priority.feature",
    ),
    Mutation(
        "an unreachable runner is not assumed cold",
        f"{NODE}/src/clementineyoke_node/slots/slot_home.py",
        "            self._suspect_cold(runner_id, now_ms)\n",
        "",
        f"{NODE}/tests/slots/slot_home.feature",
    ),
    Mutation(
        "a node bypasses the home node of a cold runner",
        f"{NODE}/src/clementineyoke_node/slots/slot_broker.py",
        "return entry is not None and not self._is_limited(entry.runner)",
        "return entry is not None",
        NODE_COLD_RUNNERS,
    ),
    Mutation(
        "a reset ends a response without a length as if it were complete",
        f"{NODE_EDGE_SOURCE}/runner_protocol.py",
        "if exc is not None and payload",
        "if False and payload",
        CALLS,
    ),
    Mutation(
        "a connection with unread data is reused",
        f"{NODE_EDGE_SOURCE}/runner_protocol.py",
        "            and not has_unread_data\n",
        "",
        CALLS,
    ),
    Mutation(
        "a response with another call's id is accepted",
        f"{NODE_EDGE_SOURCE}/response_checks.py",
        "if head.call_id == call.call_id:",
        "if True:",
        CALLS,
    ),
    Mutation(
        "a success without the runner's signature is accepted",
        f"{NODE_EDGE_SOURCE}/response_checks.py",
        "and not head.has_signature:",
        "and False:",
        CALLS,
    ),
    Mutation(
        "a 503 that does not state that the call did not run is returned to the caller",
        f"{NODE_EDGE_SOURCE}/response_checks.py",
        "if head.status in NOT_RUN_STATUSES:",
        "if False:",
        CALLS,
    ),
    Mutation(
        "reserved headers of a caller are forwarded",
        f"{NODE}/src/clementineyoke_node/platform/call_decoder.py",
        "if name.lower() not in names.RESERVED_HEADERS",
        "if True",
        CALLS,
    ),
    Mutation(
        "a header that must have a single value may be repeated",
        f"{NODE}/src/clementineyoke_node/platform/call_decoder.py",
        "if len(fields.getall(name, [])) > 1:",
        "if False:",
        CALLS,
    ),
    Mutation(
        "callers' idle connections stay open when a node shuts down",
        f"{NODE_EDGE_SOURCE}/caller_drain.py",
        "connection.force_close()",
        "connection.close()",
        FLEET,
    ),
    Mutation(
        "a watch of the runner entries lasts longer than entries take to expire",
        f"{NODE_EDGE_SOURCE}/store_watcher.py",
        "MAX_HEARTBEATS_PER_WATCH = 2.0",
        "MAX_HEARTBEATS_PER_WATCH = 20.0",
        FLEET,
    ),
    Mutation(
        "an older desired state is applied",
        f"{NODE_EDGE_SOURCE}/fleet_view.py",
        "if state.revision <= self.state_revision:",
        "if False:",
        FLEET,
    ),
    Mutation(
        "nothing is fetched from peers",
        f"{NODE_EDGE_SOURCE}/peer_state_exchange.py",
        "if address in self._pending or",
        "if True or",
        FLEET,
    ),
    Mutation(
        "a truncated event is continued with the next runner's stream",
        f"{NODE_EDGE_SOURCE}/caller_stream.py",
        "self._splitter = EventSplitter()\n        self._sequence.begin_run()",
        "self._sequence.begin_run()",
        STREAMS,
    ),
    Mutation(
        "idle connections are reused immediately after one was lost",
        f"{CORE_SOURCE}/edge/idle_connection_policy.py",
        "return lost_ms is None or",
        "return True or",
        CALLS,
    ),
    Mutation(
        "a broadcast of older changes carries the revision of the view",
        f"{NODE_EDGE_SOURCE}/update_broadcaster.py",
        "            changes.revision,\n            ages",
        "            known,\n            ages",
        NEWS,
    ),
    Mutation(
        "broadcast removals do not carry the remaining wait for a lapsed entry",
        f"{NODE_EDGE_SOURCE}/fleet_view.py",
        "wait_ms=self._directory.wait_ms(removal.runner_id, now_ms=now_ms)",
        "wait_ms=0",
        NEWS,
    ),
    Mutation(
        "a watcher continues from a revision that only its peers have read",
        f"{NODE_EDGE_SOURCE}/store_watcher.py",
        "revision = self._revisions[kind]",
        "revision = max(self._revisions[kind], self._view.runners_revision)",
        NEWS,
    ),
    Mutation(
        "a lapse reported by a peer outlasts a report of the entry's removal",
        f"{CORE_SOURCE}/edge/runner_directory.py",
        "if not removal.wait_ms:",
        "if False:",
        CORE_EDGE_TESTS,
    ),
    Mutation(
        "a gap between broadcast revisions is ignored",
        f"{CORE_SOURCE}/edge/runner_directory.py",
        "return 0 < self.revision >= changes.base_revision",
        "return True",
        CORE_EDGE_TESTS,
    ),
    Mutation(
        "a view of the store becomes stale a hundred times too late",
        f"{CORE_SOURCE}/edge/store_freshness.py",
        "MAX_AGE_SHARE = 0.6",
        "MAX_AGE_SHARE = 60.0",
        NEWS,
    ),
    Mutation(
        "a late removal deletes a newer entry",
        f"{CORE_SOURCE}/edge/runner_directory.py",
        "if record is None or record.revision > removal.revision:",
        "if record is None:",
        CORE_EDGE_TESTS,
    ),
    Mutation(
        "a call that may have run is repeated although it must not be",
        f"{CORE_SOURCE}/edge/attempt_ledger.py",
        "if self._may_have_run and not self._may_repeat:",
        "if False:",
        CORE_EDGE_TESTS,
    ),
    Mutation(
        "each node has the retry allowance of the whole fleet",
        f"{CORE_SOURCE}/edge/retry_window.py",
        "allowance = self._allowance / max(1, node_count)",
        "allowance = self._allowance",
        CORE_EDGE_TESTS,
    ),
    Mutation(
        "a lapsed entry is removed immediately",
        f"{CORE_SOURCE}/edge/runner_directory.py",
        "if until_ms <= now_ms or record.is_leaving:",
        "if True:",
        CORE_EDGE_TESTS,
    ),
    Mutation(
        "a running node adopts the lapsed entries of its peers",
        f"{CORE_SOURCE}/edge/runner_directory.py",
        "        if not self.revision:\n            self._adopt_lapsed",
        "        if True:\n            self._adopt_lapsed",
        CORE_EDGE_TESTS,
    ),
    Mutation(
        "the timeout for a stream's first event does not grow with the prompt",
        f"{CORE_SOURCE}/edge/attempt_timeouts.py",
        "expected_ms = MIN_HEAD_TIMEOUT_MS + PREFILL_MS_PER_TOKEN * prompt_tokens\n"
        "            first_event_ms",
        "expected_ms = 720.0\n            first_event_ms",
        CORE_EDGE_TESTS,
    ),
    Mutation(
        "quarantined runners are not tried when no other runner is ready",
        f"{CORE_SOURCE}/pool_rings.py",
        "yield from quarantined",
        "return",
        CORE_EDGE_TESTS,
    ),
    Mutation(
        "a node without a desired state answers 404 instead of 503",
        f"{CORE_SOURCE}/edge/admission.py",
        'raise _refuse(503, "no desired',
        'raise _refuse(404, "no desired',
        CORE_EDGE_TESTS,
    ),
    Mutation(
        "a failing runner is never quarantined",
        f"{CORE_SOURCE}/edge/runner_health.py",
        "share > MAX_FAILURE_SHARE",
        "share > 1.0",
        CORE_EDGE_TESTS,
    ),
    Mutation(
        "a held-back runner gets the last-resort request before a busy one",
        f"{CORE_SOURCE}/slot_search.py",
        "chosen = min(candidates)",
        "chosen = max(candidates)",
        f"{CORE}/tests/slot_search.feature",
    ),
    Mutation(
        "a runner with a high fault rate is never paused",
        f"{CORE_SOURCE}/fault_rate_breaker.py",
        "is_paused = tally.paused_until_ms > now_ms",
        "is_paused = True",
        f"{CORE}/tests/fault_share.feature",
    ),
    Mutation(
        "a removal seen while the store was available is waited for like a lapse",
        f"{CORE_SOURCE}/edge/runner_directory.py",
        "until_ms = min(until_ms, now_ms + self._max_live_wait_ms)",
        "pass",
        CORE_EDGE_TESTS,
    ),
    Mutation(
        "a wait reported by a peer starts again from the full grace period",
        f"{CORE_SOURCE}/edge/runner_directory.py",
        "now_ms + min(reported_wait_ms, self._max_live_wait_ms)",
        "now_ms + RETURN_GRACE_MS * (reported_wait_ms > 0)",
        CORE_EDGE_TESTS,
    ),
    Mutation(
        "a node's own lost connection counts as a store outage",
        f"{CORE_SOURCE}/edge/runner_directory.py",
        "return self._last_store_answer_ms - answering_since_ms < RETURN_GRACE_MS",
        "return True",
        CORE_EDGE_TESTS,
    ),
    Mutation(
        "a wait reported by a peer is not capped",
        f"{CORE_SOURCE}/edge/runner_directory.py",
        "min(reported_wait_ms, self._max_live_wait_ms)",
        "reported_wait_ms",
        CORE_EDGE_TESTS,
    ),
    Mutation(
        "the recovery of a second kind of call gives lapsed entries new time",
        f"{CORE_SOURCE}/edge/runner_directory.py",
        "            self._failing_since_ms = None\n",
        "",
        CORE_EDGE_TESTS,
    ),
    Mutation(
        "a single failed call counts as a store outage",
        f"{CORE_SOURCE}/edge/runner_directory.py",
        "since_ms is None or now_ms - since_ms < MIN_OUTAGE_MS",
        "since_ms is None",
        CORE_EDGE_TESTS,
    ),
    Mutation(
        "entries read with the first answer after an outage count as ended",
        f"{CORE_SOURCE}/edge/runner_directory.py",
        "        self._outage_ended_ms = now_ms\n"
        "        # The answer that ends an outage may be one of a kind whose calls did"
        " not fail.\n"
        "        self._last_recovery_ms = now_ms\n",
        "        self._outage_ended_ms = now_ms\n",
        CORE_EDGE_TESTS,
    ),
    Mutation(
        "lapsed entries are dropped before they have been read once more",
        f"{CORE_SOURCE}/edge/runner_directory.py",
        "(read_ms if lapse.is_from_outage else now_ms)",
        "now_ms",
        CORE_EDGE_TESTS,
    ),
    Mutation(
        "ended entries are kept for an overdue read",
        f"{CORE_SOURCE}/edge/runner_directory.py",
        "(read_ms if lapse.is_from_outage else now_ms)",
        "read_ms",
        CORE_EDGE_TESTS,
    ),
    Mutation(
        "a watch goes on when the time of a lapsed entry is over",
        f"{NODE_EDGE_SOURCE}/store_watcher.py",
        "min(wait_ms, self._view.time_to_drop_ms() + 1)",
        "wait_ms",
        FLEET,
    ),
    Mutation(
        "a node reads one datagram in each turn of its event loop",
        f"{NODE}/src/clementineyoke_node/peers/peer_socket.py",
        "for _ in range(MAX_READS_PER_TURN - 1):",
        "for _ in range(0):",
        LOOP_STALLS,
    ),
    Mutation(
        "a peer's answer after an outage shows that there was none",
        f"{CORE_SOURCE}/edge/runner_directory.py",
        "return self._last_store_answer_ms - answering_since_ms < RETURN_GRACE_MS",
        "return self._last_store_answer_ms - answering_since_ms < MIN_OUTAGE_MS",
        CORE_EDGE_TESTS,
    ),
    Mutation(
        "a node that is no watcher retries late after a first refused call",
        f"{NODE_EDGE_SOURCE}/store_watcher.py",
        "is_first = delay_ms <= MIN_RETRY_DELAY_MS",
        "is_first = False",
        NEWS,
    ),
    Mutation(
        "failed calls count as an outage although others are answered",
        f"{CORE_SOURCE}/edge/runner_directory.py",
        "now_ms - self._last_own_answer_ms < MIN_SILENCE_MS",
        "False",
        CORE_EDGE_TESTS,
    ),
    Mutation(
        "each outage gives lapsed entries new time",
        f"{CORE_SOURCE}/edge/runner_directory.py",
        "if available_ms - lapse.available_ms < MAX_RETURN_MS:",
        "if True:",
        CORE_EDGE_TESTS,
    ),
    Mutation(
        "the listed versions are taken for all that there were",
        f"{CORE_SOURCE}/edge/streams/stream_lookup.py",
        "answer.observed_ms >= self._max_age_ms",
        "True",
        CORE_STREAM_VERSIONS,
    ),
    Mutation(
        "a starting node does not read the stored versions",
        f"{NODE_EDGE_SOURCE}/streams/version_archive.py",
        "            if not self._is_loaded:\n                await self._load()\n",
        "            pass\n",
        RESTART_OF_ALL,
    ),
    Mutation(
        "a starting node does not adopt the stored versions",
        f"{NODE_EDGE_SOURCE}/streams/version_archive.py",
        "VersionHistory(round(RETENTION_MS), seen)",
        "VersionHistory(round(RETENTION_MS), ())",
        RESTART_OF_ALL,
    ),
    Mutation(
        "a starting node does not adopt the stored pools of routes",
        f"{NODE_EDGE_SOURCE}/streams/version_archive.py",
        "self._route_pools.adopt(places,",
        "self._route_pools.adopt({},",
        RESTART_OF_ALL,
    ),
    Mutation(
        "streams of mixed pools are not stored",
        f"{NODE_EDGE_SOURCE}/streams/stream_archive.py",
        "if streams == self._written:",
        "if True:",
        RESTART_OF_ALL,
    ),
    Mutation(
        "an empty list of teams asks for no key",
        f"{NODE_PLATFORM_SOURCE}/state_decoder.py",
        'spec.get("tenants") is not None',
        'bool(spec.get("tenants"))',
        FLEET,
    ),
    Mutation(
        "a read whose answer is lost is not repeated",
        f"{NODE_PLATFORM_SOURCE}/store_client.py",
        "if not calls[0].done():",
        "if False:",
        STORE_CALLS,
    ),
    Mutation(
        "an error of a read's first call ends its repetition",
        f"{NODE_PLATFORM_SOURCE}/store_client.py",
        "[call for call in done if call.exception() is None]",
        "list(done)",
        STORE_CALLS,
    ),
    Mutation(
        "a late write of an earlier lifetime is applied",
        f"{CORE_SOURCE}/edge/runner_directory.py",
        "if record.runner.born_ms < known.runner.born_ms:",
        "if False:",
        CORE_EDGE_TESTS,
    ),
    Mutation(
        "an entry with an earlier start time raises no doubt",
        f"{CORE_SOURCE}/edge/runner_directory.py",
        "                self._contradicted.add(runner_id)\n",
        "                pass\n",
        RUNNER_RESTARTS,
    ),
    Mutation(
        "the removal of an earlier lifetime's entry removes the new one",
        f"{CORE_SOURCE}/edge/runner_directory.py",
        "if 0 < removal.born_ms < record.runner.born_ms:",
        "if False:",
        CORE_EDGE_TESTS,
    ),
    Mutation(
        "a late report of an entry that has ended adds it again",
        f"{CORE_SOURCE}/edge/runner_directory.py",
        "return is_known or record.revision > self.revision",
        "return True",
        CORE_EDGE_TESTS,
    ),
    Mutation(
        "an entry overwritten with an unusable one stays in use",
        f"{CORE_SOURCE}/edge/runner_directory.py",
        "if removal.is_refused:",
        "if False:",
        CORE_EDGE_TESTS,
    ),
    Mutation(
        "connections to an earlier lifetime at the same address are reused",
        f"{NODE_EDGE_SOURCE}/address_lifetimes.py",
        "if known is None or known[0] != lifetime:",
        "if known is None:",
        f"{NODE}/tests/edge/store_entries.feature",
    ),
    Mutation(
        "an entry with an unknown state is accepted",
        f"{NODE}/src/clementineyoke_node/platform/entry_codec.py",
        'state: Literal["ready", "draining"]',
        "state: str",
        f"{NODE}/tests/edge/store_entries.feature",
    ),
    Mutation(
        "entry nodes are selected regardless of their capacity",
        f"{CORE_SOURCE}/edge/entry_nodes.py",
        "if node.calls_per_s >= min_per_s",
        "if True",
        CORE_EDGE_TESTS,
    ),
    Mutation(
        "entry nodes must each sustain the load of the whole fleet alone",
        f"{CORE_SOURCE}/edge/entry_nodes.py",
        "capacity_per_s >= HEADROOM_FACTOR * calls_per_s",
        "min_per_s >= HEADROOM_FACTOR * calls_per_s",
        CORE_EDGE_TESTS,
    ),
    Mutation(
        "an attempt is abandoned at the soft timeout although no retry is left",
        f"{NODE_EDGE_SOURCE}/runner_timeout.py",
        "elif self._timeout.failover.start(self._leave):",
        "elif self._leave() is None:",
        CALLS,
    ),
    Mutation(
        "a starting node writes its entry even if it is registered",
        f"{NODE_EDGE_SOURCE}/node_registration.py",
        "if self._local_node in await",
        "if None in await",
        NEWS,
    ),
    Mutation(
        "a starting node reads from the store what its peers handed over",
        f"{NODE_EDGE_SOURCE}/store_watcher.py",
        "return self._view.is_stale(followed.part)",
        "return self._positions.get(followed.kind) is None",
        NEWS,
    ),
    Mutation(
        "watchers are chosen by node id instead of capacity",
        f"{NODE}/src/clementineyoke_node/node_state.py",
        "return -node.calls_per_s, node.node_id",
        "return 0, node.node_id",
        NEWS,
    ),
    Mutation(
        "a report from a single node makes a runner unreachable",
        f"{CORE_SOURCE}/reachability_breaker.py",
        "is_enough = len(reporters) + bool(outage.pause_ms) >= MIN_REPORTERS",
        "is_enough = True",
        f"{CORE}/tests/reachability.feature",
    ),
    Mutation(
        "an answer does not clear reports that a runner is unreachable",
        f"{CORE_SOURCE}/reachability_breaker.py",
        "self._outages.pop(runner_id, None)\n\n    def record_unreachable",
        "return\n\n    def record_unreachable",
        f"{CORE}/tests/reachability.feature",
    ),
    Mutation(
        "a home node counts a report of an unreachable runner as an ordinary fault",
        f"{NODE}/src/clementineyoke_node/slots/slot_home.py",
        "if fault.is_unreachable:",
        "if False:",
        f"{NODE}/tests/slots/slot_home.feature",
    ),
    Mutation(
        "a leaving node does not add its own update to every message",
        f"{CORE_SOURCE}/membership.py",
        "if self.is_leaving and self._local_node.node_id not in chosen:",
        "if False:",
        f"{CORE}/tests/membership.feature",
    ),
    Mutation(
        "runners that crashed for a common cause are counted separately",
        f"{CORE_SOURCE}/edge/crash_records.py",
        "if sent_ms < known.last_ms - REPORT_ORDER_TOLERANCE_MS:",
        "if False:",
        f"{CORE_EDGE_TESTS}/crash_records.feature",
    ),
    Mutation(
        "an answer does not clear a crash record",
        f"{CORE_SOURCE}/edge/crash_records.py",
        "record = _clear(known, now_ms, was_shared=known.is_shared)",
        "record = known",
        f"{CORE_EDGE_TESTS}/crash_records.feature",
    ),
    Mutation(
        "an answer that a crash's report tells of does not clear a crash record",
        f"{CORE_SOURCE}/edge/crash_records.py",
        "record = _clear(record, until_ms, was_shared=known.is_shared)",
        "pass",
        f"{CORE_EDGE_TESTS}/crash_records.feature",
    ),
    Mutation(
        "crashes under one team's calls count for all teams",
        f"{CORE_SOURCE}/edge/crash_records.py",
        "return not self.teams or team in self.teams or len(self.teams) > 1",
        "return True",
        f"{CORE_EDGE_TESTS}/crash_records.feature",
    ),
    Mutation(
        "an answer to any team clears a part",
        f"{CORE_SOURCE}/edge/crash_records.py",
        "if is_other_team or record.crashes == known.crashes:",
        "if record.crashes == known.crashes:",
        f"{CORE_EDGE_TESTS}/crash_records.feature",
    ),
    Mutation(
        "crashes explained by another call's factor count against a factor",
        f"{CORE_SOURCE}/edge/crash_judge.py",
        "if other_weight > weight or not all(map(is_part, explaining)):",
        "if not all(map(is_part, explaining)):",
        f"{CORE_EDGE_TESTS}/crash_records.feature",
    ),
    Mutation(
        "crashes explained by another part of the same calls count against a part",
        f"{CORE_SOURCE}/edge/crash_judge.py",
        "unexplained -= max(narrower.values(), default=0)",
        "pass",
        f"{CORE_EDGE_TESTS}/crash_records.feature",
    ),
    Mutation(
        "a contested factor is refused after as few crashes as an uncontested one",
        f"{CORE_SOURCE}/edge/crash_judge.py",
        "needed = CRASHES_TO_REFUSE_CONTESTED",
        "pass",
        f"{CORE_EDGE_TESTS}/crash_records.feature",
    ),
    Mutation(
        "a factor that was answered before is refused like any other",
        f"{CORE_SOURCE}/edge/crash_judge.py",
        "needed = CRASHES_TO_REFUSE_ANSWERED",
        "pass",
        f"{CORE_EDGE_TESTS}/crash_records.feature",
    ),
    Mutation(
        "a factor is refused before the records of other factors have arrived",
        f"{CORE_SOURCE}/edge/crash_judge.py",
        "known_ms = record.last_ms + VERDICT_DELAY_MS",
        "pass",
        f"{CORE_EDGE_TESTS}/crash_records.feature",
    ),
    Mutation(
        "each of thousands of parts gets a record",
        f"{CORE_SOURCE}/edge/crash_factors.py",
        "if len(ids) > MAX_PARTS:",
        "if False:",
        f"{CORE_EDGE_TESTS}/crash_records.feature",
    ),
    Mutation(
        "an answer that ends with its connection is taken as complete",
        f"{NODE_EDGE_SOURCE}/runner_liveness.py",
        "if head.body_end is not BodyEnd.CONNECTION:",
        "if True:",
        CRASHING_PARTS,
    ),
    Mutation(
        "the ends of other connections to a runner are no sign of its crash",
        f"{NODE_EDGE_SOURCE}/runner_liveness.py",
        "if self._connections.were_cut(address, ended_s=ended_s):",
        "if False:",
        REUSED_ADDRESSES,
    ),
    Mutation(
        "an open connection to a runner is no sign that it lives on",
        f"{NODE_EDGE_SOURCE}/runner_liveness.py",
        "if self._connections.has_open(address, before_s=ended_s):",
        "if False:",
        REUSED_ADDRESSES,
    ),
    Mutation(
        "an end that has waited unread counts as one that has just come",
        f"{NODE_EDGE_SOURCE}/runner_protocol.py",
        "now_s if self._end_arrived_s is None else self._end_arrived_s",
        "now_s",
        REUSED_ADDRESSES,
    ),
    Mutation(
        "an end counts from the turn of the loop after the one that reads it",
        f"{NODE_EDGE_SOURCE}/runner_protocol.py",
        "now_s if self._end_arrived_s is None else self._end_arrived_s",
        "now_s - (self._end_delay_s or 0.0)",
        REUSED_ADDRESSES,
    ),
    Mutation(
        "an end behind a full window counts from when the system got it",
        f"{NODE_EDGE_SOURCE}/runner_protocol.py",
        "self.max_end_delay_s = now_s - self._unread_since_s",
        "self.max_end_delay_s = self.end_delay_s",
        REUSED_ADDRESSES,
    ),
    Mutation(
        "a quiet counts although the runner's host had no room to send",
        f"{NODE_EDGE_SOURCE}/runner_protocol.py",
        "return self._had_room and arrived_s",
        "return arrived_s",
        REUSED_ADDRESSES,
    ),
    Mutation(
        "a connection whose end waits unread counts as open",
        f"{NODE_EDGE_SOURCE}/runner_protocol.py",
        "return state is None or state.is_established",
        "return True",
        REUSED_ADDRESSES,
    ),
    Mutation(
        "answers that end together are no sign of the end of their runner",
        f"{NODE_EDGE_SOURCE}/runner_liveness.py",
        "if self._connections.ended_together(address, ended_s=ended_s):",
        "if False:",
        REUSED_ADDRESSES,
    ),
    Mutation(
        "the end of an answer at a runner that drains is no reason for doubt",
        f"{NODE_EDGE_SOURCE}/runner_liveness.py",
        "elif not findings.is_proven and is_draining(self._runner.runner_id):",
        "elif False:",
        REUSED_ADDRESSES,
    ),
    Mutation(
        "a whole stream of the last runner of its version is cut as it drains",
        f"{NODE_EDGE_SOURCE}/answer_ends.py",
        "return self._table.has_other_ready(runner, version=stream.version)",
        "return True",
        REUSED_ADDRESSES,
    ),
    Mutation(
        "a call is sent on a connection whose end has arrived",
        f"{NODE_EDGE_SOURCE}/runner_protocol.py",
        "            and not self._has_ended_unread()\n",
        "",
        REUSED_ADDRESSES,
    ),
    Mutation(
        "a second runner's end of a stream at the same event is in doubt as well",
        f"{NODE_EDGE_SOURCE}/answer_ends.py",
        "if stream.has_confirmed_end or not may_go_on(",
        "if not may_go_on(",
        REUSED_ADDRESSES,
    ),
    Mutation(
        "an end of the runner's that a call has met counts as the node's own",
        f"{NODE_EDGE_SOURCE}/runner_protocol.py",
        "        self._was_ended_idle = True\n",
        "",
        REUSED_ADDRESSES,
    ),
    Mutation(
        "a connection whose call was cancelled as it opened counts as open",
        f"{NODE_EDGE_SOURCE}/runner_protocol.py",
        "self.connected_s = self._last_received_s = self._loop.time()\n",
        "self.connected_s = self._last_received_s = self._loop.time()\n"
        "        self._connections.add(self._peer, self)\n",
        REUSED_ADDRESSES,
    ),
    Mutation(
        "an end of an answer may be noticed late because its caller reads slowly",
        f"{NODE_EDGE_SOURCE}/runner_liveness.py",
        "if late_s * MS_PER_S > MIN_RESTART_MS:",
        "if False:",
        REUSED_ADDRESSES,
    ),
    Mutation(
        "a whole stream that cannot be resumed is cut if its caller reads slowly",
        f"{NODE_EDGE_SOURCE}/runner_liveness.py",
        "if doubt is None and may_go_on:",
        "if doubt is None:",
        REUSED_ADDRESSES,
    ),
    Mutation(
        "the end of an answer is checked when its caller has taken it",
        f"{NODE_EDGE_SOURCE}/runner_liveness.py",
        "protocol.on_ended = check.start",
        "pass",
        REUSED_ADDRESSES,
    ),
    Mutation(
        "an end counts as just come after the node had stopped to read",
        f"{NODE_EDGE_SOURCE}/runner_liveness.py",
        "late_s += self._protocol.max_end_delay_s",
        "pass",
        REUSED_ADDRESSES,
    ),
    Mutation(
        "the end of one idle connection is a sign of a crash",
        f"{NODE_EDGE_SOURCE}/runner_connections.py",
        "if len(cuts) > 1 or any(not cut.was_idle for cut in cuts):",
        "if cuts:",
        REUSED_ADDRESSES,
    ),
    Mutation(
        "an end of an answer may be noticed late because the node stands still",
        f"{NODE_EDGE_SOURCE}/runner_liveness.py",
        "return self._stalled_s >= ended_s - margin_ms / MS_PER_S",
        "return False",
        REUSED_ADDRESSES,
    ),
    Mutation(
        "only the request itself is held responsible for a crash",
        f"{CORE_SOURCE}/edge/crash_factors.py",
        'return CrashFactors(request, parts, hash_text(team or ""))',
        'return CrashFactors(request, (), hash_text(team or ""))',
        CRASHING_PARTS,
    ),
    Mutation(
        "a call that waited for a slot is sent although it is refused by then",
        f"{NODE_EDGE_SOURCE}/forwarder.py",
        "if self._is_refused(admitted, ledger, lease, stream):",
        "if False:",
        CRASHING_PARTS,
    ),
    Mutation(
        "each node tries a factor once its refusal is over",
        f"{NODE_EDGE_SOURCE}/crash_trials.py",
        "if home is None or home == self._membership.local_node:",
        "if True:",
        CRASHING_PARTS,
    ),
    Mutation(
        "a broken connection counts as a crash while the runner accepts connections",
        f"{NODE_EDGE_SOURCE}/crash_tracker.py",
        "has_ended = not is_listening and await self._fault_reports.has_ended(runner)",
        "has_ended = True",
        CRASHING_REQUESTS,
    ),
    Mutation(
        "each of many concurrent failures prolongs a quarantine",
        f"{CORE_SOURCE}/edge/runner_health.py",
        "if not self._table.is_quarantined(runner.runner_id):",
        "if True:",
        f"{NODE}/tests/edge/silent_runners.feature",
    ),
    Mutation(
        "a connection ends when its runner is silent for a second",
        f"{NODE}/src/clementineyoke_node/runners/keep_alive_socket.py",
        "USER_TIMEOUT_MS = 2_500",
        "USER_TIMEOUT_MS = 700",
        f"{NODE}/tests/edge/silent_runners.feature",
    ),
    Mutation(
        "homes ignore how many rejections a brittle runner takes",
        f"{CORE_SOURCE}/grants/brittle_rule.py",
        "if max_rejections is None:",
        "if True:",
        BRITTLE_RUNNERS,
    ),
    Mutation(
        "a new home grants all slots of a brittle runner at once",
        f"{CORE_SOURCE}/grants/brittle_rule.py",
        "return is_new_home or has_rejected",
        "return has_rejected",
        f"{CORE}/tests/brittle_runners.feature",
    ),
    Mutation(
        "a rejection does not hold back the next calls",
        f"{CORE_SOURCE}/grants/brittle_rule.py",
        "return is_new_home or has_rejected",
        "return is_new_home",
        f"{CORE}/tests/brittle_runners.feature",
    ),
    Mutation(
        "nodes pass on a limit that peers told them",
        f"{CORE_SOURCE}/brittle_pools.py",
        "return _limit(self._answered.get(pool), now_ms)",
        "return self.limit(pool, now_ms=now_ms)",
        f"{CORE}/tests/brittle_runners.feature",
    ),
    Mutation(
        "a malformed limit ends that a pool is brittle",
        f"{NODE_EDGE_SOURCE}/runner_signals.py",
        "if head.status == MISDIRECTED_STATUS or head.has_malformed_rejections:",
        "if head.status == MISDIRECTED_STATUS:",
        BRITTLE_RUNNERS,
    ),
    Mutation(
        "a call that breaks with its node's links counts as a crash",
        f"{NODE_EDGE_SOURCE}/fault_reports.py",
        "return verdict is ReachVerdict.UNREACHABLE",
        "return True",
        CUT_OFF_NODES,
    ),
    Mutation(
        "pauses are not verified",
        f"{NODE_EDGE_SOURCE}/pause_verifier.py",
        "self._slot_home().record_reached(runner.runner_id)",
        "pass",
        CUT_OFF_NODES,
    ),
    Mutation(
        "nodes that were wrong about a runner are believed at once",
        f"{CORE_SOURCE}/reachability_breaker.py",
        "doubted.update(dict.fromkeys(outage.reporters, now_ms + DOUBT_MS))",
        "pass",
        f"{CORE}/tests/reachability.feature",
    ),
    Mutation(
        "isolated nodes forward no calls",
        f"{NODE_EDGE_SOURCE}/forwarder.py",
        "if self._reach_monitor.is_isolated(admitted.pool):",
        "if False:",
        CUT_OFF_NODES,
    ),
    Mutation(
        "a forwarded call is forwarded again",
        f"{NODE_EDGE_SOURCE}/forwarder.py",
        "peers if admitted.hop is None else ()",
        "peers",
        CUT_OFF_NODES,
    ),
    Mutation(
        "a hop counts for any call",
        "packages/clementineyoke-wire/src/clementineyoke_wire/hop_codec.py",
        "if decoded.call_id != call_id:",
        "if False:",
        CUT_OFF_NODES,
    ),
    Mutation(
        "a stream that has started gets a peer's error response",
        f"{NODE_EDGE_SOURCE}/forwarder.py",
        "if response is None or response.is_relayed or not stream.has_started:",
        "if True:",
        CUT_OFF_NODES,
    ),
    Mutation(
        "a long answer of a peer is taken for a failed resumption",
        f"{NODE_EDGE_SOURCE}/forwarder.py",
        "if response is None or response.is_relayed or not stream.has_started:",
        "if response is None or not stream.has_started:",
        ENDLESS_BYTES,
    ),
    Mutation(
        "a caller who leaves a long answer is held against its runner",
        f"{NODE_EDGE_SOURCE}/answer_reader.py",
        "                part = await deadline.read_part(client_response)\n",
        "                part = await deadline.read_part(client_response)\n"
        "                await stream.response.write(part)\n",
        ENDLESS_BYTES,
    ),
    Mutation(
        "a long failure is relayed like an answer",
        f"{NODE_EDGE_SOURCE}/answer_reader.py",
        "        return is_answer(response.head)\n",
        "        return True\n",
        ENDLESS_BYTES,
    ),
    Mutation(
        "an isolated node never tries its runners again",
        f"{NODE_EDGE_SOURCE}/reach_monitor.py",
        "if self._runners(pool):\n                self.check(pool)",
        "if self._runners(pool):\n                pass",
        CUT_OFF_NODES,
    ),
    Mutation(
        "the end of a draining runner counts as a crash",
        f"{NODE_EDGE_SOURCE}/crash_tracker.py",
        "entry is None or entry.state is RunnerState.DRAINING",
        "entry is None",
        CRASHING_REQUESTS,
    ),
    Mutation(
        "a suspected request is retried after a lost connection",
        f"{NODE_EDGE_SOURCE}/forwarder.py",
        "if failure.is_connection_lost and self._crash_tracker.may_be_cause(admitted):",
        "if False:",
        CRASHING_REQUESTS,
    ),
    Mutation(
        "a starting node discards its peers' crash records",
        f"{NODE_EDGE_SOURCE}/peer_state_exchange.py",
        "self._crash_tracker.merge_notes(received.crashes)",
        "pass",
        CRASHING_REQUESTS,
    ),
    Mutation(
        "crash records are not loaded from the store",
        f"{NODE_EDGE_SOURCE}/crash_archive.py",
        "await self._load()",
        "return",
        CRASHING_REQUESTS,
    ),
    Mutation(
        "expired crash records are not deleted from the store",
        f"{NODE_EDGE_SOURCE}/crash_archive.py",
        "await self._store.delete(names.CRASHES_KIND, digest.hex())",
        "pass",
        CRASHING_REQUESTS,
    ),
    Mutation(
        "a suspected request is routed by its prompt",
        f"{NODE_EDGE_SOURCE}/slot_finder.py",
        "key = self._crash_tracker.isolation_key(admitted)",
        "key = None",
        CRASHING_REQUESTS,
    ),
    Mutation(
        "a resumed stream waits no longer for a slot than a new call",
        f"{NODE_EDGE_SOURCE}/slot_finder.py",
        "if not has_events:",
        "if True:",
        RESTART_OF_ALL,
    ),
    Mutation(
        "a drain signalled in a response is ignored",
        f"{NODE_EDGE_SOURCE}/runner_signals.py",
        "if head.is_draining and self._on_draining(runner):",
        "if head.is_draining and False:",
        RUNNER_SIGNALS,
    ),
    Mutation(
        "a backoff requested in a refusal is ignored",
        f"{NODE_EDGE_SOURCE}/runner_signals.py",
        "if head.retry_after_ms and self._table.record_backoff(",
        "if False and self._table.record_backoff(",
        RUNNER_SIGNALS,
    ),
    Mutation(
        "a later entry cancels a drain signalled in a response",
        f"{CORE_SOURCE}/edge/runner_directory.py",
        "if record.runner.lifetime in self._draining:",
        "if False:",
        f"{CORE_EDGE_TESTS}/draining_runners.feature",
    ),
    Mutation(
        "a peer's report of a drain is ignored",
        f"{CORE_SOURCE}/edge/runner_directory.py",
        "return record.is_leaving and self._mark_draining(known, record.runner)",
        "return False",
        f"{CORE_EDGE_TESTS}/draining_runners.feature",
    ),
    Mutation(
        "the home node in another zone is not notified of a drain",
        f"{NODE_EDGE_SOURCE}/edge_io.py",
        "self.broadcaster.send_to(home, changes)",
        "pass",
        RUNNER_SIGNALS,
    ),
    Mutation(
        "a shorter backoff replaces a longer one",
        f"{CORE_SOURCE}/runner_table.py",
        "if until_ms <= self._backoffs.get(runner.lifetime, 0.0):",
        "if False:",
        f"{CORE_EDGE_TESTS}/backoff.feature",
    ),
    Mutation(
        "a runner in backoff counts as available",
        f"{CORE_SOURCE}/runner_table.py",
        "return not self.is_evacuated(runner) and not self.is_backed_off(runner)",
        "return not self.is_evacuated(runner)",
        f"{CORE_EDGE_TESTS}/backoff.feature",
    ),
    Mutation(
        "the idle timeout announced by a runner is ignored",
        f"{NODE_EDGE_SOURCE}/runner_protocol.py",
        "if announced is not None:",
        "if False:",
        CALLS,
    ),
    Mutation(
        "a stream goes on at any version within one answer",
        f"{NODE_EDGE_SOURCE}/slot_finder.py",
        "            version=stream.version,\n            refusals",
        "            version=None,\n            refusals",
        VERSIONS,
    ),
    Mutation(
        "a forwarded call does not name the version of its stream",
        f"{NODE_EDGE_SOURCE}/peer_relay.py",
        "            stream.version,\n",
        "            None,\n",
        VERSIONS,
    ),
    Mutation(
        "versions of streams are not told to peers",
        f"{NODE_EDGE_SOURCE}/streams/stream_registry.py",
        "            self._share(key, is_needed=is_needed)\n",
        "            pass\n",
        VERSIONS,
    ),
    Mutation(
        "streams are told to peers only where several versions serve",
        f"{NODE_EDGE_SOURCE}/streams/stream_registry.py",
        "if is_needed or not runner.born_ms:",
        "if is_needed:",
        BEHIND_NODES,
    ),
    Mutation(
        "peers are told of streams of runners that may have restarted",
        f"{NODE_EDGE_SOURCE}/streams/stream_registry.py",
        "if is_needed or not runner.born_ms:",
        "if True:",
        RUNNER_RESTARTS,
    ),
    Mutation(
        "streams of one version are told to as many peers as those of several",
        f"{NODE_EDGE_SOURCE}/streams/stream_holders.py",
        "MIN_HOLDERS if is_needed else MIN_HOLDERS_OF_ONE_VERSION",
        "MIN_HOLDERS",
        STREAM_HOLDERS,
    ),
    Mutation(
        "streams of one version are told to the nodes that write them, however many",
        f"{NODE_EDGE_SOURCE}/streams/stream_holders.py",
        "if not is_needed and received_bytes_per_s > WRITER_BYTES_PER_S:",
        "if False:",
        STREAM_HOLDERS,
    ),
    Mutation(
        "streams begun before the second version appeared are not told to peers",
        f"{NODE_EDGE_SOURCE}/streams/stream_registry.py",
        "            if len(versions) > 1:\n",
        "            if False:\n",
        VERSIONS,
    ),
    Mutation(
        "a version that comes and goes within one answer of the store is not seen",
        f"{NODE_EDGE_SOURCE}/store_watcher.py",
        "                steps.append(_make_step(step_base, revision, pending))\n",
        "                pass\n",
        VERSIONS,
    ),
    Mutation(
        "a peer does not see that it has missed a version that came and went",
        f"{NODE_EDGE_SOURCE}/store_watcher.py",
        "pending, step_base = {}, revision",
        "pending = {}",
        VERSIONS,
    ),
    Mutation(
        "a node takes versions for known that came and went while it read nothing",
        f"{NODE_EDGE_SOURCE}/fleet_view.py",
        "            self.on_gap(view.revision)\n",
        "            pass\n",
        VERSIONS,
    ),
    Mutation(
        "a peer that is behind excludes versions that it has missed",
        f"{CORE_SOURCE}/edge/streams/stream_lookup.py",
        "answer.revision >= later.from_revision",
        "True",
        CORE_STREAM_VERSIONS,
    ),
    Mutation(
        "a stream that was resumed at the only version is not recorded",
        f"{NODE_EDGE_SOURCE}/streams/stream_registry.py",
        "        if is_attempt_id(resumes):\n",
        "        if False:\n",
        VERSIONS,
    ),
    Mutation(
        "a node that has a record of a stream asks no peer for another",
        f"{NODE_EDGE_SOURCE}/streams/stream_finder.py",
        "count = MIN_HOLDERS if self.needs_records(admitted.pool) else 0",
        "count = 0",
        VERSIONS,
    ),
    Mutation(
        "a node that has a record asks no peer while a runner's lifetime is in doubt",
        f"{NODE_EDGE_SOURCE}/streams/stream_finder.py",
        "count = MIN_HOLDERS if self.needs_records(admitted.pool) else 0",
        "count = MIN_HOLDERS if self.is_mixed(admitted.pool) else 0",
        STREAM_RECORDS,
    ),
    Mutation(
        "the first record that a peer sends of a stream decides",
        f"{NODE_EDGE_SOURCE}/streams/stream_finder.py",
        "if answered is not None:",
        "if answered is not None and lookup.record is None:",
        STREAM_RECORDS,
    ),
    Mutation(
        "records of several versions name the first one",
        f"{CORE_SOURCE}/edge/streams/stream_lookup.py",
        "return len(named) > 1 or any(",
        "return any(",
        CORE_STREAM_VERSIONS,
    ),
    Mutation(
        "a stream whose version is unknown goes on at any",
        f"{NODE_EDGE_SOURCE}/streams/stream_finder.py",
        "        if stream is None:\n            raise RequestError(",
        "        if False:\n            raise RequestError(",
        VERSIONS,
    ),
    Mutation(
        "a node that starts does not hear of former versions",
        f"{NODE_EDGE_SOURCE}/peer_state_exchange.py",
        "self._pool_versions.adopt(versions,",
        "self._pool_versions.adopt(VersionHistory(),",
        VERSIONS,
    ),
    Mutation(
        "an attempt id names the streams of all teams",
        f"{CORE_SOURCE}/edge/streams/stream_records.py",
        "{team or ''}\\0{attempt_id}",
        "{attempt_id}",
        VERSIONS,
    ),
    Mutation(
        "versions count only while a runner of them is listed",
        f"{CORE_SOURCE}/edge/streams/pool_versions.py",
        "self._listed.get(pool, frozenset()) | former",
        "self._listed.get(pool, frozenset())",
        CORE_STREAM_VERSIONS,
    ),
    Mutation(
        "nodes that have missed the same version agree on the other one",
        f"{CORE_SOURCE}/edge/streams/stream_lookup.py",
        "answer.is_confirmed and self._knows_time_before(answer)",
        "self._has_majority() and self._knows_time_before(answer)",
        VERSIONS,
    ),
    Mutation(
        "a version that the store lists and no peer knows is not read",
        f"{NODE_EDGE_SOURCE}/streams/version_confirmation.py",
        "self._on_versions(self._versions_of(entries))",
        "pass",
        BEHIND_NODES,
    ),
    Mutation(
        "a node that does not reach the store asks no peer to",
        f"{NODE_EDGE_SOURCE}/streams/stream_finder.py",
        "must_confirm=True)\n            for node in holders",
        "must_confirm=True)\n            for node in holders[:0]",
        BEHIND_NODES,
    ),
    Mutation(
        "streams are told to no other node while the store is away",
        f"{NODE_EDGE_SOURCE}/streams/stream_finder.py",
        "        if not self._is_view_current():\n            return True\n",
        "",
        BEHIND_NODES,
    ),
    Mutation(
        "streams from before an outage are told to no other node",
        f"{NODE_EDGE_SOURCE}/streams/stream_registry.py",
        "if was_current and not is_current:",
        "if False:",
        BEHIND_NODES,
    ),
    Mutation(
        "a node that is cut off trusts its old list of runners",
        f"{CORE_SOURCE}/edge/streams/stream_lookup.py",
        "answer.is_confirmed and self._knows_time_before(answer)",
        "self._knows_time_before(answer)",
        CORE_STREAM_VERSIONS,
    ),
    Mutation(
        "prompts are fetched from runners of other versions",
        f"{NODE_EDGE_SOURCE}/attempt_executor.py",
        "runner.runner_id == holder.runner_id or runner.version != holder.version",
        "runner.runner_id == holder.runner_id",
        VERSIONS,
    ),
    Mutation(
        "resumed streams queue like new calls",
        f"{CORE_SOURCE}/slot_queue.py",
        "is_new = not request.profile.is_resumption",
        "is_new = True",
        f"{CORE}/tests/slot_queue.feature",
    ),
    Mutation(
        "the former home of a brittle runner grants its slots",
        f"{CORE_SOURCE}/grants/brittle_rule.py",
        "        if not self._is_home(request.runner_id):\n",
        "        if False:\n",
        f"{CORE}/tests/brittle_runners.feature",
    ),
    Mutation(
        "the former home of a cold runner grants its slots",
        f"{CORE_SOURCE}/grants/cold_pace_rule.py",
        "        if not self._is_home(request.runner_id):\n",
        "        if False:\n",
        f"{NODE}/tests/slots/cold_pace.feature",
    ),
    Mutation(
        "an order that is read follows a changed ring",
        f"{CORE_SOURCE}/hash_ring.py",
        "        self._names = self._names.copy()  # orders",
        "        # orders",
        f"{CORE}/tests/hash_ring.feature",
    ),
    Mutation(
        "a silent runner is left before another one has the call",
        f"{NODE_EDGE_SOURCE}/runner_timeout.py",
        "elif self._timeout.failover.start(self._leave):",
        "elif self._leave() is None:",
        RUNNER_SILENCE,
    ),
    Mutation(
        "the successor of a runner that goes on is kept",
        f"{NODE_EDGE_SOURCE}/runner_timeout.py",
        "        if timer.has_started_search:",
        "        if False:",
        RUNNER_SILENCE,
    ),
    Mutation(
        "a runner that refuses a call counts as a successor",
        f"{NODE_EDGE_SOURCE}/failover.py",
        "        except AttemptError as error:\n"
        "            if error.outcome is not AttemptOutcome.NOT_SENT:",
        "        except AttemptError as error:\n"
        "            return True\n"
        "            if error.outcome is not AttemptOutcome.NOT_SENT:",
        RUNNER_SILENCE,
    ),
    Mutation(
        "a call waits for its last runner for a shorter time than its caller",
        f"{CORE_SOURCE}/edge/attempt_timeouts.py",
        "return max(timeout_ms, MIN_STREAM_PATIENCE_MS, pause_patience_ms)",
        "return timeout_ms",
        RUNNER_SILENCE,
    ),
    Mutation(
        "a failure with the type of a stream is relayed as one",
        f"{NODE_PLATFORM_SOURCE}/runner_codec.py",
        "return has_events and is_success and has_body and not self.is_refusal",
        "return has_events and has_body and not self.is_refusal",
        STREAMS,
    ),
    Mutation(
        "a leaving node closes connections with unsent answers",
        f"{NODE_EDGE_SOURCE}/caller_drain.py",
        "if not self._is_busy(connection) and not _has_unsent(connection)",
        "if not self._is_busy(connection)",
        LEAVING_NODE,
    ),
    Mutation(
        "a connection is closed although it has read a request",
        f"{NODE_EDGE_SOURCE}/caller_drain.py",
        "            if connection in self._closing:",
        "            if connection not in self._closing:",
        LEAVING_NODE,
    ),
    Mutation(
        "bodies with a content coding are decompressed",
        f"{NODE_EDGE_SOURCE}/edge_service.py",
        "auto_decompress=False",
        "auto_decompress=True",
        CONTENT_CODINGS,
    ),
    Mutation(
        "a page of the store is decoded leniently as a whole",
        f"{NODE_PLATFORM_SOURCE}/store_page.py",
        "        frame, elements = _split_array(content, array)\n",
        "        frame, elements = _to_strict(content), []\n",
        STORE_ENTRIES,
    ),
    Mutation(
        "an object that no parser reads is left out",
        f"{NODE_PLATFORM_SOURCE}/store_page.py",
        "    if metadata is None:\n        return None\n",
        "    return None\n",
        STORE_ENTRIES,
    ),
    Mutation(
        "nesting that the stack does not bear ends a decoder",
        f"{NODE_PLATFORM_SOURCE}/entry_codec.py",
        "except (ValueError, RecursionError) as error",
        "except ValueError as error",
        STORE_ENTRIES,
    ),
    Mutation(
        "a stream goes on with a response of another status",
        f"{NODE_EDGE_SOURCE}/response_checks.py",
        "if not head.begins_stream or head.status != stream_status:",
        "if not head.begins_stream:",
        RESUMED_STREAMS,
    ),
    Mutation(
        "a runner may leave out events of a stream",
        f"{CORE_SOURCE}/edge/streams/stream_sequence.py",
        "if is_consecutive and event_id > last_id + 1:",
        "if False:",
        RESUMED_STREAMS,
    ),
    Mutation(
        "a stream may end before the event at which it broke off",
        f"{CORE_SOURCE}/edge/streams/stream_sequence.py",
        "return self._run_id < self._accepted_id",
        "return False",
        RESUMED_STREAMS,
    ),
    Mutation(
        "events count as the caller's when they are read",
        f"{CORE_SOURCE}/edge/streams/stream_sequence.py",
        "self._accepted_id = event_id\n        return True",
        "self._accepted_id = self.last_event_id = event_id\n        return True",
        LOST_EVENTS,
    ),
    Mutation(
        "unwritten events of the last runner count as repeated",
        f"{CORE_SOURCE}/edge/streams/stream_sequence.py",
        "self._resumed_at = self._accepted_id = self.last_event_id",
        "self._resumed_at = self.last_event_id",
        LOST_EVENTS,
    ),
    Mutation(
        "another run goes on with events of a call that is not resumable",
        f"{NODE_EDGE_SOURCE}/answer_ends.py",
        "return admitted.route.is_resumable or not stream.sent_event_count",
        "return True",
        RESUMED_STREAMS,
    ),
    Mutation(
        "a response whose connection the node closes itself does not fail",
        f"{BOUNDS_SOURCE}/bounded_protocol.py",
        "not payload.is_eof():\n        payload.set_exception(error)",
        "False:\n        payload.set_exception(error)",
        LEAVING_NODE,
    ),
    Mutation(
        "a call for which a closed pool has no session ends unexpectedly",
        f"{NODE_EDGE_SOURCE}/runner_connection_pool.py",
        "if session.closed:",
        "if False:",
        LEAVING_NODE,
    ),
    Mutation(
        "a stall uses up the time to open a connection",
        f"{BOUNDS_SOURCE}/bounded_connector.py",
        "async with settled_timeout(self._connect_timeout_ms):",
        "async with asyncio.timeout(self._connect_timeout_ms / 1000.0):",
        LOOP_STALLS,
    ),
    Mutation(
        "a stall uses up the time of a probe",
        f"{NODE_EDGE_SOURCE}/runner_connection_pool.py",
        "async with settled_timeout(CONNECT_TIMEOUT_MS):",
        "async with asyncio.timeout(CONNECT_TIMEOUT_MS / 1000.0):",
        LOOP_STALLS,
    ),
    Mutation(
        "heads of a response have no bound",
        f"{BOUNDS_SOURCE}/bounded_protocol.py",
        "if self._heads_bytes > MAX_HEADS_BYTES:",
        "if False:",
        ENDLESS_BYTES,
    ),
    Mutation(
        "framing without content has no bound",
        f"{BOUNDS_SOURCE}/bounded_protocol.py",
        "if self._framing_bytes > MAX_FRAMING_BYTES:",
        "if False:",
        ENDLESS_BYTES,
    ),
    Mutation(
        "a head is parsed with what follows it",
        f"{BOUNDS_SOURCE}/bounded_protocol.py",
        "size_bytes = len(data) if end < 0 else end + len(HEAD_END) - len(tail)",
        "size_bytes = len(data)",
        ENDLESS_BYTES,
    ),
    Mutation(
        "what a node holds of one response has no bound",
        f"{CORE_SOURCE}/edge/held_bytes.py",
        "if size_bytes > self.max_each_bytes:",
        "if False:",
        ENDLESS_BYTES,
    ),
    Mutation(
        "what a node holds of all has no bound",
        f"{CORE_SOURCE}/edge/held_bytes.py",
        "if size_bytes > FREE_BYTES and total_bytes > self._max_total_bytes:",
        "if False:",
        ENDLESS_BYTES,
    ),
    Mutation(
        "a stream without a whole event has no bound",
        f"{NODE_EDGE_SOURCE}/streams/stream_reader.py",
        "                    self._hold_pending()\n",
        "                    pass\n",
        ENDLESS_BYTES,
    ),
    Mutation(
        "comments end a stream's timeout",
        f"{NODE_EDGE_SOURCE}/streams/stream_reader.py",
        "                    if events is not None:\n",
        "                    if events is None:\n                        return []\n"
        "                    if events is not None:\n",
        ENDLESS_BYTES,
    ),
    Mutation(
        "a stream goes on after its deadline",
        f"{NODE_EDGE_SOURCE}/streams/stream_reader.py",
        "if late_ms - self._stream.write_wait_ms > LATE_END_MS:",
        "if False:",
        ENDLESS_BYTES,
    ),
    Mutation(
        "long answers are held as a whole",
        f"{NODE_EDGE_SOURCE}/answer_reader.py",
        "        if length_bytes is None or stream.has_started:\n",
        "        if True:\n",
        ENDLESS_BYTES,
    ),
    Mutation(
        "an answer whose part the caller has goes to another runner",
        f"{NODE_EDGE_SOURCE}/forwarder.py",
        "if failure.is_final or not ledger.may_retry():",
        "if not ledger.may_retry():",
        ENDLESS_BYTES,
    ),
    Mutation(
        "what a node holds is not released",
        f"{CORE_SOURCE}/edge/held_bytes.py",
        "        self.resize(0)",
        "        pass",
        ENDLESS_BYTES,
    ),
    Mutation(
        "a refused body is kept with its error",
        f"{BOUNDS_SOURCE}/byte_limits.py",
        "        parts.clear()\n",
        "",
        REFUSED_BYTES,
    ),
    Mutation(
        "a refused stream's last bytes are kept",
        f"{NODE_EDGE_SOURCE}/streams/stream_reader.py",
        "            self._stream.drop_pending()\n",
        "            pass\n",
        REFUSED_BYTES,
    ),
    Mutation(
        "the default bounds exceed what a node may grow by",
        f"{BOUNDS_SOURCE}/byte_limits.py",
        "DEFAULT_MAX_HELD_BYTES = 16_777_216",
        "DEFAULT_MAX_HELD_BYTES = 25_165_824",
        REFUSED_BYTES,
    ),
    Mutation(
        "the bytes of the store have no bound",
        f"{NODE_PLATFORM_SOURCE}/store_client.py",
        "await self._byte_limits.read(response.content, peer=step)",
        "await response.read()",
        ENDLESS_BYTES,
    ),
    Mutation(
        "the bytes of a peer have no bound",
        f"{NODE_EDGE_SOURCE}/peer_state_exchange.py",
        "await self._byte_limits.read(response.content, peer=address)",
        "await response.read()",
        ENDLESS_BYTES,
    ),
    Mutation(
        "callers are told exceptions",
        f"{NODE_EDGE_SOURCE}/failure_texts.py",
        "    text = _BY_OUTCOME.get(error.outcome)\n",
        "    return error.reason\n    text = _BY_OUTCOME.get(error.outcome)\n",
        ENDLESS_BYTES,
    ),
    Mutation(
        "a runner that does not read is taken for dead",
        f"{NODE_EDGE_SOURCE}/runner_protocol.py",
        "            self._send_monitor.start()\n",
        "            pass\n",
        UNREAD_BODIES,
    ),
    Mutation(
        "a connection is kept after a refusal without an id",
        f"{NODE_EDGE_SOURCE}/runner_protocol.py",
        "        if not has_call_id(data[0].headers):\n",
        "        if False:\n",
        CALLS,
    ),
    Mutation(
        "a runner that may have started again keeps the version of its entry",
        f"{CORE_SOURCE}/runner_table.py",
        "if entry is None or self.doubts.is_doubtful(entry.runner):",
        "if entry is None:",
        RUNNER_RESTARTS,
    ),
    Mutation(
        "a call to a runner whose entry has ended is not in doubt",
        f"{CORE_SOURCE}/runner_table.py",
        "return bool(runner.born_ms)",
        "return False",
        BEHIND_NODES,
    ),
    Mutation(
        "a stream that begins at a runner in doubt is recorded at its entry's version",
        f"{NODE_EDGE_SOURCE}/streams/stream_registry.py",
        "is_doubtful = self._table.may_be_replaced(",
        "is_doubtful = False and self._table.may_be_replaced(",
        RUNNER_RESTARTS,
    ),
    Mutation(
        "a runner that may have started again fetches what the old version kept",
        f"{NODE_EDGE_SOURCE}/attempt_executor.py",
        "admitted.prompt_key is None or self._may_be_replaced(runner)",
        "admitted.prompt_key is None",
        RUNNER_RESTARTS,
    ),
    Mutation(
        "others fetch from a runner that may have started again",
        f"{NODE_EDGE_SOURCE}/attempt_executor.py",
        "return not self._may_be_replaced(holder)",
        "return True",
        RUNNER_RESTARTS,
    ),
    Mutation(
        "streams of a route with several pools are told to no other node",
        f"{NODE_EDGE_SOURCE}/streams/stream_finder.py",
        "if self._route_pools.is_shared(pool, now_ms=now_ms):",
        "if False:",
        VERSIONS,
    ),
    Mutation(
        "a route that has moved is not remembered at its former pool",
        f"{CORE_SOURCE}/edge/route_pools.py",
        "                self._former[place][pool] = now_ms",
        "                pass",
        VERSIONS,
    ),
    Mutation(
        "the only version of a pool is taken for that of another pool's streams",
        f"{NODE_EDGE_SOURCE}/streams/stream_finder.py",
        "or self._route_pools.is_shared(pool, now_ms=now_ms)",
        "or False",
        VERSIONS,
    ),
    Mutation(
        "streams that began before a route was split are told to no other node",
        f"{NODE_EDGE_SOURCE}/streams/stream_registry.py",
        "            self.share_all(pool)\n\n    async def drop",
        "            pass\n\n    async def drop",
        VERSIONS,
    ),
    Mutation(
        "the end of a runner is not told to other nodes",
        f"{NODE_EDGE_SOURCE}/lifetime_exchange.py",
        "self._socket.send_all(peers, message)",
        "pass",
        RUNNER_RESTARTS,
    ),
    Mutation(
        "text that quotes the end mark of a stream ends it",
        f"{CALLERS_SOURCE}/response_relay.py",
        "not _END_MARK_LINE.search(tail)",
        'b"data: [DONE]" not in tail',
        ISOLATION,
    ),
    Mutation(
        "the rest of a stream is read without what its caller has of the end mark",
        f"{CALLERS_SOURCE}/resume_handler.py",
        "overlap_bytes = min(offset_bytes, TAIL_BYTES)",
        "overlap_bytes = 0",
        RESUME,
    ),
    Mutation(
        "the length of a rest counts bytes that its caller does not get",
        f"{CALLERS_SOURCE}/response_relay.py",
        "response.content_length -= skipped_bytes",
        "pass",
        RESUME,
    ),
    Mutation(
        "the message about a runner's end is sent once",
        f"{NODE_EDGE_SOURCE}/lifetime_exchange.py",
        "            if now_ms - last[1] < REPEAT_INTERVAL_MS\n",
        "",
        RUNNER_RESTARTS,
    ),
    Mutation(
        "a call from before a new entry is taken for one of the new lifetime",
        f"{CORE_SOURCE}/runner_table.py",
        "        if entry.runner.lifetime != runner.lifetime:\n",
        "        if False:\n",
        RUNNER_RESTARTS,
    ),
    Mutation(
        "the doubt about a runner ends while it is down",
        f"{CORE_SOURCE}/lifetime_doubts.py",
        "since_ms = max(end.accepted_ms, self._current_since_ms)",
        "since_ms = max(end.first_ms, self._current_since_ms)",
        RUNNER_RESTARTS,
    ),
    Mutation(
        "streams from before a doubt are known to one node",
        f"{NODE_EDGE_SOURCE}/lifetime_exchange.py",
        "            self._on_doubt(pool)\n",
        "            pass\n",
        RUNNER_RESTARTS,
    ),
    Mutation(
        "streams that begin elsewhere in a doubt are known to one node",
        f"{NODE_EDGE_SOURCE}/streams/stream_finder.py",
        "return self.is_mixed(pool) or self._table.has_doubtful_runner(pool)",
        "return self.is_mixed(pool)",
        RUNNER_RESTARTS,
    ),
    Mutation(
        "only the home of a runner in doubt tries connections to it",
        f"{NODE_EDGE_SOURCE}/lifetime_exchange.py",
        "return HOME_TRY_INTERVAL_MS if is_home else OTHER_TRY_INTERVAL_MS",
        "return HOME_TRY_INTERVAL_MS if is_home else math.inf",
        RUNNER_RESTARTS,
    ),
    Mutation(
        "a doubt that was settled is taken up again",
        f"{CORE_SOURCE}/lifetime_doubts.py",
        "if doubt.lifetime in self._ends or last_ms <= settled_ms:",
        "if doubt.lifetime in self._ends:",
        CORE_LIFETIME_DOUBTS,
    ),
    Mutation(
        "a connection from before the last refusal ends a doubt",
        f"{CORE_SOURCE}/lifetime_doubts.py",
        "        self._ends[runner.lifetime] = _End(first_ms, now_ms)\n",
        "        end = known or _End(first_ms, now_ms)\n"
        "        self._ends[runner.lifetime] = end\n",
        CORE_LIFETIME_DOUBTS,
    ),
    Mutation(
        "a starting node takes a list of runners without the doubts",
        f"{NODE_EDGE_SOURCE}/peer_state_exchange.py",
        "        self._view.adopt_doubts(received.doubts, source=address)\n",
        "",
        RUNNER_RESTARTS,
    ),
    Mutation(
        "a peer of an earlier build gets a state that it refuses",
        f"{NODE_EDGE_SOURCE}/peer_state_exchange.py",
        "newer if DOUBTS_PARAMETER in request.query else newer[:-1]",
        "newer",
        RUNNER_RESTARTS,
    ),
    Mutation(
        "a leaving node keeps a connection after a stream",
        f"{NODE_EDGE_SOURCE}/caller_api.py",
        "            if self._membership.is_leaving:\n",
        "            if self._membership.is_leaving and not response.prepared:\n",
        LEAVING_NODE,
    ),
    Mutation(
        "a node holds any number of long requests",
        f"{NODE_EDGE_SOURCE}/request_bodies.py",
        "holding.resize(size_bytes)",
        "holding.resize(0)",
        f"{NODE}/tests/edge/request_bodies.feature",
    ),
    Mutation(
        "an announced body counts as held before it is sent",
        f"{NODE_EDGE_SOURCE}/request_bodies.py",
        "holding.check(request.content_length or 0)",
        "holding.resize(request.content_length or 0)",
        f"{NODE}/tests/edge/request_bodies.feature",
    ),
    Mutation(
        "the body of an answered request stays held",
        f"{NODE_EDGE_SOURCE}/caller_api.py",
        "        with self._bodies.open() as holding:\n            try:",
        "        holding = self._bodies.open()\n        if holding:\n            try:",
        f"{NODE}/tests/edge/request_bodies.feature",
    ),
)


def main() -> None:
    """Run all mutations, or those whose names contain the argument.

    Exits with 1 if a mutation is missed. A mutation whose ``old`` text is no
    longer in its file counts as missed.
    """
    name_part = sys.argv[1] if len(sys.argv) > 1 else ""
    selected = [mutation for mutation in MUTATIONS if name_part in mutation.name]
    missed = [mutation.name for mutation in selected if not _is_caught(mutation)]
    print(f"{len(selected) - len(missed)} caught, {len(missed)} missed")
    sys.exit(1 if missed else 0)


def _is_caught(mutation: Mutation) -> bool:
    """Apply a mutation, run its feature and restore the file."""
    path = ROOT / mutation.file
    source = path.read_text()
    if mutation.old not in source:
        print(f"NO LONGER FITS {mutation.name}")
        return False
    path.write_text(source.replace(mutation.old, mutation.new, 1))
    try:
        caught = _feature_fails(mutation.feature)
    finally:
        path.write_text(source)
    print(f"{'caught' if caught else 'MISSED'} {mutation.name}", flush=True)
    return caught


def _feature_fails(feature: str) -> bool:
    """Return whether a feature fails; running into the timeout counts as a failure."""
    command = [sys.executable, "-m", "behave", feature, "--stop", "--no-capture"]
    try:
        result = subprocess.run(
            command,
            cwd=ROOT,
            check=False,
            capture_output=True,
            timeout=FEATURE_TIMEOUT_S,
        )
    except subprocess.TimeoutExpired:
        return True
    return result.returncode != 0


if __name__ == "__main__":
    main()
