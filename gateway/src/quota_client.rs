//! Takes tokens from the owners of quotas.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use carobshore_http::client::Response;
use carobshore_http::fields::Fields;
use carobshore_http::persistent_client::CallFailure;
use carobshore_http::persistent_client::PersistentClient;
use carobshore_lib::access::organisation_id::OrganisationId;
use carobshore_lib::quota::owner_answer::OwnerAnswer;
use carobshore_lib::quota::owner_pools::Owner;
use carobshore_lib::quota::quota_bounds::QuotaBounds;
use carobshore_lib::quota::quota_step::QuotaStep;
use carobshore_lib::quota::quota_token::QuotaToken;
use carobshore_lib::quota::token_count::TokenCount;

use crate::failed_call::FailedCall;
use crate::gateway::Gateway;
use crate::owner_connections::OwnerConnections;
use crate::quota_server;
use crate::quotas::Question;
use crate::reply::Refusal;

/// Time limit for the answer of an owner. Longer waits would cost the caller more than a refusal.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(40);

/// Counts a request as waiting until it is dropped.
struct Waiting<'a>(&'a Question);

impl<'a> Waiting<'a> {
    fn new(question: &'a Question) -> Self {
        question.waiting.set(question.waiting.get() + 1);
        Self(question)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.waiting.set(self.0.waiting.get() - 1);
    }
}

/// Takes a token for a request. Requests of one organisation that arrive at the same time wait for one
/// question to an owner.
pub(crate) async fn take(
    gateway: &Rc<Gateway>,
    organisation: &OrganisationId,
    bounds: &QuotaBounds,
) -> Result<QuotaToken, FailedCall> {
    let question = gateway.quotas.question(organisation);
    let waiting = Waiting::new(&question);
    {
        let mut table = gateway.quotas.table.borrow_mut();
        let now = Instant::now();
        table.account(now, organisation, bounds).arrive(now);
    }
    loop {
        let step = {
            let mut table = gateway.quotas.table.borrow_mut();
            let now = Instant::now();
            let account = table.account(now, organisation, bounds);
            account.step(now, waiting.0.waiting.get())
        };
        match step {
            QuotaStep::Token(token) => return Ok(token),
            QuotaStep::Exceeded(retry) => return Err(refusal(Refusal::QuotaExceeded, retry)),
            QuotaStep::Unknown(retry) => return Err(refusal(Refusal::QuotaUnknown, retry)),
            QuotaStep::Ask(owner, want) => {
                let answered = question.answered.notified();
                if !question.asked.replace(true) {
                    start(gateway, &question, organisation, bounds, owner, want);
                }
                if question.asked.get() {
                    answered.await;
                }
            }
        }
    }
}

/// Returns the token of a request that was not sent.
pub(crate) fn give_back(
    gateway: &Gateway,
    organisation: &OrganisationId,
    bounds: &QuotaBounds,
    token: QuotaToken,
) {
    let now = Instant::now();
    let mut table = gateway.quotas.table.borrow_mut();
    table
        .account(now, organisation, bounds)
        .give_back(now, token);
}

/// Counts a request in the metrics. `outcome` is `within`, `over` or `unknown`.
pub(crate) fn count(gateway: &Gateway, organisation: &OrganisationId, outcome: &'static str) {
    if let Some(access) = &gateway.routes.borrow().config().access {
        gateway.quotas.named.borrow_mut().choose(access.iter());
    }
    let named = gateway.quotas.named.borrow();
    let label = named.label(organisation);
    gateway.metrics.quota_request(label, outcome);
}

/// Drops what is not used any more, and counts tokens in the metrics.
pub(crate) fn sweep(gateway: &Gateway, now: Instant) {
    let quotas = &gateway.quotas;
    quotas.connections.sweep(now);
    quotas.drop_questions();
    let named = quotas.named.borrow();
    let limited = |organisation: &_| quota_server::limit(gateway, organisation).is_some();
    quotas
        .table
        .borrow_mut()
        .sweep(now, limited, |organisation, counters| {
            let kinds = [
                ("granted", counters.granted),
                ("refused", counters.refused),
                ("expired", counters.expired),
            ];
            let label = named.label(organisation);
            for (kind, count) in kinds.into_iter().filter(|(_, count)| *count > 0) {
                gateway.metrics.quota_tokens(label, kind, count);
            }
        });
}

