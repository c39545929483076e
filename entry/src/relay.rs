//! Relays a response to the caller.

use std::rc::Rc;

use carobshore_lib::exchange::ExchangeEvent;
use carobshore_lib::key_table::StoredOutcome;
use carobshore_lib::pool_event::AttemptResult;
use carobshore_lib::prelude::Outcome;
use carobshore_lib::prelude::ResultCode;
use ntex::http::HeaderMap;
use ntex::http::Method;
use ntex::http::Response;
use ntex::http::StatusCode;
use ntex::http::body::Body;
use ntex::http::body::BodySize;
use ntex::http::header::CONTENT_LENGTH;
use ntex::http::header::TRANSFER_ENCODING;
use tokio::sync::mpsc;

use crate::attempt;
use crate::call_head::Port;
use crate::connection_table::ConnectionGuard;
use crate::data_plane;
use crate::driver::Driver;
use crate::field;
use crate::headers;
use crate::keyed::ResponseRecorder;
use crate::refusal;
use crate::relay_body::Part;
use crate::relay_body::RelayBody;
use crate::responder::Responder;
use crate::upstream_response::Framing;
use crate::upstream_response::UpstreamResponse;

/// The next event while a response is relayed.
enum Progress {
    Part(ntex::util::Bytes),
    Ended,
    Truncated,
    CallerGone,
    TimedOut,
}

impl Driver {
    /// Relays a response to the caller. The caller gets the end of the body only after the end was
    /// received from upstream; otherwise the caller's connection is aborted.
    pub(crate) async fn relay(
        mut self,
        responder: Responder,
        guard: ConnectionGuard,
        mut upstream: UpstreamResponse,
    ) {
        let result = attempt::result_of(&upstream);
        let fields = self.response_fields(&upstream.headers);
        let wanted = self.key_accepted;
        let mut recorder = ResponseRecorder::start(wanted, upstream.status, &fields);
        let size = body_size(&self.head.method, &upstream);
        // A request with a key continues without its caller, and a planned stop waits for it.
        let in_flight = Rc::clone(&responder.in_flight);
        let io = responder.connection.map(|connection| connection.io);
        let (sender, body) = RelayBody::new(size, io, responder.in_flight);
        let response = self.response(upstream.status, fields, body);
        let mut sender = responder.reply.send(response).is_ok().then_some(sender);
        loop {
            let progress = self.progress(&mut upstream, sender.as_ref()).await;
            match progress {
                Progress::Part(part) => {
                    recorder.add(&part);
                    if !send_part(sender.as_ref(), Part::Bytes(part)).await {
                        sender = None;
                        self.on_caller_gone();
                    }
                }
                Progress::Ended => break,
                Progress::CallerGone => {
                    sender = None;
                    self.on_caller_gone();
                }
                Progress::Truncated => {
                    self.end_relayed(AttemptResult::Broken, |attempt| ExchangeEvent::Broken {
                        attempt,
                    });
                }
                Progress::TimedOut => {
                    self.handle(ExchangeEvent::TimedOut);
                    self.run_actions();
                }
            }
            if let Some((_, code)) = self.done() {
                return self.finish(StoredOutcome::MayHaveRun(code));
            }
        }
        guard.release(upstream.body.into_reusable().is_some());
        self.end_relayed(result, |attempt| ExchangeEvent::Ended { attempt });
        self.finish(recorder.finish());
        drop(in_flight);
        send_part(sender.as_ref(), Part::End).await;
    }

    /// Waits for the next part of the response, or for its end.
    async fn progress(
        &self,
        upstream: &mut UpstreamResponse,
        sender: Option<&mpsc::Sender<Part>>,
    ) -> Progress {
        let gone = async {
            match sender {
                Some(sender) => sender.closed().await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            biased;
            part = upstream.body.next() => match part {
                Ok(Some(part)) => Progress::Part(part),
                Ok(None) => Progress::Ended,
                Err(_) => Progress::Truncated,
            },
            () = gone => Progress::CallerGone,
            () = self.plane.deadline_passed(self.head.deadline) => Progress::TimedOut,
        }
    }

    fn on_caller_gone(&mut self) {
        self.handle(ExchangeEvent::CallerGone);
        self.run_actions();
    }

    fn end_relayed(
        &mut self,
        result: AttemptResult,
        event: impl FnOnce(carobshore_lib::pool_event::AttemptId) -> ExchangeEvent,
    ) {
        if let Some(attempt) = self.relaying() {
            self.end(attempt, result);
            self.handle(event(attempt));
            self.run_actions();
        }
    }

    fn response_fields(&self, fields: &HeaderMap) -> HeaderMap {
        let mut fields = headers::end_to_end(fields);
        headers::remove_all(&mut fields, &field::HOME_ONLY);
        headers::remove_all(&mut fields, &[field::FREE, field::QUEUED]);
        headers::add_via(&mut fields, &self.plane.settings.vm_name);
        fields
    }

    fn response(&self, status: StatusCode, fields: HeaderMap, body: RelayBody) -> Response {
        let mut response = Response::with_body(status, Body::from_message(body));
        *response.headers_mut() = fields;
        refusal::set_outcome(response.headers_mut(), Outcome::Whole, ResultCode::Ok);
        if self.head.port == Port::Peers {
            data_plane::add_load(&mut response, &self.service);
        }
        response
    }
}

/// Sends a part to the caller, and returns whether the caller is still connected.
async fn send_part(sender: Option<&mpsc::Sender<Part>>, part: Part) -> bool {
    match sender {
        Some(sender) => sender.send(part).await.is_ok(),
        None => true,
    }
}

/// Returns the framing of the response to the caller.
fn body_size(method: &Method, upstream: &UpstreamResponse) -> BodySize {
    match upstream.body.framing() {
        Framing::Length(length) => BodySize::Sized(length),
        Framing::Chunked => BodySize::Stream,
        Framing::Empty if *method == Method::HEAD => head_size(&upstream.headers),
        Framing::Empty if upstream.status == StatusCode::NOT_MODIFIED => BodySize::None,
        Framing::Empty if upstream.status == StatusCode::NO_CONTENT => BodySize::None,
        Framing::Empty => BodySize::Empty,
    }
}

/// Returns the size that a response to HEAD declares. No body follows.
fn head_size(fields: &HeaderMap) -> BodySize {
    if fields.contains_key(TRANSFER_ENCODING) {
        return BodySize::Stream;
    }
    let length = fields.get(CONTENT_LENGTH).and_then(|v| v.to_str().ok());
    match length.and_then(|text| text.trim().parse().ok()) {
        Some(length) => BodySize::Sized(length),
        None => BodySize::None,
    }
}
