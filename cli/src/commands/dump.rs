//! `carobshore dump`

use std::collections::BTreeMap;
use std::net::SocketAddr;

use clap::Args as ClapArgs;
use serde_json::Value;
use serde_json::json;

use crate::commands::Context;
use crate::exit::Exit;
use crate::output;
use crate::vm_client;

/// Print the whole state of entry VMs as JSON.
#[derive(Debug, ClapArgs)]
pub(crate) struct DumpArgs {
    /// Control address of a VM; may be repeated, or be a list with commas.
    #[arg(
        long = "vm",
        env = "CAROBSHORE_VMS",
        value_name = "IP:PORT",
        value_delimiter = ',',
        required = true
    )]
    vms: Vec<SocketAddr>,
}

/// Prints a JSON object with the dump of each VM, or its error.
pub(crate) async fn run(context: &Context, args: &DumpArgs) -> eyre::Result<Exit> {
    let dumps = vm_client::fetch_dumps(&args.vms, context.timeout).await;
    let complete = dumps.iter().all(|vm| vm.dump.is_ok());
    let all: BTreeMap<String, Value> = dumps
        .into_iter()
        .map(|vm| {
            let value = vm.dump.unwrap_or_else(|error| json!({ "error": error }));
            (vm.addr.to_string(), value)
        })
        .collect();
    let text = serde_json::to_string_pretty(&all)?;
    output::print(context.json, &all, &text)?;
    Ok(match complete {
        true => Exit::Done,
        false => Exit::Unreachable,
    })
}
