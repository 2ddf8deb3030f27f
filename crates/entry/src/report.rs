//! Runs operators' queries on the state of this instance.

use crate::traffic::TrafficState;
use command::QueryStatement;
use control::{FleetView, MemberStatus};
use model::operator::ReportTable;
use model::{ChangeId, Millis, ServiceName};
use smol_str::{SmolStr, ToSmolStr, format_smolstr};

/// Runs one query and returns its table.
///
/// # Errors
/// The query names a service that is not configured.
pub fn run_query(traffic: &TrafficState, query: &QueryStatement) -> Result<ReportTable, SmolStr> {
    let view = traffic.view.load_full();
    match query {
        QueryStatement::Services => Ok(services(&view)),
        QueryStatement::Servers(service) => servers(&view, service),
        QueryStatement::Rules(service) => rules(&view, service),
        QueryStatement::Instances => Ok(instances(traffic, &view)),
        QueryStatement::Version => Ok(version(traffic, &view)),
        QueryStatement::Change(id) => Ok(change(&view, id)),
        QueryStatement::Decisions(service) => decisions(traffic, &view, service),
    }
}

fn table(title: impl Into<SmolStr>, columns: &[&str], rows: Vec<Vec<SmolStr>>) -> ReportTable {
    let columns = columns.iter().map(|column| SmolStr::new(*column)).collect();
    ReportTable { title: title.into(), columns, rows }
}

fn joined<T: ToString>(items: &[T]) -> SmolStr {
    items.iter().map(ToString::to_string).collect::<Vec<_>>().join(" ").into()
}

fn unknown_service(service: &ServiceName) -> SmolStr {
    format_smolstr!("no service {service}")
}

fn services(view: &FleetView) -> ReportTable {
    let columns = [
        "service",
        "servers",
        "deadline_ms",
        "keep_ms",
        "long_yield_ms",
        "homes",
        "probe_rate",
        "home_instances",
        "standbys",
    ];
    let config = view.config.iter().flat_map(|config| &config.services);
    let rows = config.map(|(name, service)| {
        let homes = view.homes.get(name).cloned().unwrap_or_default();
        vec![
            name.to_smolstr(),
            service.servers.len().to_smolstr(),
            service.deadline.to_smolstr(),
            service.keep.to_smolstr(),
            service.long_yield.to_smolstr(),
            service.homes.to_smolstr(),
            service.probe_rate.to_smolstr(),
            joined(&homes.homes),
            joined(&homes.standbys),
        ]
    });
    table("services", &columns, rows.collect())
}

fn servers(view: &FleetView, service: &ServiceName) -> Result<ReportTable, SmolStr> {
    let config = view.config.as_ref().and_then(|config| config.services.get(service));
    let config = config.ok_or_else(|| unknown_service(service))?;
    let columns =
        ["server", "address", "slots", "connections", "data_centre", "state", "incarnation"];
    let rows = config.servers.iter().map(|(name, server)| {
        let leaving = model::Leaving {
            service: service.clone(),
            server: name.clone(),
            incarnation: server.incarnation,
        };
        let leaves = server.draining || view.is_leaving(&leaving);
        vec![
            name.to_smolstr(),
            server.address.to_smolstr(),
            server.slots.to_smolstr(),
            server.connections.to_smolstr(),
            server.data_centre.as_ref().map(ToSmolStr::to_smolstr).unwrap_or_default(),
            SmolStr::new_static(if leaves { "leaving" } else { "live" }),
            server.incarnation.to_smolstr(),
        ]
    });
    Ok(table(format_smolstr!("backend servers of {service}"), &columns, rows.collect()))
}

