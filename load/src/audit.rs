//! Compares what responses claimed with what the targets did.

use std::collections::HashMap;

use carobshore_standin::executions::Executions;
use carobshore_standin::executions::RunCount;
use serde::Serialize;

use crate::arrival::Kind;
use crate::checker::Verdict;

/// What a response said about one request.
#[derive(Clone, Debug)]
pub struct Claim {
    /// The request's `x-request-id`, under which targets count executions. Each key belongs to one
    /// request of the load, so the id also finds runs whose key was dropped on the way.
    pub execution: Box<str>,
    /// The kind of request.
    pub kind: Kind,
    /// What the response said.
    pub verdict: Verdict,
}

/// How often claims and executions contradict each other.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Audit {
    /// Requests that are not idempotent and ran more than once.
    pub ran_twice: u64,
    /// Requests that ran although the response said that they did not.
    pub ran_after_all: u64,
    /// Requests with a complete response that no target ran.
    pub never_ran: u64,
    /// Requests that the targets no longer tell apart; the audit is partial unless this is 0.
    pub untracked: u64,
}

impl Audit {
    /// Checks the claims against the counts of all targets.
    pub fn check(claims: &[Claim], targets: &[Executions]) -> Self {
        let mut runs = HashMap::<&str, RunCount>::new();
        let mut audit = Self::default();
        for target in targets {
            audit.untracked += target.untracked;
            for (id, count) in &target.counts {
                let total = runs.entry(id).or_default();
                total.started += count.started;
                total.ran += count.ran;
            }
        }
        for claim in claims {
            let count = runs.get(&*claim.execution).copied().unwrap_or_default();
            audit.add(claim, count);
        }
        audit
    }

    /// Returns how many contradictions there are.
    pub fn violations(&self) -> u64 {
        self.ran_twice + self.ran_after_all + self.never_ran
    }

    fn add(&mut self, claim: &Claim, count: RunCount) {
        if !claim.kind.is_idempotent() && count.ran > 1 {
            self.ran_twice += 1;
        }
        if claim.verdict == Verdict::NotRun && count.started > 0 {
            self.ran_after_all += 1;
        }
        if claim.verdict == Verdict::Whole && count.ran == 0 {
            self.never_ran += 1;
        }
    }
}
