//! The report of a run.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use comfy_table::Table;
use comfy_table::presets::UTF8_FULL_CONDENSED;
use serde::Serialize;

use crate::audit::Audit;
use crate::tally::Latencies;
use crate::tally::Tally;

/// Quantiles of latencies in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Quantiles {
    /// The number of latencies.
    pub count: u64,
    /// The mean.
    pub mean_ms: f64,
    /// The median.
    pub p50_ms: f64,
    /// 99 of 100 are at or below this.
    pub p99_ms: f64,
    /// 999 of 1000 are at or below this.
    pub p999_ms: f64,
    /// The longest.
    pub max_ms: f64,
}

impl From<&Latencies> for Quantiles {
    fn from(latencies: &Latencies) -> Self {
        Self {
            count: latencies.count(),
            mean_ms: millis(latencies.mean()),
            p50_ms: millis(latencies.quantile(0.5)),
            p99_ms: millis(latencies.quantile(0.99)),
            p999_ms: millis(latencies.quantile(0.999)),
            max_ms: millis(latencies.max()),
        }
    }
}

/// Returns a duration in milliseconds.
pub fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e3
}

/// The report of a run, as text or JSON.
#[derive(Clone, Debug, Serialize)]
pub struct Summary {
    /// Requests that were sent.
    pub sent: u64,
    /// Requests that were due but not sent because too many were outstanding.
    pub unsent: u64,
    /// Latencies of complete responses, from the scheduled time.
    pub whole: Quantiles,
    /// Latencies of everything else.
    pub other: Quantiles,
    /// How late the tool itself handed over requests.
    pub own_delay: Quantiles,
    /// Latencies of complete responses by kind of request.
    pub kinds: BTreeMap<String, Quantiles>,
    /// Counts by verdict.
    pub verdicts: BTreeMap<String, u64>,
    /// Counts by result code.
    pub codes: BTreeMap<Box<str>, u64>,
    /// Counts of everything but complete responses, by kind of request, verdict and result code.
    pub failures: BTreeMap<String, u64>,
    /// Counts by target.
    pub targets: BTreeMap<Box<str>, u64>,
    /// Contradictions with what the targets did, if they were asked.
    pub audit: Option<Audit>,
    /// Responses and executions that break an invariant.
    pub violations: u64,
}

impl Summary {
    /// Builds the report.
    pub fn new(tally: &Tally, audit: Option<Audit>) -> Self {
        let verdicts = tally.verdicts.iter();
        let kinds = tally.kinds.iter();
        let failures = tally.failures.iter();
        let failures = failures.map(|(failure, count)| (failure.to_string(), *count));
        let audited = audit.map_or(0, |audit| audit.violations());
        Self {
            sent: tally.sent,
            unsent: tally.unsent,
            whole: (&tally.whole).into(),
            other: (&tally.other).into(),
            own_delay: (&tally.delay).into(),
            kinds: kinds
                .map(|(kind, seen)| (kind.to_string(), seen.into()))
                .collect(),
            verdicts: verdicts
                .map(|(verdict, count)| (verdict.to_string(), *count))
                .collect(),
            codes: tally.codes.clone(),
            failures: failures.collect(),
            targets: tally.targets.clone(),
            audit,
            violations: tally.violations() + audited,
        }
    }

    fn latency_table(&self) -> Table {
        let mut table = Table::new();
        table.load_style(UTF8_FULL_CONDENSED);
        table.set_header(["latency, ms", "count", "mean", "p50", "p99", "p99.9", "max"]);
        let mut add = |name: &str, row: &Quantiles| {
            let values = [row.mean_ms, row.p50_ms, row.p99_ms, row.p999_ms, row.max_ms];
            let mut cells = vec![name.to_owned(), row.count.to_string()];
            cells.extend(values.map(|value| format!("{value:.2}")));
            table.add_row(cells);
        };
        add("whole", &self.whole);
        for (kind, row) in &self.kinds {
            add(&format!("whole, {kind}"), row);
        }
        add("other", &self.other);
        add("delay of the tool", &self.own_delay);
        table
    }
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "sent {}, not sent {}", self.sent, self.unsent)?;
        writeln!(f, "{}", self.latency_table())?;
        write_counts(f, "verdicts", &self.verdicts)?;
        write_counts(f, "codes", &self.codes)?;
        if !self.failures.is_empty() {
            write_counts(f, "failures", &self.failures)?;
        }
        write_counts(f, "targets", &self.targets)?;
        if let Some(audit) = &self.audit {
            writeln!(
                f,
                "audit: ran twice {}, ran although \"not run\" {}, whole but never ran {}, untracked {}",
                audit.ran_twice, audit.ran_after_all, audit.never_ran, audit.untracked,
            )?;
        }
        write!(f, "violations: {}", self.violations)
    }
}

fn write_counts<K: fmt::Display>(
    f: &mut fmt::Formatter<'_>,
    name: &str,
    counts: &BTreeMap<K, u64>,
) -> fmt::Result {
    let parts: Vec<_> = counts
        .iter()
        .map(|(key, count)| format!("{key} {count}"))
        .collect();
    writeln!(f, "{name}: {}", parts.join(", "))
}
