//! From which other VM changes are taken, and how often the store is asked while it does not answer.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

/// How long another VM that failed is passed over.
const AVOIDED: Duration = Duration::from_secs(3);

/// Why another VM gives no changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SourceFailure {
    /// It cannot be reached, or gave no answer in time.
    Silent,
    /// It answers that nothing reaches it now. It will know as soon as the store is back.
    Cut,
}

/// The VM to ask.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Source {
    /// Its address.
    pub addr: SocketAddr,
    /// Whether it only waits for the store's return itself.
    pub cut: bool,
}

#[derive(Clone, Copy, Debug)]
struct Avoided {
    addr: SocketAddr,
    until: Instant,
    failure: SourceFailure,
}

/// Chooses the VM to ask.
#[derive(Clone, Debug, Default)]
pub struct SourceChoice {
    avoided: Vec<Avoided>,
}

impl SourceChoice {
    /// Notes that a VM gave no changes.
    pub fn failed(&mut self, now: Instant, addr: SocketAddr, failure: SourceFailure) {
        self.avoided.retain(|other| other.addr != addr);
        let until = now + AVOIDED;
        self.avoided.push(Avoided {
            addr,
            until,
            failure,
        });
    }

    /// Returns the VM to ask of `sources`, which are in the order of preference. While the store is
    /// `lost`, a VM that is cut off too is better than none: one VM of a failure domain asks the
    /// store often, and the others hear of its return.
    pub fn choose(&mut self, now: Instant, sources: &[SocketAddr], lost: bool) -> Option<Source> {
        self.avoided.retain(|other| other.until > now);
        let failure = |addr: &SocketAddr| {
            let found = self.avoided.iter().find(|other| other.addr == *addr);
            found.map(|found| found.failure)
        };
        let first = |wanted: Option<SourceFailure>, cut: bool| {
            let addr = sources.iter().find(|addr| failure(addr) == wanted);
            addr.map(|addr| Source { addr: *addr, cut })
        };
        let sound = first(None, false);
        sound.or_else(|| first(Some(SourceFailure::Cut), true).filter(|_| lost))
    }
}
