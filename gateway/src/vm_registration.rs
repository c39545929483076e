//! Registers this VM, and reads the list of VMs: through another VM that the settings name, or else
//! in the store.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use carobshore_lib::keyed_record::KeyedRecord;
use carobshore_lib::preferred_targets;
use carobshore_lib::prelude::StoreEra;
use carobshore_lib::vm_roster::VmRecord;
use carobshore_lib::vm_roster::VmRoster;
use carobshore_platform::store_client::StoreClient;
use carobshore_platform::store_client::StoreFailure;
use carobshore_platform::store_client::Topic;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::connection_race;
use crate::gateway::Gateway;
use crate::registrar;
use crate::registrar::Registration;

/// When the whole system starts for the first time: how long the VMs that register others wait for
/// these, and then for each other's registrations.
const FIRST_ASKED_TIME: Duration = Duration::from_millis(800);
const FIRST_OTHERS_TIME: Duration = Duration::from_millis(600);
/// How long the registration in the store may take. After that the VM starts without the list.
const STORE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// How long other VMs are asked before the store is called: when the whole system starts for the
/// first time, and later, when callers are waiting.
const FIRST_ASK_TIMEOUT: Duration = Duration::from_millis(3_000);
const ASK_TIMEOUT: Duration = Duration::from_millis(1_000);
/// The VMs that could ask no other one call the store within this time, one after the other.
const ASK_SPREAD: Duration = Duration::from_millis(1_500);
/// Pause after an answer without the list of VMs.
const ASK_PAUSE: Duration = Duration::from_millis(100);
/// How long a VM may take to tell the list before another one is asked as well: it may have been
/// paused, or the store may refuse its calls.
const ANSWER_PATIENCE: Duration = Duration::from_millis(400);

/// After a restart of the store, the VMs register again within this time, one after the other.
const AGAIN_SPREAD: Duration = Duration::from_millis(300);
/// How long other VMs are then asked before the store is called, and the pause before the next try.
const AGAIN_TIMEOUT: Duration = Duration::from_millis(600);
const AGAIN_PAUSE: Duration = Duration::from_millis(500);

/// Asks other VMs to register this one and to tell the list of VMs. Returns whether one has.
pub async fn ask_others(gateway: &Rc<Gateway>) -> bool {
    let started = Instant::now();
    let record = own_record(gateway);
    let limit = ask_limit(gateway, &record.name);
    let asked = timeout(limit, ask_until_told(gateway, &record)).await;
    let ms = started.elapsed().as_millis() as u64;
    match asked {
        Ok(registration) => {
            accept(gateway, registration, ms, "another VM");
            true
        }
        Err(_) => {
            log::warn!(reason = "no other VM knows it", ms; "cannot read the list of VMs");
            false
        }
    }
}

/// Registers this VM in the store and reads the list of VMs there. Returns whether it was read.
pub async fn register(gateway: &Rc<Gateway>) -> bool {
    let started = Instant::now();
    let result = timeout(STORE_TIMEOUT, register_and_read(gateway)).await;
    let ms = started.elapsed().as_millis() as u64;
    match result {
        Ok(Ok(registration)) => {
            accept(gateway, registration, ms, "the store");
            return true;
        }
        Ok(Err(failure)) => log::warn!(reason:% = failure, ms; "cannot read the list of VMs"),
        Err(_) => log::warn!(reason = "time-out", ms; "cannot read the list of VMs"),
    }
    false
}

/// Registers this VM again whenever the store has come back from an older copy, which may lack its record,
/// until the process exits.
pub(crate) async fn keep_registered(gateway: Rc<Gateway>) -> eyre::Result<()> {
    loop {
        gateway.eras.risen_above(gateway.listed_era()).await;
        let position = preferred_targets::rank(&own_record(&gateway).name, "") as f64;
        sleep(AGAIN_SPREAD.mul_f64(position / u64::MAX as f64)).await;
        if !register_again(&gateway).await {
            sleep(AGAIN_PAUSE).await;
        }
    }
}

