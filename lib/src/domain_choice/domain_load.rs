//! The load of the targets of a failure domain, by their recent reports.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::load_report::LoadReport;
use crate::target_id::TargetId;

/// How long a report counts.
const WINDOW: Duration = Duration::from_secs(1);
/// Fewest targets whose reports tell the load of a domain. With fewer, one busy target would look
/// like a busy domain.
const MIN_TARGETS: usize = 3;

/// By how many requests the load of a target usually differs from that of the others.
const REQUEST_SPREAD: f64 = 1.0;

/// The last report of each target of a failure domain.
#[derive(Clone, Debug, Default)]
pub struct DomainLoad {
    reports: BTreeMap<TargetId, (Instant, LoadReport)>,
}

impl DomainLoad {
    /// Records a report that has just arrived.
    pub fn observe(&mut self, now: Instant, target: &TargetId, report: LoadReport) {
        match self.reports.get_mut(target) {
            Some(known) => *known = (now, report),
            None => {
                self.reports.insert(target.clone(), (now, report));
            }
        }
    }

    /// Removes reports that no longer count.
    pub fn expire(&mut self, now: Instant) {
        self.reports.retain(|_, (at, _)| is_recent(now, *at));
    }

    /// Returns the requests per slot, waiting ones included; nothing if too few targets have
    /// reported. `targets` is the number of targets that the domain has.
    pub fn per_slot(&self, now: Instant, targets: usize) -> Option<f64> {
        let sample = self.sample(now, targets)?;
        Some(sample.held / sample.slots)
    }

    /// Returns the same plus the uncertainty of a sample of a few targets. Three targets with two free
    /// slots each are no rare sample of a domain that is nearly full.
    pub fn cautious_per_slot(&self, now: Instant, targets: usize) -> Option<f64> {
        let sample = self.sample(now, targets)?;
        let error = REQUEST_SPREAD * sample.count.sqrt();
        Some((sample.held + error) / sample.slots)
    }

    fn sample(&self, now: Instant, targets: usize) -> Option<Sample> {
        let mut sample = Sample::default();
        let recent = self.reports.values().filter(|(at, _)| is_recent(now, *at));
        for (_, report) in recent {
            sample.count += 1.0;
            sample.held += f64::from(report.running) + f64::from(report.waiting);
            sample.slots += f64::from(report.slots.max(1));
        }
        let enough = sample.count >= MIN_TARGETS.min(targets.max(1)) as f64;
        enough.then_some(sample)
    }
}

/// The sums of the recent reports.
#[derive(Clone, Copy, Debug, Default)]
struct Sample {
    count: f64,
    held: f64,
    slots: f64,
}

fn is_recent(now: Instant, at: Instant) -> bool {
    now.saturating_duration_since(at) <= WINDOW
}
