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

/// The most targets that are listed without `--service`.
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

/// Prints the status that the VMs' dumps give.
pub(crate) async fn run(context: &Context, args: &StatusArgs) -> eyre::Result<Exit> {
    let dumps = vm_client::dumps(&args.vms, context.timeout).await;
    let mut status = collect(dumps);
    if let Some(wanted) = &args.service {
        status.services.retain(|id, _| id == wanted.as_str());
        if status.services.is_empty() && status.vms.iter().any(|vm| vm.error.is_none()) {
            return Err(unknown(wanted).into());
        }
    }
    let text = text(&status, args.service.is_some());
    output::print(context.json, &status, &text)?;
    Ok(match status.vms.iter().all(|vm| vm.error.is_none()) {
        true => Exit::Done,
        false => Exit::Unreachable,
    })
}

fn unknown(service: &ServiceId) -> Error {
    Error::new(
        ResultCode::UnknownService,
        format!("the VMs know no service `{service}`"),
        "run `carobshore status` without --service for the names, or `carobshore history` for \
         recent changes",
    )
}

/// Takes the services from the VM that is furthest ahead, and the pools from every VM.
fn collect(dumps: Vec<VmDump>) -> Status {
    let mut status = Status::default();
    let mut answered = Vec::new();
    for vm in dumps {
        let addr = vm.addr.to_string();
        let error = match vm.dump {
            Ok(dump) => {
                let view = VmView::new(addr, &dump);
                status.vms.push(view.clone());
                answered.push((view, dump));
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
    let ahead = answered.iter().max_by_key(|(view, _)| view.applied);
    if let Some((best, dump)) = ahead {
        status.services = dump_view::services(dump);
        status.routes = dump_view::routes(dump);
        for vm in &mut status.vms {
            vm.lag = best.applied.zip(vm.applied).map(|(best, own)| best - own);
        }
    }
    for (view, dump) in &answered {
        dump_view::add_pools(&mut status.services, view, dump);
    }
    status
}

fn text(status: &Status, all: bool) -> String {
    let mut parts = vec![vms(status)];
    if !status.services.is_empty() {
        parts.push(services(status));
        parts.push(targets(status, all));
    }
    if !status.routes.is_empty() {
        parts.push(routes(status));
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

fn shown(value: Option<impl Display>) -> String {
    value.map_or_else(|| "-".to_owned(), |value| value.to_string())
}

fn yes_or_no(value: bool) -> &'static str {
    if value { "yes" } else { "no" }
}

fn vms(status: &Status) -> String {
    let mut rows = table(&["vm", "address", "domain", "ready", "applied", "lag"]);
    for vm in &status.vms {
        let ready = vm.ready.map(yes_or_no);
        rows.add_row([
            shown(vm.vm.as_ref()),
            vm.addr.clone(),
            shown(vm.domain.as_ref()),
            match vm.error {
                Some(_) => "unreachable".to_owned(),
                None => shown(ready),
            },
            shown(vm.applied),
            shown(vm.lag),
        ]);
    }
    rows.trim_fmt()
}

fn services(status: &Status) -> String {
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
            shown(service.version),
            shown(service.count),
            shown(service.serving),
            shown(service.slots),
            shown(service.in_flight),
            shown(service.queued),
            shown(service.measuring),
            shown(service.connections),
        ]);
    }
    rows.trim_fmt()
}

fn routes(status: &Status) -> String {
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

fn targets(status: &Status, all: bool) -> String {
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
    let shown_count = if all { count } else { count.min(MAX_TARGETS) };
    for (name, target) in listed.take(shown_count) {
        rows.add_row([
            name,
            shown(target.addr.as_ref()),
            shown(target.domain.as_ref()),
            shown(target.slots),
            shown(target.state.as_ref()),
            shown(target.home.as_ref()),
            shown(target.usable.map(yes_or_no)),
            shown(target.in_flight),
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
