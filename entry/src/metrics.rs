//! Metrics of the data plane, exported as Prometheus text.

use std::time::Duration;

use carobshore_lib::pool_event::AttemptResult;
use carobshore_lib::prelude::Outcome;
use carobshore_lib::prelude::ResultCode;
use carobshore_lib::prelude::ServiceId;
use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use opentelemetry::metrics::Gauge;
use opentelemetry::metrics::Histogram;
use opentelemetry::metrics::MeterProvider;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::Registry;
use prometheus::TextEncoder;

use crate::call_head::Port;
use crate::state_metrics::StateMetrics;

/// Upper bounds of the buckets of response times, in seconds.
const BUCKETS: [f64; 14] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 60.0,
];

/// The instruments of one VM.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    // Kept because instruments stop recording when their provider is dropped.
    _provider: SdkMeterProvider,
    requests: Counter<u64>,
    attempts: Counter<u64>,
    probes: Counter<u64>,
    hedges: Counter<u64>,
    seconds: Histogram<f64>,
    in_flight: Gauge<u64>,
    connections: Gauge<u64>,
    /// Gauges that are set at each scrape.
    pub(crate) state: StateMetrics,
}

impl Metrics {
    pub(crate) fn new() -> eyre::Result<Self> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("carobshore-entry");
        Ok(Self {
            state: StateMetrics::new(&meter),
            requests: meter
                .u64_counter("carobshore.requests")
                .with_description("Requests by how they ended")
                .build(),
            attempts: meter
                .u64_counter("carobshore.attempts")
                .with_description("Attempts at targets and other entry VMs by their result")
                .build(),
            probes: meter
                .u64_counter("carobshore.probes")
                .with_description("Probes by their result")
                .build(),
            hedges: meter
                .u64_counter("carobshore.hedges")
                .with_description("Second copies of idempotent requests")
                .build(),
            seconds: meter
                .f64_histogram("carobshore.request")
                .with_unit("s")
                .with_description("Time from the head of a request to the end of its response")
                .with_boundaries(BUCKETS.to_vec())
                .build(),
            in_flight: meter
                .u64_gauge("carobshore.in_flight")
                .with_description("Requests in flight")
                .build(),
            connections: meter
                .u64_gauge("carobshore.connections")
                .with_description("Connections to targets and other entry VMs")
                .build(),
            registry,
            _provider: provider,
        })
    }

    /// Counts a request that ended before it was routed. The service that it names is not used as a
    /// label, since callers could create any number of label values.
    pub(crate) fn record_refusal(&self, port: Port, outcome: Outcome, code: ResultCode) {
        self.requests.add(1, &labels(port, "", outcome, code));
    }

    /// Counts a request that has ended, and records its time.
    pub(crate) fn record_request(
        &self,
        port: Port,
        service: &ServiceId,
        outcome: Outcome,
        code: ResultCode,
        time: Duration,
    ) {
        let labels = labels(port, service.as_str(), outcome, code);
        self.requests.add(1, &labels);
        self.seconds.record(time.as_secs_f64(), &labels[..2]);
    }

    /// Counts the end of an attempt.
    pub(crate) fn record_attempt(
        &self,
        service: &ServiceId,
        place: &'static str,
        result: AttemptResult,
    ) {
        let labels = [
            KeyValue::new("service", service.to_string()),
            KeyValue::new("place", place),
            KeyValue::new("result", result_name(result)),
        ];
        self.attempts.add(1, &labels);
    }

    /// Counts the end of a probe.
    pub(crate) fn record_probe(&self, service: &ServiceId, result: AttemptResult) {
        let labels = [
            KeyValue::new("service", service.to_string()),
            KeyValue::new("result", result_name(result)),
        ];
        self.probes.add(1, &labels);
    }

    /// Counts a hedge, the second copy of an idempotent request.
    pub(crate) fn record_hedge(&self, service: &ServiceId) {
        let labels = [KeyValue::new("service", service.to_string())];
        self.hedges.add(1, &labels);
    }

    /// Returns all metrics as Prometheus text.
    pub(crate) fn text(&self, in_flight: usize, connections: usize) -> eyre::Result<String> {
        self.in_flight.record(in_flight as u64, &[]);
        self.connections.record(connections as u64, &[]);
        Ok(TextEncoder::new().encode_to_string(&self.registry.gather())?)
    }
}

fn labels(port: Port, service: &str, outcome: Outcome, code: ResultCode) -> [KeyValue; 4] {
    [
        KeyValue::new("port", port.as_str()),
        KeyValue::new("service", service.to_owned()),
        KeyValue::new("outcome", outcome.as_str()),
        KeyValue::new("code", i64::from(code.number())),
    ]
}

fn result_name(result: AttemptResult) -> &'static str {
    match result {
        AttemptResult::Done => "done",
        AttemptResult::ServerError => "server-error",
        AttemptResult::Shed => "shed",
        AttemptResult::Draining => "draining",
        AttemptResult::Deadline => "deadline",
        AttemptResult::ConnectFailed => "connect-failed",
        AttemptResult::Broken => "broken",
        AttemptResult::TimedOut => "timed-out",
        AttemptResult::Cancelled => "cancelled",
    }
}
