"""The node's metrics."""

from __future__ import annotations

from aioprometheus.collectors import Counter, Gauge, Histogram, Registry

LATENCY_BUCKETS_S = [0.005, 0.02, 0.05, 0.1, 0.32, 1.0, 3.0, 10.0, 60.0]
RETRY_AFTER_BUCKETS_S = [0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4]


class Metrics:
    """Own the registry and all metrics."""

    def __init__(self) -> None:
        self.registry = Registry()
        self.requests = Counter(
            "clementineyoke_requests_total",
            "Requests by outcome.",
            registry=self.registry,
        )
        self.runner_connections = Counter(
            "clementineyoke_runner_connections_total",
            "New connections to runners for calls, by pool and outcome.",
            registry=self.registry,
        )
        self.calls_misdirected = Counter(
            "clementineyoke_calls_misdirected_total",
            "Calls refused by another runner at their runner's address, by pool.",
            registry=self.registry,
        )
        self.runner_pauses = Counter(
            "clementineyoke_runner_pauses_total",
            "Pauses of runners that this node is home of, by reason.",
            registry=self.registry,
        )
        self.unexpected_errors = Counter(
            "clementineyoke_unexpected_errors_total",
            "Calls that ended with an exception nobody expected, by its type.",
            registry=self.registry,
        )
        self.streams_resumed = Counter(
            "clementineyoke_streams_resumed_total",
            "Streams that went on at a runner, by pool, source and match of versions.",
            registry=self.registry,
        )
        self.answers_cut = Counter(
            "clementineyoke_answers_cut_total",
            "Streams cut off after they had begun, by pool and cause.",
            registry=self.registry,
        )
        self.ends_by_connection = Counter(
            "clementineyoke_ends_by_connection_total",
            "Answers that ended with their connection, by pool and result.",
            registry=self.registry,
        )
        self.bytes_refused = Counter(
            "clementineyoke_bytes_refused_total",
            "Responses of runners, peers and the store over a bound, by kind.",
            registry=self.registry,
        )
        self.heads_refused = Counter(
            "clementineyoke_heads_refused_total",
            "Responses of runners, peers and the store with a malformed head.",
            registry=self.registry,
        )
        self.bodies_refused = Counter(
            "clementineyoke_bodies_refused_total",
            "Requests refused since this node held as many bytes of bodies as it may.",
            registry=self.registry,
        )
        self.calls_too_late = Counter(
            "clementineyoke_calls_too_late_total",
            "Calls refused as this node ends before their answer, by basis.",
            registry=self.registry,
        )
        self.loop_stalled_ms = Counter(
            "clementineyoke_loop_stalled_milliseconds_total",
            "Time for which the event loop stood still.",
            registry=self.registry,
        )
        self.stream_lookups = Counter(
            "clementineyoke_stream_lookups_total",
            "Resumed streams by whether their version was found.",
            registry=self.registry,
        )
        self.stream_records = Gauge(
            "clementineyoke_stream_records",
            "Streams of which this node remembers the version.",
            registry=self.registry,
        )
        self.runner_crashes = Counter(
            "clementineyoke_runner_crashes_total",
            "Crashes of runners that broke calls of this node, by pool.",
            registry=self.registry,
        )
        self.crash_records = Gauge(
            "clementineyoke_crash_records",
            "Requests and parts of prompts under which runners have crashed.",
            registry=self.registry,
        )
        self.calls_refused_for_crashes = Counter(
            "clementineyoke_calls_refused_for_crashes_total",
            "Calls refused because runners crash under their request or a part.",
            registry=self.registry,
        )
        self.latency_s = Histogram(
            "clementineyoke_request_seconds",
            "Time from a request's head to the end of its answer.",
            registry=self.registry,
            buckets=LATENCY_BUCKETS_S,
        )
        self.in_flight = Gauge(
            "clementineyoke_requests_in_flight",
            "Requests begun and not ended.",
            registry=self.registry,
        )
        self.control_sent_bytes = Gauge(
            "clementineyoke_control_sent_bytes",
            "Bytes sent to peers since the start, by message kind.",
            registry=self.registry,
        )
        self.settings_version = Gauge(
            "clementineyoke_settings_version",
            "The settings version in force.",
            registry=self.registry,
        )
        self.claim_writes = Gauge(
            "clementineyoke_claim_writes",
            "Conditional updates of claim shards since the start.",
            registry=self.registry,
        )
        self.store_calls = Gauge(
            "clementineyoke_store_calls",
            "Calls to the platform's store since the start.",
            registry=self.registry,
        )
        self.runner_slots = Gauge(
            "clementineyoke_runner_slots_in_use",
            "Slots in use on each runner that this node is home of.",
            registry=self.registry,
        )
        self.runner_reserved_tokens = Gauge(
            "clementineyoke_runner_reserved_tokens",
            "Memory reserved on each engine that this node is home of, in tokens.",
            registry=self.registry,
        )
        self.runner_prefill_backlog = Gauge(
            "clementineyoke_runner_prefill_backlog_tokens",
            "Prompt tokens that wait on each engine that this node is home of.",
            registry=self.registry,
        )
        self.pool_prefill_rate = Gauge(
            "clementineyoke_pool_prefill_tokens_per_ms",
            "Prefill rate of each pool that this node has learned.",
            registry=self.registry,
        )

        self.pool_pressure = Gauge(
            "clementineyoke_pool_pressure",
            "Demand for a pool divided by its slots, as this node knows it.",
            registry=self.registry,
        )
        self.admission_level = Gauge(
            "clementineyoke_admission_level",
            "Ranks of a pool that this node rejects down to the minimum share.",
            registry=self.registry,
        )
        self.calls_admitted = Counter(
            "clementineyoke_calls_admitted_total",
            "Calls that passed the admission level, by pool and priority.",
            registry=self.registry,
        )
        self.calls_promoted = Counter(
            "clementineyoke_calls_promoted_total",
            "Calls that asked for a slot like urgent ones because their rank starved.",
            registry=self.registry,
        )
        self.calls_rejected = Counter(
            "clementineyoke_calls_rejected_total",
            "Calls rejected by the level or without a slot; pool, priority, reason.",
            registry=self.registry,
        )
        self.runner_slowdown = Gauge(
            "clementineyoke_runner_slowdown",
            "Slowdown of each runner that this node is home of; 1 is the usual speed.",
            registry=self.registry,
        )
        self.malformed_load_headers = Counter(
            "clementineyoke_malformed_load_headers_total",
            "Reports of speed by runners that could not be parsed.",
            registry=self.registry,
        )
        self.retry_after_s = Histogram(
            "clementineyoke_retry_after_seconds",
            "Retry-After of calls rejected for lack of capacity, by pool and priority.",
            registry=self.registry,
            buckets=RETRY_AFTER_BUCKETS_S,
        )
        self.early_rejections = Counter(
            "clementineyoke_early_rejections_total",
            "Calls rejected unsent that could not be answered in time, by reason.",
            registry=self.registry,
        )

    def record_outcome(self, outcome: str, elapsed_ms: float) -> None:
        """Record a completed request."""
        self.requests.inc({"outcome": outcome})
        self.latency_s.observe({"outcome": outcome}, elapsed_ms / 1000)

    def record_unexpected_error(self, error: Exception) -> None:
        """Record a request that ended with an exception that nobody expected."""
        self.unexpected_errors.inc({"error": type(error).__name__})
