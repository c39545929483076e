//! Counters and latency histograms, exported as Prometheus text.

use std::time::Duration;

use carobshore_lib::domain_choice::departure_reason::DepartureReason;
use carobshore_lib::prelude::ServiceId;
use carobshore_lib::request_queue::priority::Priority;
use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use opentelemetry::metrics::Gauge;
use opentelemetry::metrics::Histogram;
use opentelemetry::metrics::MeterProvider;
use opentelemetry::metrics::UpDownCounter;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::Registry;
use prometheus::TextEncoder;

/// Upper bounds of the histogram buckets, in seconds.
const BUCKETS: [f64; 12] = [
    0.001, 0.005, 0.01, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 12.0,
];

/// The metrics of one VM.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    // Instruments stop recording when their provider is dropped.
    _provider: SdkMeterProvider,
    requests: Counter<u64>,
    attempts: Counter<u64>,
    checks: Counter<u64>,
    connections: Counter<u64>,
    store_calls: Counter<u64>,
    store_restarts: Counter<u64>,
    feed_bytes: Counter<u64>,
    target_signals: Counter<u64>,
    malformed_entries: Counter<u64>,
    refused_configs: Counter<u64>,
    warmups: Counter<u64>,
    evacuations: Counter<u64>,
    quota_requests: Counter<u64>,
    quota_tokens: Counter<u64>,
    queue_waiting: UpDownCounter<i64>,
    queue_refusals: Counter<u64>,
    crossings: Counter<u64>,
    crossing_bytes: Counter<u64>,
    client_closures: Counter<u64>,
    request_time: Histogram<f64>,
    target_time: Histogram<f64>,
    in_flight: Gauge<u64>,
    version: Gauge<u64>,
    config_age: Gauge<u64>,
    targets: Gauge<u64>,
}

