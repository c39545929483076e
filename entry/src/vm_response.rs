//! Handles the responses of other entry VMs to forwarded requests.

use std::time::Duration;

use carobshore_lib::exchange::ExchangeEvent;
use carobshore_lib::peer_load::PeerLoad;
use carobshore_lib::pool_event::AttemptId;
use carobshore_lib::pool_event::AttemptResult;
use carobshore_lib::prelude::Outcome;
use carobshore_lib::prelude::ResultCode;
use carobshore_lib::prelude::VmId;
use carobshore_lib::send_permit::RefusedBy;
use ntex::http::HeaderMap;
use tokio::time::timeout;

use crate::connection::SendFailure;
use crate::connection_table::ConnectionGuard;
use crate::driver::Driver;
use crate::field;
use crate::headers;
use crate::upstream_response::UpstreamResponse;

/// Largest number of parts of a refusal's body that are read to keep its connection.
const MAX_PARTS: usize = 4;
/// Longest time for reading the rest of a refusal.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);

impl Driver {
    /// Handles the head of a response of another entry VM.
    pub(crate) fn on_vm_response(
        &mut self,
        id: AttemptId,
        vm: &VmId,
        guard: ConnectionGuard,
        response: UpstreamResponse,
    ) {
        self.observe_vm_load(vm, &response.headers);
        self.key_unused |= headers::is_key_unused(&response.headers);
        let outcome = headers::single(&response.headers, field::OUTCOME);
        let code = code_of(&response.headers);
        match outcome.ok().flatten().and_then(|text| text.parse().ok()) {
            Some(Outcome::Whole) => self.on_head(id, guard, response),
            Some(Outcome::NotRun) => {
                if code == ResultCode::NotReady {
                    self.plane.vm_unreachable(&self.service, vm);
                }
                let retry = headers::single(&response.headers, field::RETRY) != Ok(Some("no"));
                discard(guard, response);
                self.on_refused(id, RefusedBy::Vm { code, retry });
            }
            Some(Outcome::MayHaveRun) => {
                discard(guard, response);
                self.end(id, AttemptResult::Done);
                self.handle(ExchangeEvent::MayHaveRun { attempt: id, code });
            }
            None => self.on_failure(id, &SendFailure::Malformed("no outcome".into())),
        }
    }

    fn observe_vm_load(&self, vm: &VmId, fields: &HeaderMap) {
        let free = headers::number(fields, field::FREE);
        let queued = headers::number(fields, field::QUEUED);
        if let (Some(free), Some(queued)) = (free, queued) {
            let vm = vm.clone();
            self.service.observe_load(PeerLoad { vm, free, queued });
        }
    }
}

/// Reads and drops the rest of a small response, so that its connection can be used again.
pub(crate) fn discard(guard: ConnectionGuard, mut response: UpstreamResponse) {
    ntex::rt::spawn(async move {
        let mut parts = 0;
        let rest = async {
            while let Ok(Some(_)) = response.body.next().await {
                parts += 1;
                if parts > MAX_PARTS {
                    break;
                }
            }
        };
        if timeout(DISCARD_TIMEOUT, rest).await.is_ok() {
            guard.release(response.body.into_reusable().is_some());
        }
    });
}

/// Returns the result code that another VM sent.
fn code_of(fields: &HeaderMap) -> ResultCode {
    let number = headers::number(fields, field::CODE);
    let known = |code: &&ResultCode| Some(u32::from(code.number())) == number;
    let code = ResultCode::ALL.iter().find(known);
    code.copied().unwrap_or(ResultCode::PeerUnavailable)
}
