//! Asks other VMs to give up a request to a limited target.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use carobshore_http::persistent_client::PersistentClient;
use carobshore_lib::limit_lenders::Lender;
use carobshore_lib::prelude::RequestRate;
use carobshore_lib::prelude::TargetId;

use crate::gateway::Gateway;
use crate::gateway::UsableTarget;
use crate::limits;
use crate::reply::Reply;
use crate::target_connections::TargetConnections;
use crate::warmup;

/// Path prefix of a question; the target follows.
const PATH: &str = "/limits/take/";
/// Path prefix of a question about a target that the asking VM knows to be cold. The VM that answers
/// may not know that yet.
const COLD_PATH: &str = "/warmup/take/";
/// Header field of a refusal: milliseconds until there is something to give up.
const NEXT_FIELD: &str = "Next-In";
/// Time limit for opening a connection and for the answer. Longer waits would cost the caller more
/// than a refusal.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(40);
const ANSWER_TIMEOUT: Duration = Duration::from_millis(40);
/// Largest body of an answer, in bytes. It has a few words.
const MAX_BODY: usize = 4 << 10;

/// The answer of another VM.
enum Answer {
    Given,
    /// It has nothing now, and says when it will.
    Empty(Option<Duration>),
}

/// Asks VMs that share the limits of the targets to give up a request. Returns the target to which
/// one may be sent.
pub(crate) async fn borrow(
    gateway: &Rc<Gateway>,
    limited: &[UsableTarget],
) -> Option<UsableTarget> {
    let vms = gateway.vm_count();
    let verified = limited
        .iter()
        .filter(|target| !target.connections.cold.borrow().is_unverified());
    let groups = verified.filter_map(|target| {
        let size = limits::group_size(&target.connections, vms)?;
        Some((target.connections.id.clone(), size))
    });
    for lender in gateway.limit_lenders(&groups.collect::<Vec<_>>()) {
        let mut targets = limited.iter();
        let target = targets.find(|target| target.connections.id == lender.target)?;
        let is_cold = warmup::is_cold(&target.connections);
        let path = if is_cold { COLD_PATH } else { PATH };
        match ask(&lender, path).await {
            Answer::Given => {
                target
                    .connections
                    .cold
                    .borrow_mut()
                    .borrowed(Instant::now());
                if is_cold {
                    gateway.metrics.warmup("borrowed");
                }
                return Some(target.clone());
            }
            Answer::Empty(next) => gateway.on_lender_refused(lender, next),
        }
    }
    None
}

/// Returns the targets that name limits or are cold, with their rates.
pub(crate) fn limited_rates(limited: &[UsableTarget]) -> Vec<(TargetId, RequestRate)> {
    let known = limited.iter().filter_map(|target| {
        let rate = limits::common_rate(&target.connections)?;
        Some((target.connections.id.clone(), rate))
    });
    known.collect()
}

/// Answers the question of another VM. Returns nothing if the request is not one.
pub(crate) fn answer(gateway: &Gateway, method: &str, path: &str) -> Option<Reply> {
    if let Some(target) = path.strip_prefix(COLD_PATH).filter(|_| method == "POST") {
        return Some(answer_cold(gateway, target));
    }
    let target = path.strip_prefix(PATH).filter(|_| method == "POST")?;
    let target: Option<TargetId> = target.parse().ok();
    let connections = target.and_then(|target| gateway.known_connections(&target));
    let Some(connections) = connections.filter(|known| limits::known_rate(known).is_some()) else {
        return Some(Reply::text(404, "no limit is known\n"));
    };
    if limits::take(&connections) {
        return Some(Reply::text(200, "given\n"));
    }
    Some(refusal(&connections))
}

/// Answers the question of another VM about a target that this VM may not know to be cold.
fn answer_cold(gateway: &Gateway, target: &str) -> Reply {
    let target: Option<TargetId> = target.parse().ok();
    let connections = target.and_then(|target| gateway.announced_connections(&target));
    let Some(connections) = connections else {
        return Reply::text(404, "no such target\n");
    };
    if !limits::take_named(&connections) {
        return refusal(&connections);
    }
    match warmup::give_up(gateway, &connections) {
        Some(true) => Reply::text(200, "given\n"),
        Some(false) => refusal(&connections),
        None => Reply::text(404, "no limit is known\n"),
    }
}

/// Returns the refusal of a question, with the time until there is something to give up.
fn refusal(connections: &TargetConnections) -> Reply {
    let reply = Reply::text(409, "nothing to give up\n");
    match limits::next_in(connections) {
        Some(next) => reply.with_field(NEXT_FIELD, &next.as_micros().div_ceil(1_000).to_string()),
        None => reply,
    }
}

async fn ask(lender: &Lender, path: &str) -> Answer {
    let started = Instant::now();
    let mut client = PersistentClient::new(lender.vm, CONNECT_TIMEOUT).with_max_body(MAX_BODY);
    let path = format!("{path}{}", lender.target);
    match client.call("POST", &path, &[], ANSWER_TIMEOUT).await {
        Ok(response) if response.head.status == 200 => Answer::Given,
        Ok(response) => {
            let millis = response.head.fields.text(NEXT_FIELD);
            let millis = millis.and_then(|millis| millis.parse().ok());
            Answer::Empty(millis.map(Duration::from_millis))
        }
        Err(failure) => {
            let ms = started.elapsed().as_millis() as u64;
            log::debug!(target = lender.target.as_str(), vm:% = lender.vm, failure:? = failure, ms; "a VM that shares a limit does not answer");
            Answer::Empty(None)
        }
    }
}
