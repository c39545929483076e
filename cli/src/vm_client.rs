//! Asks entry VMs for their state.

use std::net::SocketAddr;
use std::time::Duration;

use carobshore_lib::prelude::*;
use jsonrpsee::core::client::ClientT;
use jsonrpsee::http_client::HttpClientBuilder;
use jsonrpsee::rpc_params;
use serde_json::Value;

/// The largest dump that is read, in bytes.
const MAX_DUMP: u32 = 256 * 1024 * 1024;

/// A VM's dump, or why there is none.
#[derive(Debug)]
pub(crate) struct VmDump {
    /// The VM's address.
    pub(crate) addr: SocketAddr,
    /// The dump.
    pub(crate) dump: Result<Value>,
}

/// Asks each VM for its dump.
pub(crate) async fn dumps(vms: &[SocketAddr], limit: Duration) -> Vec<VmDump> {
    let mut dumps = Vec::new();
    for addr in vms.iter().copied() {
        let dump = dump(addr, limit).await;
        dumps.push(VmDump { addr, dump });
    }
    dumps
}

async fn dump(addr: SocketAddr, limit: Duration) -> Result<Value> {
    let unreachable = |error: jsonrpsee::core::client::Error| {
        Error::new(
            ResultCode::PeerUnavailable,
            format!("the VM at {addr} gave no dump: {error}"),
            "check the address of its control port; the platform's VM list shows whether it is live",
        )
    };
    let client = HttpClientBuilder::default()
        .request_timeout(limit)
        .max_response_size(MAX_DUMP)
        .build(format!("http://{addr}"))
        .map_err(unreachable)?;
    client
        .request("dump", rpc_params![])
        .await
        .map_err(unreachable)
}
