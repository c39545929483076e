//! `carobshore status`

use std::collections::BTreeMap;
use std::fmt::Display;
use std::net::SocketAddr;

use carobshore_lib::configured_route::ConfiguredRoute;
use carobshore_lib::prelude::*;
use clap::Args as ClapArgs;
use serde::Serialize;

use crate::commands::Context;
use crate::dump_view;
use crate::dump_view::ServiceView;
use crate::dump_view::VmView;
use crate::exit::Exit;
use crate::output;
use crate::table::table;
use crate::vm_client;
use crate::vm_client::VmDump;

/// The maximum number of targets listed without `--service`.
const MAX_TARGETS: usize = 100;

/// Show entry VMs, services, targets and budgets.
#[derive(Debug, ClapArgs)]
pub(crate) struct StatusArgs {
    /// Control address of a VM; may be repeated, or be a list with commas.
    #[arg(
        long = "vm",
        env = "CAROBSHORE_VMS",
        value_name = "IP:PORT",
        value_delimiter = ',',
        required = true
    )]
    vms: Vec<SocketAddr>,

    /// Show only this service.
    #[arg(long)]
    service: Option<ServiceId>,
}

#[derive(Debug, Default, Serialize)]
struct Status {
    vms: Vec<VmView>,
    services: BTreeMap<String, ServiceView>,
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    routes: BTreeMap<String, ConfiguredRoute>,
}

/// Fetches the VMs' dumps and prints the status they contain.
pub(crate) async fn run(context: &Context, args: &StatusArgs) -> eyre::Result<Exit> {
    let dumps = vm_client::fetch_dumps(&args.vms, context.timeout).await;
    let mut status = collect(dumps);
    if let Some(wanted) = &args.service {
        status.services.retain(|id, _| id == wanted.as_str());
        if status.services.is_empty() && status.vms.iter().any(|vm| vm.error.is_none()) {
            return Err(unknown_service(wanted).into());
        }
    }
    let text = render(&status, args.service.is_some());
    output::print(context.json, &status, &text)?;
    Ok(match status.vms.iter().all(|vm| vm.error.is_none()) {
        true => Exit::Done,
        false => Exit::Unreachable,
    })
}

fn unknown_service(service: &ServiceId) -> Error {
    Error::new(
        ResultCode::UnknownService,
        format!("the VMs know no service `{service}`"),
        "run `carobshore status` without --service for the names, or `carobshore history` for \
         recent changes",
    )
}

/// Builds the status. Services and routes come from the VM with the highest applied offset, the
/// homes' request counts and target states from every VM.
fn collect(dumps: Vec<VmDump>) -> Status {
    let mut status = Status::default();
    let mut fetched = Vec::new();
    for vm in dumps {
        let addr = vm.addr.to_string();
        let error = match vm.dump {
            Ok(dump) => {
                let view = VmView::new(addr, &dump);
                status.vms.push(view.clone());
                fetched.push((view, dump));
                continue;
            }
            Err(error) => Some(error),
        };
        status.vms.push(VmView {
            addr,
            error,
            ..VmView::default()
        });
    }
    let most_advanced = fetched.iter().max_by_key(|(view, _)| view.applied);
    if let Some((best, dump)) = most_advanced {
        status.services = dump_view::services(dump);
        status.routes = dump_view::routes(dump);
        for vm in &mut status.vms {
            vm.lag = best.applied.zip(vm.applied).map(|(best, own)| best - own);
        }
    }
    for (view, dump) in &fetched {
        dump_view::add_home_state(&mut status.services, view, dump);
    }
    status
}

fn render(status: &Status, list_all: bool) -> String {
    let mut parts = vec![vm_table(status)];
    if !status.services.is_empty() {
        parts.push(service_table(status));
        parts.push(target_table(status, list_all));
    }
    if !status.routes.is_empty() {
        parts.push(route_table(status));
    }
    let errors = status.vms.iter().filter_map(|vm| vm.error.as_ref());
    parts.extend(errors.map(|error| {
        format!(
            "warning [{}]: {}\n  next: {}",
            error.code, error.message, error.help
        )
    }));
    parts.join("\n\n")
}

fn or_dash(value: Option<impl Display>) -> String {
    value.map_or_else(|| "-".to_owned(), |value| value.to_string())
}

fn yes_or_no(value: bool) -> &'static str {
    if value { "yes" } else { "no" }
}

fn vm_table(status: &Status) -> String {
    let mut rows = table(&["vm", "address", "domain", "ready", "applied", "lag"]);
    for vm in &status.vms {
        let ready = vm.ready.map(yes_or_no);
        rows.add_row([
            or_dash(vm.vm.as_ref()),
            vm.addr.clone(),
            or_dash(vm.domain.as_ref()),
            match vm.error {
                Some(_) => "unreachable".to_owned(),
                None => or_dash(ready),
            },
            or_dash(vm.applied),
            or_dash(vm.lag),
        ]);
    }
    rows.trim_fmt()
}

fn service_table(status: &Status) -> String {
    let mut rows = table(&[
        "service",
        "version",
        "targets",
        "serving",
        "slots",
        "in flight",
        "queued",
        "measuring",
        "connections",
    ]);
    for (id, service) in &status.services {
        rows.add_row([
            id.clone(),
            or_dash(service.version),
            or_dash(service.count),
            or_dash(service.serving),
            or_dash(service.slots),
            or_dash(service.in_flight),
            or_dash(service.queued),
            or_dash(service.measuring),
            or_dash(service.connections),
        ]);
    }
    rows.trim_fmt()
}

fn route_table(status: &Status) -> String {
    let mut rows = table(&[
        "route", "version", "host", "prefix", "services", "kind", "timeout", "attempts",
    ]);
    for (id, route) in &status.routes {
        let rule = &route.rule;
        rows.add_row([
            id.clone(),
            route.version.to_string(),
            rule.host.to_string(),
            rule.prefix.to_string(),
            rule.services(),
            rule.kind.as_str().to_owned(),
            format!("{:?}", rule.timeout),
            rule.attempts.to_string(),
        ]);
    }
    rows.trim_fmt()
}

fn target_table(status: &Status, list_all: bool) -> String {
    let mut rows = table(&[
        "target",
        "address",
        "domain",
        "slots",
        "state",
        "home",
        "usable",
        "in flight",
    ]);
    let listed = status.services.iter().flat_map(|(service, view)| {
        let targets = view.targets.iter();
        targets.map(move |(id, target)| (format!("{service}/{id}"), target))
    });
    let count = listed.clone().count();
    if count == 0 {
        return "the dumps list no targets".to_owned();
    }
    let shown_count = if list_all {
        count
    } else {
        count.min(MAX_TARGETS)
    };
    for (name, target) in listed.take(shown_count) {
        rows.add_row([
            name,
            or_dash(target.addr.as_ref()),
            or_dash(target.domain.as_ref()),
            or_dash(target.slots),
            or_dash(target.state.as_ref()),
            or_dash(target.home.as_ref()),
            or_dash(target.usable.map(yes_or_no)),
            or_dash(target.in_flight),
        ]);
    }
    let mut text = rows.trim_fmt();
    if shown_count < count {
        let more = count - shown_count;
        text.push_str(&format!(
            "\n{more} more targets; use --service to list those of one service"
        ));
    }
    text
}
