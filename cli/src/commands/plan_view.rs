//! The printed form of a plan.

use std::collections::BTreeMap;
use std::fmt::Write;

use carobshore_lib::pending::PendingIntent;
use carobshore_lib::prelude::*;
use serde::Serialize;

/// An intent and its plan, as printed.
#[derive(Debug, Serialize)]
pub(crate) struct PlanView {
    intent: RecordId,
    operator: OperatorId,
    note: Box<str>,
    digest: PlanDigest,
    bases: BTreeMap<ItemId, Version>,
    lines: Vec<String>,
    warnings: Vec<String>,
    next: String,
}

impl PlanView {
    /// Computes the plan of a pending intent against the configuration.
    pub(crate) fn new(config: &Config, pending: &PendingIntent) -> Result<Self> {
        Self::with_id(config, pending.id, &pending.intent)
    }

    /// Computes the plan of an intent that will be, or was, published under the given id.
    pub(crate) fn with_id(config: &Config, id: RecordId, intent: &Intent) -> Result<Self> {
        let plan = Plan::new(config, intent)?;
        let digest = plan.digest();
        Ok(Self {
            intent: id,
            operator: intent.operator.clone(),
            note: intent.note.clone(),
            digest,
            bases: plan.bases().clone(),
            lines: plan.lines(),
            warnings: plan.warnings(),
            next: format!("carobshore confirm {id} --digest {digest}"),
        })
    }

    /// Returns the plan as text.
    pub(crate) fn text(&self) -> String {
        let mut text = String::new();
        let _ = writeln!(text, "intent {} by {}", self.intent, self.operator);
        if !self.note.is_empty() {
            let _ = writeln!(text, "note   {}", self.note);
        }
        let _ = writeln!(text, "digest {}\n", self.digest);
        for line in &self.lines {
            let _ = writeln!(text, "{line}");
        }
        for warning in &self.warnings {
            let _ = writeln!(text, "warning: {warning}");
        }
        let _ = writeln!(text, "\nnext: {}", self.next);
        text
    }
}
