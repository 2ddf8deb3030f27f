//! Measures how much longer requests travel to other data centres than within the own one: by the time that
//! connections to the servers there take to open.

use crate::state::GatewayState;
use model::DataCentre;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

/// Interval between two measurements.
const MEASURE_INTERVAL: Duration = Duration::from_secs(1);

/// Measures the trips until the process ends.
pub(crate) async fn run_trips(state: Rc<GatewayState>) {
    loop {
        tokio::time::sleep(MEASURE_INTERVAL).await;
        if state.fleet_ref().home_rank().is_some() {
            measure_trips(&state);
        }
    }
}

fn measure_trips(state: &GatewayState) {
    let mut shortest: HashMap<DataCentre, Duration> = HashMap::new();
    for server in state.queue.borrow().estimates.servers() {
        if let Some(took) = state.pool.connect_time(server.spec.address) {
            let known = shortest.entry(server.spec.data_centre.clone()).or_insert(took);
            *known = took.min(*known);
        }
    }
    let own_centre = &state.settings().data_centre;
    let Some(own) = shortest.remove(own_centre) else {
        return;
    };
    let mut queue = state.queue();
    for (centre, took) in shortest {
        queue.outflow.set_trip(centre, took.saturating_sub(own));
    }
}
