//! Responses of other entry VMs to forwarded requests.

use std::time::Duration;

use carobshore_lib::exchange::ExchangeEvent;
use carobshore_lib::peer_load::PeerLoad;
use carobshore_lib::pool_event::AttemptId;
use carobshore_lib::pool_event::AttemptResult;
use carobshore_lib::prelude::Outcome;
use carobshore_lib::prelude::ResultCode;
use carobshore_lib::prelude::VmId;
use carobshore_lib::send_right::RefusedBy;
use ntex::http::HeaderMap;
use tokio::time::timeout;

use crate::connection::SendFailure;
use crate::connection_table::ConnectionGuard;
use crate::driver::Driver;
use crate::field;
use crate::headers;
use crate::upstream_response::UpstreamResponse;

/// The most parts of a refusal's body that are read to keep its connection.
const MAX_PARTS: usize = 4;
/// How long the rest of a refusal may take.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);

impl Driver {
    /// Takes in the response of another entry VM.
    pub(crate) fn on_vm_answer(
        &mut self,
        id: AttemptId,
        vm: &VmId,
        guard: ConnectionGuard,
        answer: UpstreamResponse,
    ) {
        self.observe(vm, &answer.headers);
        self.key_unused |= headers::is_key_unused(&answer.headers);
        let outcome = headers::single(&answer.headers, field::OUTCOME);
        let code = code_of(&answer.headers);
        match outcome.ok().flatten().and_then(|text| text.parse().ok()) {
            Some(Outcome::Whole) => self.on_head(id, guard, answer),
            Some(Outcome::NotRun) => {
                if code == ResultCode::NotReady {
                    self.plane.vm_unreachable(&self.service, vm);
                }
                let retry = headers::single(&answer.headers, field::RETRY) != Ok(Some("no"));
                self.on_refused(id, RefusedBy::Vm { code, retry }, guard, answer);
            }
            Some(Outcome::MayHaveRun) => {
                discard(guard, answer);
                self.end(id, AttemptResult::Done);
                self.tell(ExchangeEvent::Unsure { attempt: id, code });
            }
            None => self.on_failure(id, &SendFailure::Malformed("no outcome".into())),
        }
    }

    fn observe(&self, vm: &VmId, fields: &HeaderMap) {
        let free = headers::number(fields, field::FREE);
        let queued = headers::number(fields, field::QUEUED);
        if let (Some(free), Some(queued)) = (free, queued) {
            let vm = vm.clone();
            self.service.observe(PeerLoad { vm, free, queued });
        }
    }
}

/// Reads the rest of a small response so that its connection can be used again.
pub(crate) fn discard(guard: ConnectionGuard, mut answer: UpstreamResponse) {
    ntex::rt::spawn(async move {
        let mut parts = 0;
        let rest = async {
            while let Ok(Some(_)) = answer.body.next().await {
                parts += 1;
                if parts > MAX_PARTS {
                    break;
                }
            }
        };
        if timeout(DISCARD_TIMEOUT, rest).await.is_ok() {
            guard.release(answer.body.into_reusable().is_some());
        }
    });
}

/// Returns the code that another VM gave.
fn code_of(fields: &HeaderMap) -> ResultCode {
    let number = headers::number(fields, field::CODE);
    let known = |code: &&ResultCode| Some(u32::from(code.number())) == number;
    let code = ResultCode::ALL.iter().find(known);
    code.copied().unwrap_or(ResultCode::PeerUnavailable)
}
