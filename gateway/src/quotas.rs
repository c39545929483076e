//! The quotas of organisations at this VM: what is known of them, and who waits for tokens.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Instant;

use carobshore_lib::access::organisation_id::OrganisationId;
use carobshore_lib::quota::largest_organisations::LargestOrganisations;
use carobshore_lib::quota::owner_answer::OwnerAnswer;
use carobshore_lib::quota::owner_contact::OwnerContact;
use carobshore_lib::quota::quota_account::QuotaAccount;
use carobshore_lib::quota::quota_table::QuotaTable;
use carobshore_lib::roster_sync::RosterSync;
use carobshore_lib::vm_roster::VmRoster;
use carobshore_platform::boot_settings::BootSettings;
use serde_json::Value;
use serde_json::json;
use tokio::sync::Notify;

use crate::owner_connections::OwnerConnections;

/// The quotas of organisations at this VM.
#[derive(Debug)]
pub(crate) struct Quotas {
    /// What is known of them, as an owner and as the VM that serves callers.
    pub(crate) table: RefCell<QuotaTable>,
    /// Connections to the owners.
    pub(crate) connections: OwnerConnections,
    /// The organisations with metrics of their own.
    pub(crate) named: RefCell<LargestOrganisations>,
    /// When to compare the list of VMs with that of another VM.
    pub(crate) sync: RefCell<RosterSync>,
    questions: RefCell<HashMap<OrganisationId, Rc<Question>>>,
}

/// The requests of one organisation that wait for tokens. One question to an owner serves all of them.
#[derive(Debug, Default)]
pub(crate) struct Question {
    /// The number of requests that wait.
    pub(crate) waiting: Cell<u32>,
    /// Whether an owner is being asked.
    pub(crate) asked: Cell<bool>,
    /// Notified when the owner has answered.
    pub(crate) answered: Notify,
}

impl Quotas {
    /// Creates the state of a VM that knows no other one yet.
    pub(crate) fn new(boot: &BootSettings) -> Self {
        Self {
            table: RefCell::new(QuotaTable::new(&boot.vm_name, boot.domain.clone())),
            connections: OwnerConnections::default(),
            named: RefCell::default(),
            sync: RefCell::default(),
            questions: RefCell::default(),
        }
    }

    /// Sets the list of VMs. `is_new` says whether other VMs may not know this one.
    pub(crate) fn set_roster(&self, roster: &VmRoster, is_new: bool) {
        self.sync.borrow_mut().set(roster);
        let mut table = self.table.borrow_mut();
        table.set_roster(Instant::now(), roster, is_new);
    }

    /// Returns the requests of an organisation that wait for tokens.
    pub(crate) fn question(&self, organisation: &OrganisationId) -> Rc<Question> {
        let mut questions = self.questions.borrow_mut();
        if let Some(question) = questions.get(organisation) {
            return Rc::clone(question);
        }
        let question = Rc::new(Question::default());
        questions.insert(organisation.clone(), Rc::clone(&question));
        question
    }

    /// Drops questions that nobody waits for.
    pub(crate) fn drop_questions(&self) {
        let mut questions = self.questions.borrow_mut();
        questions.retain(|_, question| Rc::strong_count(question) > 1);
    }

    /// Returns what the state dump shows: quotas that requests of this VM need, and those it owns.
    pub(crate) fn dump(&self, now: Instant) -> Value {
        let table = self.table.borrow();
        let used = table
            .accounts()
            .map(|(organisation, account)| dump_account(now, organisation, account));
        let owned = table.buckets().map(|(organisation, bucket)| {
            let (saved, rate) = (bucket.saved(now), bucket.terms().rate);
            json!({"organisation": organisation.as_str(), "saved": saved, "rate": rate})
        });
        json!({"used": used.collect::<Vec<_>>(), "owned": owned.collect::<Vec<_>>()})
    }
}

fn dump_account(now: Instant, organisation: &OrganisationId, account: &QuotaAccount) -> Value {
    let owner = |contact: &OwnerContact| {
        json!({
            "vm": contact.owner.name,
            "said": contact.last.map(said),
            "not_asked_ms": contact.pause(now).map(|pause| pause.as_millis() as u64),
        })
    };
    let owners: Vec<_> = account.owners().iter().map(owner).collect();
    json!({"organisation": organisation.as_str(), "tokens": account.held(), "owners": owners})
}

fn said(answer: OwnerAnswer) -> &'static str {
    match answer {
        OwnerAnswer::Granted(_) => "granted",
        OwnerAnswer::Empty(_) => "empty",
        OwnerAnswer::NotOwner => "not-owner",
        OwnerAnswer::Silent => "silent",
    }
}
