//! Exchanges the use of the teams' quotas between the instances that serve callers. Silent while no team
//! has a quota.

use crate::peer_link::send_to;
use crate::registration::is_registered;
use crate::state::GatewayState;
use balance::{AccountUse, TeamUse};
use fleet::{PeerDatagram, QuotaMessage, QuotaRow, team_tag};
use model::{InstanceName, MonoTime};
use smol_str::format_smolstr;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Interval between reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// Shortest interval between reports while much is spent.
const NEWS_INTERVAL: Duration = Duration::from_millis(50);
/// Rows in one datagram; each takes up to 17 bytes.
const QUOTA_ROWS_MAX: usize = 75;

/// Reports the use of quotas periodically, and recomputes this instance's parts.
pub(crate) async fn run_quota_reports(state: Rc<GatewayState>) {
    loop {
        if state.quotas.borrow().is_empty() {
            state.quota_wakeup.notified().await;
        }
        tokio::time::sleep(NEWS_INTERVAL).await;
        let rest = REPORT_INTERVAL - NEWS_INTERVAL;
        if !state.quotas.borrow().has_news() {
            let _ = tokio::time::timeout(rest, state.quota_wakeup.notified()).await;
        }
        // What was counted before a pause says nothing of the present.
        if !state.is_outdated() {
            report_uses(&state);
        }
    }
}

fn report_uses(state: &GatewayState) {
    let now = state.now();
    let fleet = state.fleet_ref();
    let this = fleet.members.this();
    let others: Vec<InstanceName> = fleet
        .homes()
        .iter()
        .map(|home| home.name.clone())
        .filter(|name| *name != this.name)
        .collect();
    state.quotas.borrow_mut().share(now, others, others_min(state));
    let uses = state.quotas.borrow().own_uses(now);
    if fleet.home_rank().is_none() && uses.is_empty() {
        return;
    }
    let row = |TeamUse { team, usage }: &TeamUse| QuotaRow {
        team: team_tag(team),
        spent: usage.spent,
        demand: usage.demand,
    };
    let rows: Vec<QuotaRow> = uses.iter().map(row).collect();
    let message = |rows: &[QuotaRow]| {
        PeerDatagram::Quotas(QuotaMessage {
            name: this.name.clone(),
            incarnation: this.incarnation,
            rows: rows.to_vec(),
        })
    };
    let targets = report_targets(state, now);
    for chunk in rows.chunks(QUOTA_ROWS_MAX) {
        send_to(state, &message(chunk), &targets);
    }
    if rows.is_empty() {
        send_to(state, &message(&[]), &targets);
    }
}

/// Returns how many other instances exist at least. Until the fleet's list has this instance's record, the list
/// may lack the others as well, as when the store answers nobody while the fleet starts for the first time. The
/// seeds exist in any case.
fn others_min(state: &GatewayState) -> usize {
    let settings = state.settings();
    let is_other = |seed: &&SocketAddr| **seed != settings.peer_address;
    if is_registered(state) { 0 } else { settings.seeds.iter().filter(is_other).count() }
}

/// Datagram addresses of the homes, and of the other instances that report.
fn report_targets(state: &GatewayState, now: MonoTime) -> Vec<SocketAddr> {
    let fleet = state.fleet_ref();
    let quotas = state.quotas.borrow();
    let is_home = |name: &InstanceName| fleet.homes().iter().any(|home| home.name == *name);
    let reporters: Vec<&InstanceName> =
        quotas.reporters(now).filter(|name| !is_home(name)).collect();
    let this = &fleet.members.this().name;
    let homes = fleet.homes().iter().filter(|home| home.name != *this);
    let mut targets: Vec<SocketAddr> = homes.map(|home| home.datagram_address).collect();
    if !reporters.is_empty() {
        let others = fleet.members.others().filter(|member| reporters.contains(&&member.name));
        targets.extend(others.map(|member| member.datagram_address));
    }
    targets
}

/// Applies the report of another instance.
pub(crate) fn apply_quota_report(state: &GatewayState, message: QuotaMessage) {
    if !message.is_valid() {
        state.log_input_fault("datagram_malformed", &format_smolstr!("use of {}", message.name));
        return;
    }
    let tags = state.team_tags.borrow();
    let usage = |row: &QuotaRow| {
        let usage = AccountUse { spent: row.spent, demand: row.demand };
        Some(TeamUse { team: tags.get(&row.team)?.clone(), usage })
    };
    let uses = message.rows.iter().filter_map(usage).collect();
    let now = state.now();
    state.quotas.borrow_mut().record_peer(now, &message.name, message.incarnation, uses);
}
