//! The messages between the control thread and the data thread.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use carobshore_lib::config::Config;
use carobshore_lib::key_history::KeyHistory;
use carobshore_lib::peer_load::PeerLoad;
use carobshore_lib::prelude::DomainId;
use carobshore_lib::prelude::Offset;
use carobshore_lib::prelude::ServiceId;
use carobshore_lib::prelude::TargetId;
use carobshore_lib::prelude::VmId;
use carobshore_lib::read_lease::ReadLease;
use carobshore_lib::roster::Roster;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::control_counts::ControlCounts;

/// An immutable copy of the control thread's state, published to the data thread.
#[derive(Clone, Debug)]
pub struct View {
    /// This VM.
    pub me: VmId,
    /// The failure domain of this VM.
    pub domain: DomainId,
    /// The confirmed configuration.
    pub config: Arc<Config>,
    /// The entry VMs that have joined, as of the applied offset.
    pub roster: Arc<Roster>,
    /// The offset up to which the log has been applied.
    pub applied: Offset,
    /// The histories of key ownership by service. They have to be of the same view as the lease,
    /// which proves only what the records before its read say.
    pub keys: Arc<BTreeMap<ServiceId, Arc<KeyHistory>>>,
    /// The read lease, which proves that the log was read recently.
    pub lease: ReadLease,
    /// Targets that the platform's list, peers or the targets themselves report as leaving.
    pub leaving: Arc<BTreeSet<(ServiceId, TargetId)>>,
    /// Members that miss heartbeats.
    pub down: Arc<BTreeSet<VmId>>,
    /// Loads of other homes, from heartbeats.
    pub loads: Vec<(ServiceId, PeerLoad)>,
    /// Counters of the control thread, for the metrics.
    pub counts: ControlCounts,
    /// Whether the configuration is at least as recent as that of any reachable peer.
    pub ready: bool,
}

impl View {
    /// Returns the view of a VM that has not read anything yet.
    pub fn empty(me: VmId, domain: DomainId) -> Self {
        Self {
            me,
            domain,
            config: Arc::default(),
            roster: Arc::default(),
            applied: Offset::default(),
            keys: Arc::default(),
            lease: ReadLease::default(),
            leaving: Arc::default(),
            down: Arc::default(),
            loads: Vec::new(),
            counts: ControlCounts::default(),
            ready: false,
        }
    }
}

/// The data thread's ends of the channels between the threads.
#[derive(Debug)]
pub struct DataChannels {
    /// The latest view.
    pub views: watch::Receiver<Arc<View>>,
    /// Requests of the control thread.
    pub requests: mpsc::UnboundedReceiver<DataRequest>,
}

/// A request of the control thread to the data thread.
#[derive(Debug)]
pub enum DataRequest {
    /// Return the state of the data plane.
    Dump(oneshot::Sender<serde_json::Value>),
}

/// A report of the data thread to the control thread.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DataReport {
    /// A target reports that it is draining.
    Drain {
        /// The service of the target.
        service: ServiceId,
        /// The target, which gets no new requests.
        target: TargetId,
    },
    /// The load of this VM as a home of a service, for its heartbeats.
    Load {
        /// The service, of which this VM is a home.
        service: ServiceId,
        /// Free slots.
        free: u32,
        /// Requests in the queue.
        queued: u32,
    },
    /// An entry VM cannot be reached or is not ready.
    Unreachable {
        /// The VM that could not take a request.
        vm: VmId,
    },
    /// In a planned stop, the last request whose key this VM owns has ended.
    KeyedIdle,
}

/// Sends reports to the control thread.
#[derive(Clone, Debug)]
pub struct ReportSender(mpsc::UnboundedSender<DataReport>);

impl ReportSender {
    /// Creates the sender and the receiver.
    pub fn channel() -> (Self, mpsc::UnboundedReceiver<DataReport>) {
        let (sender, receiver) = mpsc::unbounded_channel();
        (Self(sender), receiver)
    }

    /// Sends a report. It is dropped if the control thread has ended.
    pub fn send(&self, report: DataReport) {
        let _ = self.0.send(report);
    }
}
