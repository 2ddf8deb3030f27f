//! Serves the calls of other instances.

use crate::non_idempotent;
use crate::request::{RequestOrigin, serve_request};
use crate::traffic::TrafficState;
use control::{ControlEvent, FleetView};
use futures::future::BoxFuture;
use model::{ConfigDocument, FleetDigest, InstanceName, InstanceRecord, ServiceName};
use peer::{ConfigCopy, ForwardCall, ForwardReply, PeerHandler, TicketBatch, TicketInquiry};
use smol_str::SmolStr;
use std::sync::Arc;
use timeline::HybridTime;
use tokio::sync::watch;

/// Handler for the calls of other instances.
pub struct EntryPeer {
    traffic: Arc<TrafficState>,
    digest: watch::Receiver<FleetDigest>,
}

impl EntryPeer {
    /// Creates a handler that replies to heartbeats with the latest value of `digest`.
    pub fn new(traffic: Arc<TrafficState>, digest: watch::Receiver<FleetDigest>) -> Self {
        Self { traffic, digest }
    }
}

impl PeerHandler for EntryPeer {
    fn heartbeat(&self, digest: FleetDigest) -> BoxFuture<'_, FleetDigest> {
        self.traffic.ring.clock().observe(HybridTime(digest.clock));
        let mut reply = self.digest.borrow().reply_to(&digest);
        self.traffic.notify(ControlEvent::DigestReceived(digest));
        reply.clock = self.traffic.ring.clock().now().0;
        Box::pin(async move { reply })
    }

    fn describe(&self, names: Vec<InstanceName>) -> Vec<InstanceRecord> {
        let view = self.traffic.view.load();
        let record = |name: &InstanceName| view.members.get(name).map(|m| m.record.clone());
        names.iter().filter_map(record).collect()
    }

    fn fetch_config(&self) -> Option<ConfigCopy> {
        config_copy(&self.traffic.view.load())
    }

    fn forward(&self, call: ForwardCall) -> BoxFuture<'_, ForwardReply> {
        Box::pin(
            async move { serve_request(&self.traffic, &call, RequestOrigin::Peer, None).await },
        )
    }

    fn issue_tickets(&self, service: ServiceName, count: u32) -> Option<TicketBatch> {
        non_idempotent::issue_own_tickets(&self.traffic, &service, count)
    }

    fn ticket_state(&self, ticket: SmolStr) -> TicketInquiry {
        non_idempotent::own_ticket_state(&self.traffic, &ticket)
    }

    fn record_invalid_token(&self) {
        self.traffic.metrics.token_refusals.with_label_values(&["peer"]).inc();
    }
}

fn config_copy(view: &FleetView) -> Option<ConfigCopy> {
    let document = view.config.as_ref()?;
    Some(ConfigCopy { revision: view.revision, document: ConfigDocument::clone(document) })
}
