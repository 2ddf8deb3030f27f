//! Evacuated data centres, whose servers get no requests until the operators take them back.

use super::LoadEstimates;
use model::{DataCentre, MonoTime};
use std::collections::BTreeSet;
use std::net::SocketAddr;

impl LoadEstimates {
    /// Stops using the servers of a data centre. Returns their addresses; none if it is evacuated already.
    pub fn evacuate(&mut self, centre: &DataCentre) -> Vec<SocketAddr> {
        if !self.evacuated.insert(centre.clone()) {
            return Vec::new();
        }
        let mut addresses = Vec::new();
        for state in self.servers.values_mut().filter(|state| state.spec.data_centre == *centre) {
            state.is_evacuated = true;
            addresses.push(state.spec.address);
        }
        addresses
    }

    /// Uses the servers of a data centre again. They count as cold until a health check says otherwise:
    /// they may have been restarted meanwhile. Returns whether the data centre was evacuated.
    pub fn take_back(&mut self, now: MonoTime, centre: &DataCentre) -> bool {
        let was_evacuated = self.evacuated.remove(centre);
        for state in self.servers.values_mut().filter(|state| state.spec.data_centre == *centre) {
            if state.is_evacuated {
                state.is_evacuated = false;
                state.doubt_warmth(now);
            }
        }
        was_evacuated
    }

    /// Returns the evacuated data centres.
    pub fn evacuated(&self) -> &BTreeSet<DataCentre> {
        &self.evacuated
    }
}
