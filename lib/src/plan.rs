//! What an intent changes when it is confirmed.

use std::collections::BTreeMap;

use crate::canonical::Canonical;
use crate::config::Config;
use crate::draft::Draft;
use crate::error::Error;
use crate::error::Result;
use crate::intent::Intent;
use crate::plan_digest::PlanDigest;
use crate::plan_report;
use crate::result_code::ResultCode;
use crate::service::Service;
use crate::service_id::ServiceId;
use crate::version::Version;

/// Names the encoding of the plan digest. A change of the encoding needs a new name, so that VMs of
/// different releases reject each other's plans rather than misread them.
const DIGEST_FORMAT: &str = "carobshore plan 1";

/// The most changes that one intent may have; it bounds the size of a record.
pub const MAX_CHANGES: usize = 1_024;

/// The longest note of an intent, in bytes.
pub const MAX_NOTE_BYTES: usize = 512;

/// The effect of an intent on the services that it touches.
///
/// A plan is a pure function of these services and the intent: the operators' client and every VM
/// compute the same one. The digest covers the services before and after, so that a confirm puts
/// exactly that into force which its operator saw.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    bases: BTreeMap<ServiceId, Version>,
    before: BTreeMap<ServiceId, Service>,
    after: BTreeMap<ServiceId, Option<Service>>,
    digest: PlanDigest,
}

impl Plan {
    /// Computes the plan, or says why the intent does not fit the configuration.
    pub fn new(config: &Config, intent: &Intent) -> Result<Self> {
        check_size(intent)?;
        let mut draft = Draft::default();
        for (index, change) in intent.changes.iter().enumerate() {
            draft.apply(config, change).map_err(|error| {
                let message = format!("change {}: {}", index + 1, error.message);
                Error::new(error.code, message, error.help)
            })?;
        }
        let (bases, after) = draft.finish();
        let before: BTreeMap<_, _> = bases
            .keys()
            .filter_map(|id| Some((id.clone(), config.service(id)?.clone())))
            .collect();
        check_effect(&before, &after)?;
        let digest = digest(intent, &bases, &before, &after);
        Ok(Self {
            bases,
            before,
            after,
            digest,
        })
    }

    /// Returns the digest that a confirm has to name.
    pub fn digest(&self) -> PlanDigest {
        self.digest
    }

    /// Returns the version of each touched service on which the plan is based.
    pub fn bases(&self) -> &BTreeMap<ServiceId, Version> {
        &self.bases
    }

    /// Returns the touched services that exist before the plan.
    pub fn before(&self) -> &BTreeMap<ServiceId, Service> {
        &self.before
    }

    /// Returns the touched services after the plan; `None` for a removed one.
    pub fn after(&self) -> &BTreeMap<ServiceId, Option<Service>> {
        &self.after
    }

    /// Returns what changes, the capacity left and the measuring cost, a line each.
    pub fn lines(&self) -> Vec<String> {
        plan_report::lines(self)
    }

    /// Returns what the operator should consider before confirming.
    pub fn warnings(&self) -> Vec<String> {
        plan_report::warnings(self)
    }

    /// Returns the services after the plan, consuming it.
    pub(crate) fn into_after(self) -> BTreeMap<ServiceId, Option<Service>> {
        self.after
    }
}

/// Checks the bounds on an intent that do not depend on the configuration.
pub(crate) fn check_size(intent: &Intent) -> Result<()> {
    let count = intent.changes.len();
    if count == 0 || count > MAX_CHANGES {
        return Err(Error::new(
            ResultCode::BadIntent,
            format!("the intent has {count} changes"),
            format!("give 1 to {MAX_CHANGES} changes; split larger ones into several intents"),
        ));
    }
    if intent.note.len() > MAX_NOTE_BYTES {
        return Err(Error::new(
            ResultCode::BadIntent,
            format!("the intent's note has {} bytes", intent.note.len()),
            format!("use at most {MAX_NOTE_BYTES} bytes"),
        ));
    }
    Ok(())
}

fn check_effect(
    before: &BTreeMap<ServiceId, Service>,
    after: &BTreeMap<ServiceId, Option<Service>>,
) -> Result<()> {
    let changed = after.iter().any(|(id, after)| {
        let before = before.get(id);
        match (before, after) {
            (Some(before), Some(after)) => {
                before.targets != after.targets
                    || before.measuring != after.measuring
                    || before.connections != after.connections
            }
            (before, after) => before.is_some() || after.is_some(),
        }
    });
    if changed {
        return Ok(());
    }
    Err(Error::new(
        ResultCode::BadIntent,
        "the intent changes nothing",
        "compare it with the present configuration in `carobshore status`; there is nothing to \
         confirm",
    ))
}

fn digest(
    intent: &Intent,
    bases: &BTreeMap<ServiceId, Version>,
    before: &BTreeMap<ServiceId, Service>,
    after: &BTreeMap<ServiceId, Option<Service>>,
) -> PlanDigest {
    let mut canonical = Canonical::new(DIGEST_FORMAT);
    canonical.number(bases.len() as u64);
    for (id, base) in bases {
        canonical.text(id.as_str());
        canonical.number(base.0);
        canonical.service(before.get(id));
        canonical.service(after[id].as_ref());
    }
    canonical.number(intent.changes.len() as u64);
    for change in &intent.changes {
        canonical.change(change);
    }
    canonical.finish()
}
