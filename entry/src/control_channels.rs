//! The channels, clients and listener of the control thread.

use std::net::TcpListener;
use std::sync::Arc;

use carobshore_platform::log_client::LogClient;
use carobshore_platform::vm_list_client::VmListClient;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::view::DataReport;
use crate::view::DataRequest;
use crate::view::View;

/// The senders of the channels to the data thread.
#[derive(Debug)]
pub(crate) struct DataSenders {
    /// Publishes views.
    pub(crate) views: watch::Sender<Arc<View>>,
    /// Sends requests.
    pub(crate) requests: mpsc::UnboundedSender<DataRequest>,
}

/// The clients of the platform's services.
#[derive(Debug)]
pub(crate) struct PlatformClients {
    /// Reads the log and appends to it.
    pub(crate) log: LogClient,
    /// Reads the list of VMs.
    pub(crate) vm_list: VmListClient,
}

/// The control thread's ends of its channels, and its listener.
#[derive(Debug)]
pub(crate) struct ControlChannels {
    /// Accepts remote procedure calls of peers and operators.
    pub(crate) rpc: TcpListener,
    /// To the data thread.
    pub(crate) data: DataSenders,
    /// From the data thread.
    pub(crate) reports: mpsc::UnboundedReceiver<DataReport>,
    /// Ends the thread when a message arrives or the sender is dropped.
    pub(crate) stop: oneshot::Receiver<()>,
}
