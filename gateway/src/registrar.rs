//! Registers VMs that ask this one to, and tells them the list of VMs.
//!
//! With one call of the store for each VM, a start of all VMs would cost as many calls as there are
//! VMs. So a VM asks one of those that its settings name, and that one registers many with one call.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use carobshore_http::fields::Fields;
use carobshore_http::head::RequestHead;
use carobshore_http::persistent_client::PersistentClient;
use carobshore_lib::join_queue::JoinQueue;
use carobshore_lib::prelude::StoreEra;
use carobshore_lib::vm_roster::VmRecord;
use carobshore_lib::vm_roster::VmRoster;
use tokio::sync::Notify;
use tokio::time::sleep_until;
use tokio::time::timeout_at;

use crate::compressed_body;
use crate::compressed_body::CompressedBody;
use crate::feed;
use crate::gateway::Gateway;
use crate::reply::Reply;
use crate::vm_registration;

/// The path at which a VM asks to be registered, and the header field with its record.
const PATH: &str = "/vms";
const RECORD_FIELD: &str = "Vm-Record";
/// Header field of an answer, set if other VMs may have read the list without the VM that asks; in answers to
/// polls, without the VM that answers.
pub(crate) const NEW_FIELD: &str = "Vm-New";
/// How long a VM that asks is kept waiting for the list.
const HOLD: Duration = Duration::from_millis(2_000);
/// Time allowed for an answer in addition to [`HOLD`].
const ANSWER_MARGIN: Duration = Duration::from_millis(200);

/// What a VM knows once it is registered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Registration {
    /// All VMs.
    pub(crate) roster: VmRoster,
    /// The era of the store in which this VM is on its list; nothing from VMs of the release before.
    pub(crate) era: Option<StoreEra>,
    /// Whether other VMs may have read the list without this VM.
    pub(crate) is_new: bool,
}

/// The VMs that have asked this one to register them.
#[derive(Debug, Default)]
pub(crate) struct Registrar {
    queue: RefCell<JoinQueue>,
    /// Notified when a VM asks.
    asked: Notify,
    /// Notified when the list of VMs changes.
    changed: Notify,
    /// The list of VMs as it is sent, until it changes.
    encoded: RefCell<Option<CompressedBody>>,
}

impl Registrar {
    /// Records that the list of VMs has changed.
    pub(crate) fn list_changed(&self) {
        *self.encoded.borrow_mut() = None;
        self.changed.notify_waiters();
    }

    /// Takes the VMs to register that the list lacks.
    pub(crate) fn take(&self, known: &VmRoster) -> Vec<VmRecord> {
        self.queue.borrow_mut().take(Instant::now(), known)
    }

    /// Waits until VMs have to be registered.
    pub(crate) async fn due(&self) {
        loop {
            let due = self.queue.borrow().due();
            match due {
                Some(due) => return sleep_until(due.into()).await,
                None => self.asked.notified().await,
            }
        }
    }

    fn add(&self, vm: &VmRecord) {
        self.queue.borrow_mut().add(Instant::now(), vm.clone());
        self.asked.notify_one();
    }

    /// Returns the answer with the list of VMs.
    fn reply(&self, roster: &VmRoster, is_new: bool) -> std::io::Result<Reply> {
        let mut encoded = self.encoded.borrow_mut();
        if encoded.is_none() {
            *encoded = Some(CompressedBody::new(serde_json::to_vec(roster)?)?);
        }
        let reply = encoded.as_ref().map(CompressedBody::reply);
        let reply = reply.unwrap_or_else(|| Reply::text(500, "no list of VMs\n"));
        Ok(match is_new {
            true => reply.with_field(NEW_FIELD, "1"),
            false => reply,
        })
    }
}

/// Answers a VM that asks to be registered. Returns nothing if the request is not one.
pub(crate) async fn answer(gateway: &Gateway, head: &RequestHead) -> Option<Reply> {
    if (&*head.method, &*head.target) != ("GET", PATH) {
        return None;
    }
    let record = head.fields.text(RECORD_FIELD);
    let record = record.and_then(|text| serde_json::from_str::<VmRecord>(text).ok());
    let Some(record) = record else {
        return Some(Reply::text(400, "no valid record of a VM\n"));
    };
    let asked_era = era(&head.fields);
    if let Some(era) = asked_era {
        gateway.eras.observe(era);
    }
    // A VM that states no era only wants to know the list.
    let is_registered = || match asked_era {
        Some(_) => gateway.listed().has(&record),
        None => gateway.roster().has(&record),
    };
    let registrar = gateway.registrar();
    let until = Instant::now() + HOLD;
    let mut is_new = false;
    loop {
        if is_registered() {
            let reply = registrar.reply(&gateway.roster(), is_new);
            let reply = reply.unwrap_or_else(|error| Reply::text(500, error.to_string()));
            let era = gateway.listed_era().to_string();
            return Some(reply.with_field(feed::ERA_FIELD, &era));
        }
        is_new |= !gateway.roster().is_empty() && !gateway.is_known_to_others(&record);
        registrar.add(&record);
        let changed = registrar.changed.notified();
        if timeout_at(until.into(), changed).await.is_err() {
            return Some(Reply::text(503, "the list of VMs cannot be read now\n"));
        }
    }
}

/// Returns the newest era of the store that another VM knows.
fn era(fields: &Fields) -> Option<StoreEra> {
    fields.text(feed::ERA_FIELD)?.parse().ok()
}

/// Registers the VMs that ask, until the process exits.
pub(crate) async fn serve(gateway: Rc<Gateway>) -> eyre::Result<()> {
    loop {
        gateway.registrar().due().await;
        vm_registration::register_others(&gateway).await;
    }
}

/// Asks another VM for the list of VMs, and to register this one in the era `newest` or a later one, if
/// there is one. Returns nothing if it does not tell the list.
pub(crate) async fn ask(
    mut client: PersistentClient,
    newest: Option<StoreEra>,
    record: &VmRecord,
) -> Option<Registration> {
    let mut fields = Fields::default();
    if let Some(era) = newest {
        fields.add(feed::ERA_FIELD, era.to_string());
    }
    fields.add(RECORD_FIELD, serde_json::to_string(record).ok()?);
    let response = client.call_with(fields, "GET", PATH, &[], HOLD + ANSWER_MARGIN);
    let response = response.await.ok()?;
    let body = compressed_body::decode(&response.head.fields, &response.body).ok()?;
    let roster = (response.head.status == 200).then(|| serde_json::from_slice(&body));
    Some(Registration {
        roster: roster?.ok()?,
        era: era(&response.head.fields),
        is_new: response.head.fields.text(NEW_FIELD).is_some(),
    })
}