impl Metrics {
    /// Creates the instruments and their registry.
    pub fn new() -> eyre::Result<Self> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("carobshore-gateway");
        let counter = |name, text| meter.u64_counter(name).with_description(text).build();
        let gauge = |name, text| meter.u64_gauge(name).with_description(text).build();
        let histogram = |name, text| {
            meter
                .f64_histogram(name)
                .with_unit("s")
                .with_description(text)
                .with_boundaries(BUCKETS.to_vec())
                .build()
        };
        Ok(Self {
            requests: counter(
                "carobshore.requests",
                "Requests by route and how they ended",
            ),
            attempts: counter("carobshore.attempts", "Attempts at targets by their end"),
            checks: counter("carobshore.health_checks", "Health checks by their end"),
            connections: counter(
                "carobshore.connections_opened",
                "Connections to targets by the reason to open them",
            ),
            store_restarts: counter(
                "carobshore.store_restarts",
                "Times that the store has come back from an older copy",
            ),
            store_calls: counter(
                "carobshore.store_calls",
                "Calls to the store by their purpose and end",
            ),
            feed_bytes: counter(
                "carobshore.feed_bytes",
                "Bytes of changes exchanged with other VMs, by direction",
            ),
            target_signals: counter(
                "carobshore.target_signals",
                "What targets say of themselves in their answers, by kind",
            ),
            malformed_entries: counter(
                "carobshore.malformed_entries",
                "Entries of the store that cannot be read, by what they should describe",
            ),
            refused_configs: counter(
                "carobshore.refused_configs",
                "Configurations of the store that are invalid or need a newer release",
            ),
            warmups: counter(
                "carobshore.warmups",
                "Changes of what is known of cold targets, and requests that VMs give up, by kind",
            ),
            evacuations: counter(
                "carobshore.evacuations",
                "Evacuations of failure domains and their withdrawals, by kind",
            ),
            quota_requests: counter(
                "carobshore.quota_requests",
                "Requests of organisations with a quota, by whether it allowed them",
            ),
            quota_tokens: counter(
                "carobshore.quota_tokens",
                "Tokens of quotas that this VM asked for, by what became of them",
            ),
            queue_waiting: meter
                .i64_up_down_counter("carobshore.queue_waiting")
                .with_description("Requests that wait for a target, by priority")
                .build(),
            queue_refusals: counter(
                "carobshore.queue_refusals",
                "Requests that the queue refused, by reason",
            ),
            crossings: counter(
                "carobshore.crossings",
                "Requests sent to another failure domain, by service and reason",
            ),
            crossing_bytes: counter(
                "carobshore.crossing_bytes",
                "Bytes of the bodies of these requests and their responses",
            ),
            client_closures: counter(
                "carobshore.client_closures",
                "Connections of clients that were closed or refused because of a bound, by reason",
            ),
            request_time: histogram("carobshore.request", "Time from a request to its response"),
            target_time: histogram("carobshore.attempt", "Time of an attempt at a target"),
            in_flight: gauge("carobshore.in_flight", "Requests in flight"),
            version: gauge("carobshore.config_version", "Version of the configuration"),
            config_age: gauge(
                "carobshore.config_age_ms",
                "Milliseconds since the store confirmed the configuration",
            ),
            targets: gauge("carobshore.targets", "Targets that are announced"),
            registry,
            _provider: provider,
        })
    }

    /// Records the end of a request. `route` is empty if no route matched it.
    pub fn request(&self, route: &str, outcome: &'static str, time: Duration) {
        let route = KeyValue::new("route", route.to_owned());
        let labels = [route, KeyValue::new("outcome", outcome)];
        self.requests.add(1, &labels);
        self.request_time.record(time.as_secs_f64(), &labels[..1]);
    }

    /// Records the end of an attempt.
    pub fn attempt(&self, service: &ServiceId, end: &'static str, time: Duration) {
        let service = KeyValue::new("service", service.to_string());
        let labels = [service, KeyValue::new("end", end)];
        self.attempts.add(1, &labels);
        self.target_time.record(time.as_secs_f64(), &labels[..1]);
    }

    /// Counts a health check.
    pub fn health_check(&self, end: &'static str) {
        self.checks.add(1, &[KeyValue::new("end", end)]);
    }

    /// Counts a new connection to a target, and why no other one was used.
    pub fn connection_opened(&self, reason: &'static str) {
        self.connections.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Counts a call to the store, by its purpose and its end.
    pub fn store_call<T, E>(&self, purpose: &'static str, result: &Result<T, E>) {
        let end = match result {
            Ok(_) => "answered",
            Err(_) => "failed",
        };
        let labels = [KeyValue::new("purpose", purpose), KeyValue::new("end", end)];
        self.store_calls.add(1, &labels);
    }

    /// Counts a return of the store from an older copy.
    pub(crate) fn store_restart(&self) {
        self.store_restarts.add(1, &[]);
    }

    /// Counts bytes of a feed answer. `direction` is `sent` or `received`.
    pub fn feed_bytes(&self, direction: &'static str, bytes: usize) {
        let direction = KeyValue::new("direction", direction);
        self.feed_bytes.add(bytes as u64, &[direction]);
    }

    /// Counts what a target says of itself. `kind` is `leaving`, `pause`, `malformed-pause` or
    /// `malformed-keep-alive`.
    pub fn target_signal(&self, kind: &'static str) {
        self.target_signals.add(1, &[KeyValue::new("kind", kind)]);
    }

    /// Counts entries of the store that cannot be read. `kind` is `target` or `record`, the latter if
    /// not even the key can be read.
    pub fn malformed_entries(&self, kind: &'static str, count: u32) {
        let labels = [KeyValue::new("kind", kind)];
        self.malformed_entries.add(u64::from(count), &labels);
    }

    /// Counts a configuration that is not put in force, because it cannot be decoded.
    pub fn refused_config(&self) {
        self.refused_configs.add(1, &[]);
    }

    /// Counts a change of what is known of a cold target (`cold`, `warm`, `unverified`), and a request
    /// for one that this VM has `given-up` to another one or `borrowed` from it.
    pub fn warmup(&self, kind: &'static str) {
        self.warmups.add(1, &[KeyValue::new("kind", kind)]);
    }

    /// Counts an evacuation (`evacuated`) or its withdrawal (`withdrawn`).
    pub fn evacuation(&self, kind: &'static str) {
        self.evacuations.add(1, &[KeyValue::new("kind", kind)]);
    }

    /// Counts a request of an organisation with a quota. `outcome` is `within`, `over` or `unknown`.
    pub fn quota_request(&self, organisation: &str, outcome: &'static str) {
        let organisation = KeyValue::new("organisation", organisation.to_owned());
        let labels = [organisation, KeyValue::new("outcome", outcome)];
        self.quota_requests.add(1, &labels);
    }

    /// Counts tokens of an organisation's quota. `kind` is `granted`, `refused` or `expired`.
    pub fn quota_tokens(&self, organisation: &str, kind: &'static str, count: u64) {
        let organisation = KeyValue::new("organisation", organisation.to_owned());
        let labels = [organisation, KeyValue::new("kind", kind)];
        self.quota_tokens.add(count, &labels);
    }

    /// Counts a request that begins (1) or ends (-1) to wait for a target.
    pub fn queue_waiting(&self, priority: Priority, change: i64) {
        let labels = [KeyValue::new("priority", priority.to_string())];
        self.queue_waiting.add(change, &labels);
    }

    /// Counts a request that the queue refused.
    pub fn queue_refusal(&self, reason: &'static str) {
        let labels = [KeyValue::new("reason", reason)];
        self.queue_refusals.add(1, &labels);
    }

    /// Counts a request that was sent to another failure domain.
    pub fn crossing(&self, service: &ServiceId, reason: DepartureReason, bytes: usize) {
        let service = KeyValue::new("service", service.to_string());
        let labels = [service, KeyValue::new("reason", reason.as_str())];
        self.crossings.add(1, &labels);
        self.crossing_bytes.add(bytes as u64, &labels);
    }

    /// Returns the counter of connections that a bound closes.
    pub fn client_closures(&self) -> Counter<u64> {
        self.client_closures.clone()
    }

    /// Records the age of the configuration.
    pub fn config_age(&self, millis: u64) {
        self.config_age.record(millis, &[]);
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn text(&self, in_flight: usize, version: u64, targets: usize) -> eyre::Result<String> {
        self.in_flight.record(in_flight as u64, &[]);
        self.version.record(version, &[]);
        self.targets.record(targets as u64, &[]);
        Ok(TextEncoder::new().encode_to_string(&self.registry.gather())?)
    }
}