/// Registers this VM in the newest era: through a VM that the settings name, or else in the store.
/// Returns whether it is registered.
async fn register_again(gateway: &Rc<Gateway>) -> bool {
    let record = own_record(gateway);
    let asked = match gateway.is_seed() || gateway.seeds().is_empty() {
        true => None,
        false => timeout(AGAIN_TIMEOUT, ask_until_told(gateway, &record))
            .await
            .ok(),
    };
    let newest = Some(gateway.eras.newest());
    let registration = match asked.filter(|registration| registration.era >= newest) {
        Some(registration) => registration,
        None => match timeout(STORE_TIMEOUT, read_and_append(gateway)).await {
            Ok(Ok(registration)) => registration,
            Ok(Err(_)) | Err(_) => return false,
        },
    };
    // Other VMs that are known here may not be registered again yet.
    let mut roster = registration.roster.clone();
    roster.merge(&gateway.roster());
    let era = registration.era.unwrap_or_default();
    log::info!(vms = roster.len().unwrap_or(0), era = era.get(); "registered again after a restart of the store");
    gateway.set_listed(era, registration.roster);
    if roster != *gateway.roster() {
        gateway.replace_roster(roster);
    }
    true
}

/// Registers the VMs that have asked this one to.
pub(crate) async fn register_others(gateway: &Gateway) {
    let records = gateway.registrar().take(&gateway.listed());
    if records.is_empty() {
        return gateway.registrar().list_changed();
    }
    let mut client = store_client(gateway);
    let registered = async {
        let appended = append(gateway, &mut client, &records).await?;
        let (read, roster) = read(gateway, &mut client).await?;
        Ok::<_, StoreFailure>((appended.min(read), roster))
    };
    let vms = records.len();
    match registered.await {
        Ok((era, mut roster)) => {
            let records = records.into_iter().map(|vm| stamped(vm, era));
            records.for_each(|vm| roster.add(vm));
            gateway.set_listed(era, roster.clone());
            roster.merge(&gateway.roster());
            log::info!(vms; "other VMs registered");
            gateway.replace_roster(roster);
        }
        Err(failure) => log::warn!(vms, reason:% = failure; "cannot register other VMs"),
    }
}

fn accept(gateway: &Gateway, registration: Registration, ms: u64, from: &str) {
    let Registration {
        roster,
        is_new,
        era,
    } = registration;
    log::info!(vms = roster.len().unwrap_or(0), is_new, from, ms; "list of VMs read");
    gateway.set_listed(era.unwrap_or_default(), roster.clone());
    gateway.set_roster(roster, is_new);
}

/// Returns how long other VMs are asked. The VMs give up at different times, so that they do not
/// all call the store at once.
fn ask_limit(gateway: &Gateway, name: &str) -> Duration {
    if gateway.boot.borrow().first_start {
        return FIRST_ASK_TIMEOUT;
    }
    let position = preferred_targets::rank(name, "") as f64 / u64::MAX as f64;
    ASK_TIMEOUT + ASK_SPREAD.mul_f64(position)
}

/// Asks the VMs that the settings name until one tells the list: whichever accepts a connection first,
/// and the next one if the answer takes too long. Each VM begins with another one.
async fn ask_until_told(gateway: &Gateway, record: &VmRecord) -> Registration {
    let mut seeds = gateway.seeds();
    let first = preferred_targets::rank(&record.name, "") as usize % seeds.len().max(1);
    seeds.rotate_left(first);
    let mut asked = FuturesUnordered::new();
    let mut others = seeds.clone();
    loop {
        let patience = match asked.is_empty() {
            true => Duration::ZERO,
            false => ANSWER_PATIENCE,
        };
        let next = async {
            sleep(patience).await;
            connection_race::connect(&others).await
        };
        tokio::select! {
            Some(answer) = asked.next() => match answer {
                Some(registration) => return registration,
                None => sleep(ASK_PAUSE).await,
            },
            client = next, if !others.is_empty() => {
                others.retain(|addr| *addr != client.addr());
                let newest = Some(gateway.eras.newest());
                asked.push(registrar::ask(client, newest, record));
            }
        }
        if asked.is_empty() {
            others.clone_from(&seeds);
        }
    }
}

