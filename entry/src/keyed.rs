//! Handles requests with a key at the VM that owns the key.

use carobshore_lib::key_table::KeyDecision;
use carobshore_lib::key_table::KeyedCall;
use carobshore_lib::key_table::MAX_STORED_RESPONSE;
use carobshore_lib::key_table::StoredHeader;
use carobshore_lib::key_table::StoredOutcome;
use carobshore_lib::key_table::StoredResponse;
use carobshore_lib::prelude::Outcome;
use carobshore_lib::prelude::RequestKey;
use carobshore_lib::prelude::ResultCode;
use carobshore_lib::router::RoutingDecision;
use carobshore_lib::ticket::CallerId;
use ntex::http::HeaderMap;
use ntex::http::Response;
use ntex::http::StatusCode;
use ntex::http::body::Body;
use ntex::http::header::HeaderName;
use ntex::http::header::HeaderValue;
use ntex::util::Bytes;

use crate::call_head::CallHead;
use crate::call_head::Port;
use crate::driver::Driver;
use crate::headers;
use crate::refusal;
use crate::refusal::Refusal;
use crate::responder::Responder;

impl Driver {
    /// Enters a request with a key into the key table, if the request is to run here. Returns
    /// `None` if the request got its response from the table or was refused.
    pub(crate) async fn admit_key(&mut self, responder: Responder) -> Option<Responder> {
        let Some(key) = self.head.key else {
            return Some(responder);
        };
        if *self.first_route() != RoutingDecision::Local {
            return Some(responder);
        }
        if self.plane.stop.borrow().is_stopping() {
            self.refuse_key(responder, Outcome::NotRun, ResultCode::NotReady, false);
            return None;
        }
        let call = KeyedCall {
            key,
            fingerprint: fingerprint(&self.head),
        };
        match self.service.begin_key(call) {
            KeyDecision::Run => {
                self.key_accepted = true;
                responder.in_flight.set_keyed();
                Some(responder)
            }
            KeyDecision::Wait => {
                self.wait_for_first(key, responder).await;
                None
            }
            decision => {
                self.respond_to_decision(responder, decision, false);
                None
            }
        }
    }

    /// Waits for the end of the first request with the key, and responds as it ended.
    async fn wait_for_first(&mut self, key: RequestKey, mut responder: Responder) {
        let first = self.service.wait_for_key(key);
        let deadline = self.head.deadline;
        let decision = tokio::select! {
            decision = first => decision.ok(),
            () = responder.caller_gone() => None,
            () = self.plane.deadline_passed(deadline) => None,
        };
        let decision = decision.unwrap_or_else(|| {
            self.service.stop_waiting(&key);
            KeyDecision::Refuse {
                outcome: Outcome::MayHaveRun,
                code: ResultCode::StillRunning,
            }
        });
        // This VM accepted the first request, so it knows whether a request with the key has run.
        self.respond_to_decision(responder, decision, true);
    }

    fn respond_to_decision(&mut self, responder: Responder, decision: KeyDecision, waited: bool) {
        match decision {
            KeyDecision::Replay(answer) => {
                let response = replay(&answer);
                self.send_key_response(responder, Outcome::Whole, ResultCode::Ok, response);
            }
            KeyDecision::Refuse { outcome, code } => {
                // The table is found full only after ownership is checked, and a reused key belongs
                // to a different request.
                let owner = matches!(code, ResultCode::QueueFull | ResultCode::KeyReused);
                self.refuse_key(responder, outcome, code, waited || owner);
            }
            KeyDecision::Run | KeyDecision::Wait => {}
        }
    }

    fn refuse_key(
        &mut self,
        responder: Responder,
        outcome: Outcome,
        code: ResultCode,
        unused: bool,
    ) {
        let refusal = match self.head.port {
            Port::Callers => Refusal::of_keyed(outcome, code, unused),
            Port::Peers => Refusal::of_outcome(outcome, code),
        };
        let mut response = refusal.response();
        if self.head.port == Port::Peers {
            let unused = unused && refusal.outcome == Outcome::NotRun;
            headers::set_key_unused(response.headers_mut(), unused);
        }
        self.send_key_response(responder, refusal.outcome, code, response);
    }

    fn send_key_response(
        &mut self,
        responder: Responder,
        outcome: Outcome,
        code: ResultCode,
        response: Response,
    ) {
        let time = self.started.elapsed();
        let metrics = &self.plane.metrics;
        metrics.record_request(self.head.port, &self.service.id, outcome, code, time);
        let _ = responder.reply.send(response);
    }
}

/// Returns a hash of what a duplicate has to have in common with the first request.
fn fingerprint(head: &CallHead) -> u64 {
    let text = format!("{}\n{}\n{}", head.caller, head.method, head.path);
    CallerId::of(&text).0
}

fn replay(answer: &StoredResponse) -> Response {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    let body = match answer.body.is_empty() {
        true => Body::Empty,
        false => Body::Bytes(Bytes::copy_from_slice(&answer.body)),
    };
    let mut response = Response::with_body(status, body);
    let fields = response.headers_mut();
    for header in &answer.headers {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let value = HeaderValue::from_bytes(&header.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            fields.append(name, value);
        }
    }
    refusal::set_outcome(fields, Outcome::Whole, ResultCode::Ok);
    headers::set(fields, "carobshore-replayed", "yes");
    response
}

/// Collects a response for the key table while it is sent to the caller.
#[derive(Debug)]
pub(crate) struct ResponseRecorder {
    answer: Option<StoredResponse>,
    body: Vec<u8>,
}

impl ResponseRecorder {
    /// Starts with the head of a response. Nothing is collected unless `wanted`.
    pub(crate) fn start(wanted: bool, status: StatusCode, fields: &HeaderMap) -> Self {
        let answer = wanted.then(|| StoredResponse {
            status: status.as_u16(),
            headers: fields
                .iter()
                .map(|(name, value)| StoredHeader {
                    name: name.as_str().into(),
                    value: value.as_bytes().into(),
                })
                .collect(),
            body: Box::default(),
        });
        Self {
            answer,
            body: Vec::new(),
        }
    }

    /// Adds a part of the body. A response whose body is too large for the key table is not kept.
    pub(crate) fn add(&mut self, part: &[u8]) {
        if self.answer.is_none() {
            return;
        }
        if self.body.len() + part.len() > MAX_STORED_RESPONSE.as_usize() {
            self.answer = None;
            self.body = Vec::new();
            return;
        }
        self.body.extend_from_slice(part);
    }

    /// Returns the outcome of a complete response, with the response if it was kept.
    pub(crate) fn finish(self) -> StoredOutcome {
        let answer = self.answer.map(|answer| StoredResponse {
            body: self.body.into(),
            ..answer
        });
        StoredOutcome::Whole(answer)
    }
}
