//! Metrics of a gateway, in the Prometheus text format.
//!
//! [docs/OPERATIONS.md](../../../../docs/OPERATIONS.md) describes each metric.

use std::time::Duration;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;
use tracing::warn;

use crate::log;

/// The upper bounds of the latency histograms in seconds, chosen around the objectives of the users' services.
const BUCKETS: [f64; 12] = [
    0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.5, 3.0, 6.0, 10.0, 15.0,
];

/// Labels of the counter of ended requests.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RequestLabels {
    kind: &'static str,
    outcome: &'static str,
}

/// Labels of the counter of calls to upstreams, peers and the store.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CallLabels {
    to: &'static str,
    result: &'static str,
}

/// Labels of the counter of requests that waited for the first configuration.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct StartLabels {
    result: &'static str,
}

/// The values of the gauges when the metrics are read.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct GaugeValues {
    pub(super) revision: u64,
    pub(super) era: u64,
    pub(super) confirmed_age: Option<Duration>,
    pub(super) upstreams: usize,
    pub(super) nodes: usize,
    pub(super) open_requests: u64,
    pub(super) is_cut_off: bool,
    pub(super) quarantined: usize,
    pub(super) held_bytes: u64,
}

/// The metrics of one gateway.
#[derive(Debug)]
pub(super) struct Metrics {
    registry: Registry,
    requests: Family<RequestLabels, Counter>,
    calls: Family<CallLabels, Counter>,
    start_waits: Family<StartLabels, Counter>,
    first_event_seconds: Histogram,
    answer_seconds: Histogram,
    revision: Gauge,
    era: Gauge,
    confirmed_age: Gauge,
    upstreams: Gauge,
    nodes: Gauge,
    open_requests: Gauge,
    cut_off: Gauge,
    quarantined: Gauge,
    held_bytes: Gauge,
    memory_refusals: Counter,
    log_dropped: Gauge,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("catkinusher"),
            requests: Family::default(),
            calls: Family::default(),
            start_waits: Family::default(),
            first_event_seconds: Histogram::new(BUCKETS),
            answer_seconds: Histogram::new(BUCKETS),
            revision: Gauge::default(),
            era: Gauge::default(),
            confirmed_age: Gauge::default(),
            upstreams: Gauge::default(),
            nodes: Gauge::default(),
            open_requests: Gauge::default(),
            cut_off: Gauge::default(),
            quarantined: Gauge::default(),
            held_bytes: Gauge::default(),
            memory_refusals: Counter::default(),
            log_dropped: Gauge::default(),
        };
        metrics.register();
        metrics
    }
}

impl Metrics {
    fn register(&mut self) {
        let Self { registry, .. } = self;
        registry.register(
            "requests",
            "Requests by kind and end",
            self.requests.clone(),
        );
        registry.register("calls", "Calls by target and result", self.calls.clone());
        let help = "Requests that waited for the first configuration, and how that ended";
        registry.register("start_waits", help, self.start_waits.clone());
        let help = "Seconds to the first event of a stream";
        registry.register(
            "first_event_seconds",
            help,
            self.first_event_seconds.clone(),
        );
        let help = "Seconds to the end of an answer";
        registry.register("answer_seconds", help, self.answer_seconds.clone());
        let help = "Revision of the configuration in force";
        registry.register("revision", help, self.revision.clone());
        let help = "Era of the store, 0 if it names none";
        registry.register("store_era", help, self.era.clone());
        let help = "Milliseconds since the configuration was confirmed, -1 if never";
        registry.register("confirmed_age_ms", help, self.confirmed_age.clone());
        registry.register("upstreams", "Upstreams listed", self.upstreams.clone());
        let help = "Nodes heard of, this one counted";
        registry.register("nodes", help, self.nodes.clone());
        registry.register(
            "open_requests",
            "Requests under way",
            self.open_requests.clone(),
        );
        let help = "Whether this node reaches no upstream";
        registry.register("cut_off", help, self.cut_off.clone());
        let help = "Contents that crash upstreams and are refused";
        registry.register("quarantined", help, self.quarantined.clone());
        let help = "Bytes held for callers and upstreams";
        registry.register("held_bytes", help, self.held_bytes.clone());
        let help = "Requests refused as there is no memory for their bodies";
        registry.register("memory_refusals", help, self.memory_refusals.clone());
        let help = "Log lines dropped as nobody took them";
        registry.register("log_dropped", help, self.log_dropped.clone());
    }

    /// Counts a request that has ended, and records the latency of an answer.
    pub(super) fn on_request_end(&self, kind: &'static str, outcome: &'static str, took: Duration) {
        self.requests
            .get_or_create(&RequestLabels { kind, outcome })
            .inc();
        if matches!(outcome, "answer" | "whole") {
            self.answer_seconds.observe(took.as_secs_f64());
        }
    }

    /// Records the time to the first event of a stream.
    pub(super) fn on_first_event(&self, took: Duration) {
        self.first_event_seconds.observe(took.as_secs_f64());
    }

    /// Counts a request whose body is refused for lack of memory.
    pub(super) fn on_memory_refusal(&self) {
        self.memory_refusals.inc();
    }

    /// Counts the result of a call.
    pub(super) fn on_call(&self, to: &'static str, result: &'static str) {
        self.calls.get_or_create(&CallLabels { to, result }).inc();
    }

    /// Counts a request that waits for the first configuration (`waited`), or the end of its wait.
    pub(super) fn on_start_wait(&self, result: &'static str) {
        self.start_waits
            .get_or_create(&StartLabels { result })
            .inc();
    }

    /// Encodes all metrics, with the given values of the gauges.
    pub(super) fn encode_text(&self, values: &GaugeValues) -> String {
        let whole = |count: u64| i64::try_from(count).unwrap_or(i64::MAX);
        self.revision.set(whole(values.revision));
        self.era.set(whole(values.era));
        let age = values
            .confirmed_age
            .map_or(-1, |age| whole(age.as_millis() as u64));
        self.confirmed_age.set(age);
        self.upstreams.set(whole(values.upstreams as u64));
        self.nodes.set(whole(values.nodes as u64));
        self.open_requests.set(whole(values.open_requests));
        self.cut_off.set(values.is_cut_off.into());
        self.quarantined.set(whole(values.quarantined as u64));
        self.held_bytes.set(whole(values.held_bytes));
        self.log_dropped.set(whole(log::dropped_lines()));
        let mut text = String::new();
        if let Err(error) = encode(&mut text, &self.registry) {
            warn!("metrics: cannot encode: {error}");
        }
        text
    }
}