async fn register_and_read(gateway: &Gateway) -> Result<Registration, StoreFailure> {
    let record = own_record(gateway);
    let first_start = gateway.boot.borrow().first_start;
    if !first_start {
        return read_and_append(gateway).await;
    }
    let mut client = store_client(gateway);
    sleep(FIRST_ASKED_TIME).await;
    // The first answer of the store states the era in which the records are.
    read(gateway, &mut client).await?;
    let mut records = gateway.registrar().take(&VmRoster::default());
    records.push(record.clone());
    let appended = append(gateway, &mut client, &records).await?;
    sleep(FIRST_OTHERS_TIME).await;
    let (read, mut roster) = read(gateway, &mut client).await?;
    let era = appended.min(read);
    roster.add(stamped(record, era));
    Ok(Registration {
        roster,
        is_new: false,
        era: Some(era),
    })
}

/// Reads the list of VMs, and registers this one if it has not registered in that era.
async fn read_and_append(gateway: &Gateway) -> Result<Registration, StoreFailure> {
    let record = own_record(gateway);
    let mut client = store_client(gateway);
    let (era, mut roster) = read(gateway, &mut client).await?;
    let is_new = !roster.has_since(era, &record);
    if !roster.registered_in(era).has(&record) {
        append(gateway, &mut client, std::slice::from_ref(&record)).await?;
        roster.add(stamped(record, era));
    }
    Ok(Registration {
        roster,
        is_new,
        era: Some(era),
    })
}

/// Returns the record of a VM as it registers in an era.
fn stamped(record: VmRecord, era: StoreEra) -> VmRecord {
    VmRecord {
        era: Some(era),
        ..record
    }
}

/// Returns the record under which this VM registers.
pub(crate) fn own_record(gateway: &Gateway) -> VmRecord {
    let boot = gateway.boot.borrow();
    VmRecord {
        name: boot.vm_name.clone(),
        domain: boot.domain.clone(),
        feed: boot.admin(),
        link: boot.link,
        era: None,
    }
}

/// Returns a client of the list of VMs in the store.
pub(crate) fn store_client(gateway: &Gateway) -> StoreClient {
    let addr = gateway.boot.borrow().store;
    StoreClient::new(addr, Topic::Vms, Rc::clone(&gateway.eras))
}

/// Registers VMs in the store. Returns the era in which they are.
async fn append(
    gateway: &Gateway,
    client: &mut StoreClient,
    vms: &[VmRecord],
) -> Result<StoreEra, StoreFailure> {
    let era = gateway.eras.newest();
    let encoded = vms.iter().map(|vm| {
        let record = stamped(vm.clone(), era);
        Ok((&*vm.name, serde_json::to_vec(&record)?))
    });
    let records: Result<Vec<_>, serde_json::Error> = encoded.collect();
    let records = records.map_err(|_| StoreFailure::Malformed("VM record"))?;
    let result = client.append(&records).await;
    gateway.metrics.store_call("register", &result);
    result
}

/// Returns the list of VMs in the store, and the era in which it was read.
async fn read(
    gateway: &Gateway,
    client: &mut StoreClient,
) -> Result<(StoreEra, VmRoster), StoreFailure> {
    let newest = client.newest().await;
    gateway.metrics.store_call("list", &newest);
    let newest = newest?;
    Ok((newest.end.era, decode(&newest.records)))
}

/// Returns the VMs of records of the store. Malformed ones are left out.
pub(crate) fn decode(records: &[KeyedRecord]) -> VmRoster {
    let mut roster = VmRoster::default();
    for value in records.iter().filter_map(|record| record.value.as_deref()) {
        match serde_json::from_str::<VmRecord>(value) {
            Ok(vm) => roster.add(vm),
            Err(error) => log::warn!(reason:% = error; "malformed VM record"),
        }
    }
    roster
}
