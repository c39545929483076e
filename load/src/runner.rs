//! Runs a schedule against entry VMs.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use carobshore_standin::executions::Executions;
use ntex::client::Client;
use ntex::rt::DefaultRuntime;
use ntex::rt::System;

use crate::arrival::Arrival;
use crate::audit::Audit;
use crate::pacer;
use crate::sender::Sender;
use crate::tally::Tally;

/// How long before the first arrival the schedule starts, so that the first requests are on time.
const LEAD: Duration = Duration::from_millis(50);

/// The largest answer of `/executions`, in bytes.
const MAX_EXECUTIONS: usize = 512 * 1024 * 1024;

/// Runs a future in an ntex system on this thread.
pub fn block_on<F, R>(future: F) -> R
where
    F: Future<Output = R> + 'static,
    R: 'static,
{
    let runner = System::build()
        .name("load")
        .disable_signals()
        .build(DefaultRuntime);
    runner.block_on(future)
}

/// Sends a schedule and waits for all responses.
///
/// At most `limit` requests are outstanding; those that are due beyond it are counted and not sent.
pub async fn send_all(sender: Rc<Sender>, schedule: Vec<Arrival>, limit: usize) -> Tally {
    let tally = Rc::new(RefCell::new(Tally::default()));
    let start = Instant::now() + LEAD;
    let mut arrivals = pacer::start(start, schedule);
    let mut tasks = Vec::new();
    while let Some(arrival) = arrivals.recv().await {
        // Every task holds one count of the tally.
        if Rc::strong_count(&tally) > limit {
            tally.borrow_mut().unsent += 1;
            continue;
        }
        let sender = Rc::clone(&sender);
        let tally = Rc::clone(&tally);
        tasks.push(ntex::rt::spawn(async move {
            let sample = sender.send(start, arrival).await;
            tally.borrow_mut().add(sample);
        }));
    }
    for task in tasks {
        let _ = task.await;
    }
    tally.take()
}

/// Compares a run with what the simulated targets say they did.
pub async fn audit(tally: &Tally, targets: &[SocketAddr]) -> eyre::Result<Audit> {
    let client = Client::new().await;
    let mut executions = Vec::new();
    for target in targets {
        let request = client.get(format!("http://{target}/executions"));
        let response = request
            .send()
            .await
            .map_err(|error| eyre::eyre!("target {target} cannot be audited: {error}"))?;
        let counts: Executions = response
            .json()
            .limit(MAX_EXECUTIONS)
            .await
            .map_err(|error| eyre::eyre!("target {target} has no /executions: {error}"))?;
        executions.push(counts);
    }
    Ok(Audit::check(&tally.claims, &executions))
}