fn rules(view: &FleetView, service: &ServiceName) -> Result<ReportTable, SmolStr> {
    let config = view.config.as_ref().and_then(|config| config.services.get(service));
    let config = config.ok_or_else(|| unknown_service(service))?;
    let rows = config.rules.iter().map(|(route, rule)| {
        vec![
            route.to_smolstr(),
            rule.class.map_or("learned".into(), |class| class.to_smolstr()),
            rule.idempotent.map_or("by method".into(), |value| value.to_smolstr()),
        ]
    });
    let title = format_smolstr!("rules of {service}");
    Ok(table(title, &["route", "class", "idempotent"], rows.collect()))
}

fn instances(traffic: &TrafficState, view: &FleetView) -> ReportTable {
    let now = traffic.clock.now();
    let columns = [
        "instance",
        "data_centre",
        "state",
        "heartbeats",
        "version",
        "incarnation",
        "callers",
        "operators",
    ];
    let rows = view.members.values().map(|member| {
        let record = &member.record;
        vec![
            record.name.to_smolstr(),
            record.data_centre.to_smolstr(),
            record.state.to_smolstr(),
            SmolStr::new_static(match member.status {
                MemberStatus::Alive => "arrive",
                MemberStatus::Gone => "stopped",
            }),
            member.version.to_smolstr(),
            Millis::from(now.since(member.version_at)).to_smolstr(),
            record.incarnation.to_smolstr(),
            record.caller_address.to_smolstr(),
            record.operator_address.to_smolstr(),
        ]
    });
    table("instances", &columns, rows.collect())
}

fn version(traffic: &TrafficState, view: &FleetView) -> ReportTable {
    let now = traffic.clock.now();
    let ago = view.confirmed_at.map(|at| Millis::from(now.since(at)).to_smolstr());
    let row = vec![
        view.this.name.to_smolstr(),
        view.version().to_smolstr(),
        ago.unwrap_or("never".into()),
    ];
    table("version in force", &["instance", "version", "confirmed_ms_ago"], vec![row])
}

fn change(view: &FleetView, id: &ChangeId) -> ReportTable {
    let version = view.config.as_ref().and_then(|config| config.version_of(id));
    let state = if version.is_some() { "accepted" } else { "not known" };
    let unconfirmed = version.map(|version| {
        let unconfirmed_members = view.members.values().filter(|member| member.version < version);
        joined(&unconfirmed_members.map(|member| member.record.name.clone()).collect::<Vec<_>>())
    });
    let row = vec![
        id.to_smolstr(),
        state.into(),
        version.map(|version| version.to_smolstr()).unwrap_or_default(),
        unconfirmed.unwrap_or_default(),
        view.version().to_smolstr(),
    ];
    let columns = ["change", "state", "version", "unconfirmed", "version_in_force_here"];
    table("change", &columns, vec![row])
}

fn decisions(
    traffic: &TrafficState,
    view: &FleetView,
    service: &ServiceName,
) -> Result<ReportTable, SmolStr> {
    let runtime = traffic.service(service).ok_or_else(|| unknown_service(service))?;
    let snapshot = runtime.snapshot();
    let role = match view.home_rank(service) {
        Some((rank, homes)) => format_smolstr!("home {} of {homes}", rank + 1),
        None => "forwards requests to the home".into(),
    };
    let title = format_smolstr!(
        "decisions of {} for {service}: {role}; {} waiting, {} in slots; {} arrived, {} dispatched, {} refused",
        view.this.name,
        snapshot.waiting,
        snapshot.in_flight,
        snapshot.counters.arrived,
        snapshot.counters.dispatched,
        snapshot.counters.refused,
    );
    let rows = snapshot.servers.iter().map(|(name, server)| {
        vec![
            name.to_smolstr(),
            server.in_flight.to_smolstr(),
            server.slots.to_smolstr(),
            server.external.to_smolstr(),
            format_smolstr!("{:.0}", server.mean_micros),
            server.stuck.to_smolstr(),
            server.state.as_str().into(),
        ]
    });
    let columns = ["server", "in_flight", "slots", "foreign", "mean_us", "stuck", "state"];
    Ok(table(title, &columns, rows.collect()))
}
