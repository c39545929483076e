//! The contract between the control thread and the data thread.

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

/// What the control thread knows, published to the data thread as an immutable value.
#[derive(Clone, Debug)]
pub struct View {
    /// This VM.
    pub me: VmId,
    /// The failure domain of this VM.
    pub domain: DomainId,
    /// The confirmed configuration.
    pub config: Arc<Config>,
    /// The entry VMs in the log.
    pub roster: Arc<Roster>,
    /// The last applied offset of the log.
    pub applied: Offset,
    /// The histories of key ownership by service. They and the lease belong together: a lease
    /// proves only what the records before its read say.
    pub keys: Arc<BTreeMap<ServiceId, Arc<KeyHistory>>>,
    /// The read lease.
    pub lease: ReadLease,
    /// Targets that the platform's list or peers report as leaving.
    pub leaving: Arc<BTreeSet<(ServiceId, TargetId)>>,
    /// Members that miss heartbeats.
    pub down: Arc<BTreeSet<VmId>>,
    /// Loads of other homes, from heartbeats.
    pub loads: Vec<(ServiceId, PeerLoad)>,
    /// What the control thread has done, for the metrics.
    pub counts: ControlCounts,
    /// Whether the configuration is as new as that of any reachable peer.
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
    /// A target says that it leaves.
    Drain {
        /// The service.
        service: ServiceId,
        /// The target.
        target: TargetId,
    },
    /// The load of this VM as a home of a service.
    Load {
        /// The service.
        service: ServiceId,
        /// Slots that could take a request at once.
        free: u32,
        /// Requests that wait.
        queued: u32,
    },
    /// An entry VM refused a connection.
    Unreachable {
        /// The VM.
        vm: VmId,
    },
    /// In a planned stop, the last request ended whose key this VM owns.
    KeyedIdle,
}

/// The sending end for reports to the control thread.
#[derive(Clone, Debug)]
pub struct ReportSender(mpsc::UnboundedSender<DataReport>);

impl ReportSender {
    /// Builds both ends.
    pub fn channel() -> (Self, mpsc::UnboundedReceiver<DataReport>) {
        let (sender, receiver) = mpsc::unbounded_channel();
        (Self(sender), receiver)
    }

    /// Sends a report; it is dropped while the control thread restarts.
    pub fn send(&self, report: DataReport) {
        let _ = self.0.send(report);
    }
}
