//! Keeps this instance announced in the store, so that the others know of it.

use crate::state::GatewayState;
use fleet::MemberRecord;
use model::Millis;
use rand::RngExt;
use smol_str::format_smolstr;
use std::rc::Rc;
use std::time::Duration;
use store::{LeaseId, StoreError, StoreKey};

/// How long the announcement of an instance outlives it.
const LEASE_SPAN: Millis = Millis(120_000);
/// Time between renewals of the announcement; three fit its life.
const RENEW_SPAN: Duration = Duration::from_secs(38);
/// Time between looks at whether the announcement is still there.
const LISTED_TICK: Duration = Duration::from_secs(2);
/// First and longest pause between tries to announce the instance.
const ANNOUNCE_FIRST: Duration = Duration::from_millis(100);
const ANNOUNCE_MAX: Duration = Duration::from_secs(4);

/// Keeps this instance announced until the process stops.
pub(crate) async fn run_announcement(state: Rc<GatewayState>) {
    let mut lease = None;
    let mut pause = ANNOUNCE_FIRST;
    while !state.is_stopping() {
        let result = match lease {
            None => announce(&state).await.map(Some),
            Some(held) => renew(&state, held).await,
        };
        match result {
            Ok(held) => {
                pause = ANNOUNCE_FIRST;
                lease = if held.is_some() && stays_listed(&state).await { held } else { None };
            }
            Err(_) => {
                let wait = pause.mul_f64(rand::rng().random_range(0.7..1.3));
                tokio::time::sleep(wait).await;
                pause = (pause * 2).min(ANNOUNCE_MAX);
            }
        }
    }
    if let Some(lease) = lease {
        let store = Rc::clone(&state.store.borrow());
        let result = store.end(lease).await;
        state.metrics.store_call("lease", result.is_ok());
    }
}

/// Ends when the announcement is to be renewed, or is gone, or the process stops. Gives whether it is
/// still there.
async fn stays_listed(state: &GatewayState) -> bool {
    let until = state.now().after(RENEW_SPAN);
    while state.now() < until && !state.is_stopping() {
        tokio::time::sleep(LISTED_TICK).await;
        if is_unlisted(state) {
            return false;
        }
    }
    true
}

/// Whether the store no longer has the announcement, as far as is known here.
fn is_unlisted(state: &GatewayState) -> bool {
    let key = state.dialect.member_key(state.settings().name.as_str());
    let fleet = state.fleet_ref();
    let is_current = fleet.confirmed_age(state.now()) < LISTED_TICK;
    is_current && !fleet.replica.items().any(|(known, _)| *known == key)
}

async fn announce(state: &Rc<GatewayState>) -> Result<LeaseId, StoreError> {
    let store = Rc::clone(&state.store.borrow());
    let lease = store.grant(LEASE_SPAN).await;
    state.metrics.store_call("lease", lease.is_ok());
    let lease = lease?;
    let record: MemberRecord = state.fleet_ref().members.this().clone();
    let value = serde_json::to_string(&record)
        .map_err(|cause| StoreError::NotApplied(format_smolstr!("{cause}")))?;
    let key = StoreKey(state.dialect.member_key(record.name.as_str()).into());
    let written = store.put(&key, value.into(), lease).await;
    state.metrics.store_call("write", written.is_ok());
    written.map(|_| lease)
}

/// Gives the lease, or none if it ended and the instance must be announced anew.
async fn renew(state: &Rc<GatewayState>, lease: LeaseId) -> Result<Option<LeaseId>, StoreError> {
    let store = Rc::clone(&state.store.borrow());
    let result = store.keep(lease).await;
    state.metrics.store_call("renewal", result.is_ok());
    match result {
        Ok(()) => Ok(Some(lease)),
        Err(StoreError::LeaseLost) => {
            state.log.state("announcement_lapsed", "");
            Ok(None)
        }
        Err(cause) => Err(cause),
    }
}
