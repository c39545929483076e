//! From which other VM changes are taken, and how often the store is asked while it does not answer.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

/// How long another VM that failed is passed over.
const AVOIDED: Duration = Duration::from_secs(3);
/// How long the answer of a VM that nothing reaches shows that it lives and waits for the store. It is
/// longer than [`AVOIDED`], after which that VM is asked again.
const KNOWN_TO_WAIT: Duration = Duration::from_secs(6);

/// Why another VM gives no changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SourceFailure {
    /// It cannot be reached, or gave no answer in time.
    NoAnswer,
    /// It answers that nothing reaches it now. It will know as soon as the store is back.
    Isolated,
}

/// The VM to ask.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Source {
    /// Its address.
    pub addr: SocketAddr,
    /// Whether it only waits for the store's return itself.
    pub isolated: bool,
}

#[derive(Clone, Copy, Debug)]
struct Avoided {
    addr: SocketAddr,
    since: Instant,
    failure: SourceFailure,
}

impl Avoided {
    fn is_younger(&self, now: Instant, age: Duration) -> bool {
        now.saturating_duration_since(self.since) < age
    }
}

/// Chooses the VM to ask.
#[derive(Clone, Debug, Default)]
pub struct SourceSelector {
    avoided: Vec<Avoided>,
}

impl SourceSelector {
    /// Notes that a VM gave no changes.
    pub fn failed(&mut self, now: Instant, addr: SocketAddr, failure: SourceFailure) {
        self.avoided.retain(|other| other.addr != addr);
        self.avoided.push(Avoided {
            addr,
            since: now,
            failure,
        });
    }

    /// Returns how many of the VMs live and wait for the store themselves, as far as is known.
    pub fn waiting(&self, now: Instant, sources: &[SocketAddr]) -> usize {
        let waits = |other: &&Avoided| {
            other.failure == SourceFailure::Isolated
                && other.is_younger(now, KNOWN_TO_WAIT)
                && sources.contains(&other.addr)
        };
        self.avoided.iter().filter(waits).count()
    }

    /// Returns the VM to ask of `sources`, which are in the order of preference. While the store is
    /// `lost`, a VM that is cut off too is better than none: one VM of a failure domain asks the
    /// store often, and the others hear of its return.
    pub fn choose(&mut self, now: Instant, sources: &[SocketAddr], lost: bool) -> Option<Source> {
        self.avoided
            .retain(|other| other.is_younger(now, KNOWN_TO_WAIT));
        let failure = |addr: &SocketAddr| {
            let mut avoided = self.avoided.iter();
            let found = avoided.find(|other| other.addr == *addr && other.is_younger(now, AVOIDED));
            found.map(|found| found.failure)
        };
        let first = |wanted: Option<SourceFailure>, isolated: bool| {
            let addr = sources.iter().find(|addr| failure(addr) == wanted);
            addr.map(|addr| Source {
                addr: *addr,
                isolated,
            })
        };
        let sound = first(None, false);
        sound.or_else(|| first(Some(SourceFailure::Isolated), true).filter(|_| lost))
    }
}
