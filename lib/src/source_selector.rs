//! Chooses another VM to read changes of the store from, and counts those that wait for the store.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

/// How long a VM is skipped after a failure.
const SKIP_TIME: Duration = Duration::from_secs(3);
/// How long an isolated VM counts as running and waiting for the store after it answered. It is
/// longer than [`SKIP_TIME`], after which that VM is asked again, so that it keeps counting
/// meanwhile.
const ISOLATED_TIME: Duration = Duration::from_secs(6);

/// Why another VM returned no changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SourceFailure {
    /// It cannot be reached, or sent no valid response in time.
    NoResponse,
    /// It answered that it gets no changes itself at present. It will know as soon as the store is
    /// back.
    Isolated,
}

/// The VM to read changes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Source {
    /// Its address.
    pub addr: SocketAddr,
    /// Whether it gets no changes itself and waits for the store to return.
    pub isolated: bool,
}

/// The last failure of a VM.
#[derive(Clone, Copy, Debug)]
struct Failure {
    addr: SocketAddr,
    at: Instant,
    kind: SourceFailure,
}

impl Failure {
    fn is_newer_than(&self, now: Instant, age: Duration) -> bool {
        now.saturating_duration_since(self.at) < age
    }
}

/// Chooses the VM to read changes from, by their recent failures.
#[derive(Clone, Debug, Default)]
pub struct SourceSelector {
    failures: Vec<Failure>,
}

impl SourceSelector {
    /// Records that a VM returned no changes.
    pub fn failed(&mut self, now: Instant, addr: SocketAddr, failure: SourceFailure) {
        self.failures.retain(|other| other.addr != addr);
        self.failures.push(Failure {
            addr,
            at: now,
            kind: failure,
        });
    }

    /// Returns how many of `sources` are known to run but to be isolated, and so wait for the
    /// store.
    pub fn waiting(&self, now: Instant, sources: &[SocketAddr]) -> usize {
        let is_waiting = |other: &&Failure| {
            other.kind == SourceFailure::Isolated
                && other.is_newer_than(now, ISOLATED_TIME)
                && sources.contains(&other.addr)
        };
        self.failures.iter().filter(is_waiting).count()
    }

    /// Returns the VM to read from among `sources`, which are in order of preference. While the
    /// store is unreachable (`store_down`), an isolated VM is used if there is no other: one VM of
    /// a failure domain polls the store often, and the others learn from it that the store is back.
    pub fn choose(
        &mut self,
        now: Instant,
        sources: &[SocketAddr],
        store_down: bool,
    ) -> Option<Source> {
        self.failures
            .retain(|other| other.is_newer_than(now, ISOLATED_TIME));
        let failure = |addr: &SocketAddr| {
            let mut failures = self.failures.iter();
            let found =
                failures.find(|other| other.addr == *addr && other.is_newer_than(now, SKIP_TIME));
            found.map(|found| found.kind)
        };
        let first = |wanted: Option<SourceFailure>, isolated: bool| {
            let addr = sources.iter().find(|addr| failure(addr) == wanted);
            addr.map(|addr| Source {
                addr: *addr,
                isolated,
            })
        };
        let healthy = first(None, false);
        healthy.or_else(|| first(Some(SourceFailure::Isolated), true).filter(|_| store_down))
    }
}
