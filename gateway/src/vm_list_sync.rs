//! Keeps the lists of VMs alike. VMs read the list when they start; with quotas, those that run must
//! learn of later VMs, because owners follow from the list.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use carobshore_http::persistent_client::PersistentClient;
use carobshore_lib::roster_digest::RosterDigest;
use carobshore_lib::roster_sync;

use crate::feed_client::CONNECT_TIMEOUT;
use crate::gateway::Gateway;
use crate::registrar;
use crate::vm_registration;

/// Header field of an answer to a poll: the digest of the sender's list of VMs.
pub(crate) const LIST_FIELD: &str = "Vm-List";

/// Returns the digest of this VM's list; nothing if the settings call for no quotas, or there is no list.
pub(crate) fn digest(gateway: &Gateway) -> Option<RosterDigest> {
    let is_used = gateway.boot.borrow().quota.is_some() && !gateway.roster().is_empty();
    is_used.then(|| gateway.quotas.sync.borrow().own())
}

/// Compares this VM's list with the digest that its source has told, and reads the list of the source if
/// they differ.
pub(crate) fn compare(gateway: &Rc<Gateway>, source: SocketAddr, other: RosterDigest) {
    match digest(gateway) {
        None => return,
        Some(own) if own == other => {
            let mut table = gateway.quotas.table.borrow_mut();
            return table.list_confirmed(Instant::now());
        }
        Some(_) => {}
    }
    let due = gateway
        .quotas
        .sync
        .borrow_mut()
        .begin(Instant::now(), other);
    if due {
        let gateway = Rc::clone(gateway);
        ntex::rt::spawn(async move { exchange(&gateway, source).await });
    }
}

/// Adds the VMs that only the source knows, or else tells the source of one that it lacks: it then reads
/// the list in the store.
async fn exchange(gateway: &Gateway, source: SocketAddr) {
    let client = || PersistentClient::new(source, CONNECT_TIMEOUT);
    let record = vm_registration::own_record(gateway);
    let Some(told) = registrar::ask(client(), None, &record).await else {
        return;
    };
    let known = gateway.roster().clone();
    let mut merged = known.clone();
    merged.merge(&told.roster);
    if merged != known {
        let vms = merged.len().unwrap_or(0);
        log::info!(vms, from:% = source; "list of VMs extended");
        return gateway.replace_roster(merged);
    }
    if let Some(unknown) = roster_sync::lacking(&known, &told.roster) {
        // The answer is the list that the source has read; the next poll compares it.
        let _ = registrar::ask(client(), None, unknown).await;
    }
}