fn refusal(refusal: Refusal, retry: Duration) -> FailedCall {
    FailedCall {
        refusal,
        retry: Some(retry),
        why: None,
    }
}

/// Asks an owner. This VM itself answers at once; for others, the question goes on if the requests that
/// wait for it end.
fn start(
    gateway: &Rc<Gateway>,
    question: &Rc<Question>,
    organisation: &OrganisationId,
    bounds: &QuotaBounds,
    owner: Owner,
    want: TokenCount,
) {
    let asked = Instant::now();
    if *owner.name == *gateway.quotas.table.borrow().me() {
        let answer = quota_server::grant(gateway, organisation, want);
        hear(gateway, organisation, bounds, &owner, asked, answer);
        return end(question);
    }
    let (gateway, question) = (Rc::clone(gateway), Rc::clone(question));
    let (organisation, bounds) = (organisation.clone(), *bounds);
    ntex::rt::spawn(async move {
        let answer = ask(&gateway, &owner, &organisation, want).await;
        hear(&gateway, &organisation, &bounds, &owner, asked, answer);
        end(&question);
    });
}

fn end(question: &Question) {
    question.asked.set(false);
    question.answered.notify_waiters();
}

fn hear(
    gateway: &Gateway,
    organisation: &OrganisationId,
    bounds: &QuotaBounds,
    owner: &Owner,
    asked: Instant,
    answer: OwnerAnswer,
) {
    let now = Instant::now();
    let mut table = gateway.quotas.table.borrow_mut();
    let account = table.account(now, organisation, bounds);
    account.hear(now, &owner.name, asked, answer);
}

/// Asks another VM for tokens. If a kept connection turns out to be broken, a new one is tried: the
/// owner may have started again. Tokens that it granted on the old one are lost.
async fn ask(
    gateway: &Gateway,
    owner: &Owner,
    organisation: &OrganisationId,
    want: TokenCount,
) -> OwnerAnswer {
    let connections = &gateway.quotas.connections;
    let started = Instant::now();
    let mut called = Err(None);
    if let Some(mut kept) = connections.take(started, owner.addr) {
        called = call(&mut kept, organisation, want).await.map_err(Some);
        if called.is_ok() {
            connections.keep(Instant::now(), kept);
        }
    }
    if matches!(called, Err(None | Some(CallFailure::Broken(_)))) {
        let mut client = OwnerConnections::open(owner.addr);
        called = call(&mut client, organisation, want).await.map_err(Some);
        if called.is_ok() {
            connections.keep(Instant::now(), client);
        }
    }
    match called {
        Ok(response) => decode(&response),
        Err(failure) => {
            let ms = started.elapsed().as_millis() as u64;
            log::debug!(organisation = organisation.as_str(), vm = &*owner.name, failure:? = failure, ms; "an owner of a quota does not answer");
            OwnerAnswer::Silent
        }
    }
}

async fn call(
    client: &mut PersistentClient,
    organisation: &OrganisationId,
    want: TokenCount,
) -> Result<Response, CallFailure> {
    let mut fields = Fields::default();
    fields.add(quota_server::WANT_FIELD, want.to_string());
    let path = format!("{}{organisation}", quota_server::PATH);
    let response = client.call_with(fields, "POST", &path, &[], ANSWER_TIMEOUT);
    response.await
}

fn decode(response: &Response) -> OwnerAnswer {
    let number = |name| response.head.fields.text(name)?.parse::<u64>().ok();
    match response.head.status {
        200 => {
            let granted = number(quota_server::GRANTED_FIELD);
            let granted = granted.and_then(|count| u32::try_from(count).ok());
            let granted = granted.and_then(|count| TokenCount::try_from(count).ok());
            granted.map_or(OwnerAnswer::Silent, |count| {
                OwnerAnswer::Granted(count.get())
            })
        }
        409 => match number(quota_server::NEXT_FIELD) {
            Some(millis) => OwnerAnswer::Empty(Duration::from_millis(millis)),
            None => OwnerAnswer::Silent,
        },
        _ => OwnerAnswer::NotOwner,
    }
}
