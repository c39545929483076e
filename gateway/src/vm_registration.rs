//! Enters this VM in the store, and reads which other VMs are there.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use carobshore_lib::vm_roster::VmRecord;
use carobshore_lib::vm_roster::VmRoster;
use carobshore_platform::store_client::StoreClient;
use carobshore_platform::store_client::StoreFailure;
use carobshore_platform::store_client::Topic;
use tokio::time::timeout;

use crate::gateway::Gateway;

/// How long a VM waits for the others to enter themselves when the whole system starts.
const GATHERING: Duration = Duration::from_millis(1_000);
/// How long the start waits for the store. Without it, the VM goes on by itself.
const PATIENCE: Duration = Duration::from_millis(2_500);

/// Enters the VM and takes over the roster.
pub async fn register(gateway: &Rc<Gateway>) {
    let started = Instant::now();
    let entered = timeout(PATIENCE, enter_and_read(gateway)).await;
    let ms = started.elapsed().as_millis() as u64;
    match entered {
        Ok(Ok(roster)) => {
            log::info!(vms = roster.len().unwrap_or(0), ms; "the VMs are known");
            gateway.set_roster(roster);
        }
        Ok(Err(failure)) => log::warn!(reason:% = failure, ms; "the VMs are not known"),
        Err(_) => log::warn!(reason = "time-out", ms; "the VMs are not known"),
    }
}

async fn enter_and_read(gateway: &Gateway) -> Result<VmRoster, StoreFailure> {
    let (record, first_start, store) = {
        let boot = gateway.boot.borrow();
        let record = VmRecord {
            name: boot.vm_name.clone(),
            domain: boot.domain.clone(),
            feed: boot.admin(),
        };
        (record, boot.first_start, boot.store)
    };
    let mut client = StoreClient::new(store, Topic::Vms);
    if first_start {
        append(&mut client, &record).await?;
        tokio::time::sleep(GATHERING).await;
        return read(&mut client).await;
    }
    let mut roster = read(&mut client).await?;
    if !roster.has(&record) {
        append(&mut client, &record).await?;
        roster.add(record);
    }
    Ok(roster)
}

async fn append(client: &mut StoreClient, record: &VmRecord) -> Result<(), StoreFailure> {
    let value = serde_json::to_vec(record).map_err(|_| StoreFailure::Malformed("own record"))?;
    client.append(&record.name, &value).await
}

async fn read(client: &mut StoreClient) -> Result<VmRoster, StoreFailure> {
    let newest = client.newest().await?;
    let values = newest
        .records
        .iter()
        .filter_map(|record| record.value.as_deref());
    let mut vms = Vec::new();
    for value in values {
        match serde_json::from_str::<VmRecord>(value) {
            Ok(vm) => vms.push(vm),
            Err(error) => log::warn!(reason:% = error; "a record of a VM is malformed"),
        }
    }
    Ok(VmRoster::new(vms))
}
