//! Keeps the lists of VMs alike. VMs read the list when they start; with quotas, those that run must
//! learn of later VMs, because owners follow from the list. A VM that follows another one compares its list
//! with that of its source; one that follows the store reads the list there.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use carobshore_http::head::RequestHead;
use carobshore_http::persistent_client::PersistentClient;
use carobshore_lib::prelude::StorePosition;
use carobshore_lib::roster_digest::RosterDigest;
use carobshore_lib::roster_sync;
use carobshore_lib::vm_roster::VmRoster;
use carobshore_platform::store_client::StoreFailure;
use carobshore_platform::store_client::Topic;
use tokio::time::sleep;

use crate::feed_client::CONNECT_TIMEOUT;
use crate::feed_client::ToldList;
use crate::gateway::Gateway;
use crate::record_source::RecordSource;
use crate::registrar;
use crate::registrar::NEW_FIELD;
use crate::reply::Reply;
use crate::vm_registration;

/// Header field of a poll and of its answer: the digest of the sender's list of VMs.
pub(crate) const LIST_FIELD: &str = "Vm-List";

/// Pause between two reads of the list in the store. A VM that joins grants tokens 10 s later at the earliest;
/// by then all others have to know it, through two VMs at most, each of which compares lists every 2 s.
const STORE_PAUSE: Duration = Duration::from_secs(3);
/// How long after its start a VM that counts as new reads the list there, whomever it follows and whether
/// there are quotas or not. Others may register again, or learn of this VM, only later, because the store turns
/// them away.
const NEW_TIME: Duration = Duration::from_secs(15);
/// Time limit of a read of what was added to the list.
const READ_TIMEOUT: Duration = Duration::from_secs(1);

/// Returns the digest of this VM's list; nothing if the settings call for no quotas, or there is no list.
pub(crate) fn digest(gateway: &Gateway) -> Option<RosterDigest> {
    let is_used = gateway.boot.borrow().quota.is_some() && !gateway.roster().is_empty();
    is_used.then(|| gateway.quotas.sync.borrow().own())
}

/// Adds to the answer to a poll what this VM tells of its list.
pub(crate) fn with_list(gateway: &Gateway, reply: Reply) -> Reply {
    let Some(digest) = digest(gateway) else {
        return reply;
    };
    let reply = reply.with_field(LIST_FIELD, &digest.to_string());
    match gateway.quotas.table.borrow().may_confirm() {
        true => reply,
        false => reply.with_field(NEW_FIELD, "1"),
    }
}

/// Compares this VM's list with what its source has told, and reads the list of the source if they differ.
pub(crate) fn compare(gateway: &Rc<Gateway>, source: SocketAddr, told: ToldList) {
    match digest(gateway) {
        None => return,
        Some(own) if own == told.digest => return confirm(gateway, told.may_confirm),
        Some(_) => {}
    }
    let due = gateway
        .quotas
        .sync
        .borrow_mut()
        .begin(Instant::now(), told.digest);
    if due {
        let gateway = Rc::clone(gateway);
        ntex::rt::spawn(async move { exchange(&gateway, source).await });
    }
}

/// Records the digest of the list of a VM that polls this one. One that differs says nothing: the other VM
/// compares the lists itself.
pub(crate) fn hear(gateway: &Gateway, head: &RequestHead) {
    let told = head.fields.text(LIST_FIELD).map(str::parse);
    if let Some(Ok(other)) = told
        && digest(gateway) == Some(other)
    {
        confirm(gateway, false);
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
    if extend(gateway, &told.roster, RecordSource::Vm(source)) {
        return;
    }
    confirm(gateway, false);
    let known = gateway.roster().clone();
    if let Some(unknown) = roster_sync::lacking(&known, &told.roster) {
        // The answer is the list that the source has read; the next poll compares it.
        let _ = registrar::ask(client(), None, unknown).await;
    }
}

/// Adds VMs that this VM's list lacks. Returns whether there are any.
fn extend(gateway: &Gateway, told: &VmRoster, from: RecordSource) -> bool {
    let known = gateway.roster().clone();
    let mut merged = known.clone();
    merged.merge(told);
    if merged == known {
        return false;
    }
    let vms = merged.len().unwrap_or(0);
    log::info!(vms, from:%; "list of VMs extended");
    gateway.replace_roster(merged);
    true
}

/// Reads the list in the store again and again while this VM needs it, until the process exits.
pub(crate) async fn follow_store(gateway: Rc<Gateway>) -> eyre::Result<()> {
    let mut known = None;
    loop {
        sleep(STORE_PAUSE).await;
        if !needs_list(&gateway) {
            continue;
        }
        known = match read_from(&gateway, known).await {
            Ok((told, end)) => {
                if !extend(&gateway, &told, RecordSource::Store) {
                    // The store may turn some of the others away.
                    let is_known = !gateway.is_new() || gateway.uptime() >= NEW_TIME;
                    confirm(&gateway, is_known);
                }
                Some(end)
            }
            Err(failure) => {
                log::debug!(reason:% = failure; "the list of VMs cannot be read again");
                known.filter(|_| failure != StoreFailure::Expired)
            }
        };
    }
}

/// Records that another VM, or the store, lists no VM that this one does not know, and whether that also means
/// that the others know this VM.
fn confirm(gateway: &Gateway, is_known: bool) {
    let mut table = gateway.quotas.table.borrow_mut();
    match is_known {
        true => table.list_confirmed(Instant::now()),
        false => table.list_covered(Instant::now()),
    }
}

/// Returns whether nobody else tells this VM of those that its list lacks.
fn needs_list(gateway: &Gateway) -> bool {
    let is_new = gateway.is_new() && gateway.uptime() < NEW_TIME;
    let follows_store = gateway.feed(Topic::Operators).is_read_from_store();
    is_new || follows_store && digest(gateway).is_some()
}

/// Reads what was added to the list in the store since a position, or all of it if there is none or it is of
/// an earlier era. Returns it with the position up to which the list is known.
async fn read_from(
    gateway: &Gateway,
    known: Option<StorePosition>,
) -> Result<(VmRoster, StorePosition), StoreFailure> {
    let mut client = vm_registration::store_client(gateway);
    if let Some(from) = known.filter(|known| known.era == gateway.eras.newest()) {
        let page = client.read(from.offset.0, Duration::ZERO, READ_TIMEOUT);
        let page = page.await;
        gateway.metrics.store_call("list", &page);
        let page = page?;
        if page.next.era == from.era {
            return Ok((vm_registration::decode(&page.records), page.next));
        }
    }
    let newest = client.newest().await;
    gateway.metrics.store_call("list", &newest);
    let newest = newest?;
    Ok((vm_registration::decode(&newest.records), newest.end))
}
