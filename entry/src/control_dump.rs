//! The control thread's part of the dump.

use serde_json::Value;
use serde_json::json;

use crate::control::Control;

/// Returns the state of the control thread as JSON. The caller adds the data thread's part.
pub(crate) fn control_dump(control: &Control) -> Value {
    let now = control.clock.now();
    let follower = control.follower.borrow();
    let fold = follower.state();
    let membership = control.membership.borrow();
    let lease = control.lease.borrow();
    let lease_left = lease
        .until()
        .map(|until| until.saturating_duration_since(now));
    let current = follower
        .caught_up_at()
        .map(|at| now.saturating_duration_since(at));
    let leaving: Vec<_> = control.leaving.borrow().targets().collect();
    json!({
        "vm": membership.vm(),
        "domain": control.settings.domain,
        "policy": format!("{:?}", control.settings.policy),
        "ready": follower.is_ready(),
        "member": membership.is_member(),
        "applied": fold.applied(),
        "confirms": fold.confirms(),
        "skipped_records": fold.skipped(),
        "log_current_ms_ago": current.map(|age| age.as_millis() as u64),
        "lease_left_ms": lease_left.map(|left| left.as_millis() as u64),
        "services": fold.config().services,
        "routes": fold.config().routes,
        "roster": fold.roster().members,
        "down": *control.down.borrow(),
        "leaving": leaving,
        "appender_idle": control.appender.borrow().is_idle(),
        "last_report": *control.last_report.borrow(),
        "counts": *control.counts.borrow(),
        "components": control.supervisor.children(),
    })
}
