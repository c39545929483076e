//! The news that the store answers again, from VMs that it serves to VMs that wait for it.
//!
//! A VM that waits behind others rarely calls a store that does not answer: those before it tell it of the
//! return. If the store still turns these away, they cannot know. So a VM that finds the store answering
//! tells the first VMs of each failure domain. These call the store at once, and if it does not answer them,
//! they pass the news on to the VMs that wait for an answer of theirs.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use carobshore_http::fields::Fields;
use carobshore_http::head::RequestHead;
use carobshore_http::persistent_client::PersistentClient;
use carobshore_platform::store_client::Topic;

use crate::feed::ERA_FIELD;
use crate::feed_client::CONNECT_TIMEOUT;
use crate::gateway::Gateway;
use crate::reply::Reply;

/// The path to which the news is sent.
const PATH: &str = "/store/recovered";
/// The number of VMs of each failure domain that are told. The first ones may be gone.
const TOLD_PER_DOMAIN: usize = 3;
/// Time limit for the answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
/// A VM that has heard the news tells nobody for this time, and takes further news for the same.
pub(crate) const SAME_NEWS: Duration = Duration::from_secs(1);

/// Answers the news of another VM. Returns nothing if the request is none.
pub(crate) fn answer(gateway: &Gateway, head: &RequestHead) -> Option<Reply> {
    if (&*head.method, &*head.target) != ("POST", PATH) {
        return None;
    }
    let era = head.fields.text(ERA_FIELD).map(str::parse);
    let Some(Ok(era)) = era else {
        return Some(Reply::text(400, "no era\n"));
    };
    gateway.eras.observe(era);
    let now = Instant::now();
    for topic in [Topic::Operators, Topic::Targets] {
        gateway.feed(topic).hear_recovery(now);
    }
    Some(Reply::text(200, "heard\n"))
}

/// Tells the first VMs of each failure domain that the store answers again, unless this VM has heard it.
pub(crate) fn tell(gateway: &Rc<Gateway>) {
    let now = Instant::now();
    if gateway.feed(Topic::Operators).has_heard_recovery(now) {
        return;
    }
    for addr in first_vms(gateway) {
        let mut fields = Fields::default();
        fields.add(ERA_FIELD, gateway.eras.newest().to_string());
        ntex::rt::spawn(async move {
            let mut client = PersistentClient::new(addr, CONNECT_TIMEOUT);
            // A VM that cannot be told asks the store itself in the end.
            let _ = client
                .call_with(fields, "POST", PATH, &[], ANSWER_TIMEOUT)
                .await;
        });
    }
}

/// Returns the addresses of the first VMs of each failure domain, without this one.
fn first_vms(gateway: &Gateway) -> Vec<SocketAddr> {
    let me = gateway.boot.borrow().vm_name.clone();
    let roster = gateway.roster();
    let domains = roster.domains().into_iter();
    let first = domains.flat_map(|vms| vms.into_iter().take(TOLD_PER_DOMAIN));
    first.filter(|vm| vm.name != me).map(|vm| vm.feed).collect()
}
