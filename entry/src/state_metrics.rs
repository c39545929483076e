//! Gauges that are set from the state of the VM when the metrics are scraped.

use std::time::Duration;
use std::time::Instant;

use carobshore_lib::pool_counters::PoolCounters;
use carobshore_lib::prelude::ServiceId;
use opentelemetry::KeyValue;
use opentelemetry::metrics::Gauge;
use opentelemetry::metrics::Meter;

use crate::view::View;

/// The gauges of the control thread and of the measuring budgets.
#[derive(Debug)]
pub(crate) struct StateMetrics {
    ready: Gauge<u64>,
    applied: Gauge<u64>,
    members: Gauge<u64>,
    down: Gauge<u64>,
    lease: Gauge<f64>,
    control: Gauge<u64>,
    share: Gauge<u64>,
    spent: Gauge<u64>,
    refused: Gauge<u64>,
}

impl StateMetrics {
    pub(crate) fn new(meter: &Meter) -> Self {
        let gauge = |name: &'static str, text: &'static str| {
            meter.u64_gauge(name).with_description(text).build()
        };
        Self {
            ready: gauge("carobshore.ready", "1 when the configuration is current"),
            applied: gauge(
                "carobshore.log_applied",
                "Offset of the record applied next",
            ),
            members: gauge("carobshore.members", "Entry VMs in the roster"),
            down: gauge("carobshore.members_down", "Entry VMs that miss heartbeats"),
            lease: meter
                .f64_gauge("carobshore.read_lease_left")
                .with_unit("s")
                .with_description("Time until the read lease ends; 0 without a lease")
                .build(),
            control: gauge(
                "carobshore.control_events",
                "Work of the control thread since the start",
            ),
            share: gauge(
                "carobshore.measuring_share_us",
                "Target time per second that this VM may use for measuring, in microseconds",
            ),
            spent: gauge(
                "carobshore.measuring_spent_us",
                "Target time that probes of this VM took since the start, in microseconds",
            ),
            refused: gauge(
                "carobshore.measuring_refused",
                "Probes that waited because the budget was spent, since the start",
            ),
        }
    }

    /// Sets the gauges of the control thread.
    pub(crate) fn record_view(&self, now: Instant, view: &View) {
        let members = view.roster.members.len() as u64;
        self.ready.record(u64::from(view.ready), &[]);
        self.applied.record(view.applied.0, &[]);
        self.members.record(members, &[]);
        self.down.record(view.down.len() as u64, &[]);
        let until = view.lease.until();
        let left = until.map(|until| until.saturating_duration_since(now));
        self.lease
            .record(left.unwrap_or_default().as_secs_f64(), &[]);
        let counts = &view.counts;
        for (event, count) in [
            ("log-read", counts.reads),
            ("log-read-failure", counts.read_failures),
            ("append", counts.appends),
            ("append-failure", counts.append_failures),
            ("heartbeat", counts.heartbeats),
            ("heartbeat-failure", counts.heartbeat_failures),
            ("vm-list-read", counts.list_reads),
            ("vm-list-failure", counts.list_failures),
        ] {
            self.control.record(count, &[KeyValue::new("event", event)]);
        }
    }

    /// Sets the gauges of the measuring budget of a service of which this VM is a home.
    pub(crate) fn record_measuring(
        &self,
        service: &ServiceId,
        share: Duration,
        counters: &PoolCounters,
    ) {
        let labels = [KeyValue::new("service", service.to_string())];
        let share = u64::try_from(share.as_micros()).unwrap_or(u64::MAX);
        self.share.record(share, &labels);
        self.spent.record(counters.probe_micros, &labels);
        self.refused.record(counters.probes_refused, &labels);
    }
}
