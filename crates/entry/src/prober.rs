//! Probes the backend servers of each service whose first home is this instance, within the probe
//! budget of the service.

use crate::service::ServiceRuntime;
use crate::traffic::TrafficState;
use bytes::Bytes;
use control::FleetView;
use dispatch::ProbePacer;
use dispatch::probe::PROBE_LEASE_TTL;
use http::{Request, header};
use http_body_util::Full;
use link::ConnectionChoice;
use model::{BackendServer, Leaving, Millis, MonoTime, ServerName, ServiceConfig, ServiceName};
use smol_str::{ToSmolStr, format_smolstr};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use store::{LeaseId, PlatformStore, StoreError, StoreKey};
use timeline::EventKind;

/// Path at which a backend server reports its load.
const PROBE_PATH: &str = "/load";
/// Interval at which the prober checks for due probes.
const PROBE_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Time after which a probe counts as unanswered.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay after the platform refused a lease or did not reply; a quarter of it after a failed renewal
/// of a lease that is still held.
const LEASE_RETRY_DELAY: Duration = Duration::from_millis(1_000);

/// Probing state of one service.
#[derive(Default)]
struct ServiceProber {
    pacer: ProbePacer,
    lease: Option<LeaseId>,
    next_lease_call: MonoTime,
}

/// Probes until the process stops.
pub async fn run_prober(traffic: Arc<TrafficState>, store: Arc<dyn PlatformStore>) {
    let mut probers: HashMap<ServiceName, ServiceProber> = HashMap::new();
    let mut ticks = tokio::time::interval(PROBE_CHECK_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let view = traffic.view.load_full();
        let Some(config) = &view.config else {
            continue;
        };
        probers.retain(|service, _| is_prober(&view, service));
        for (service, settings) in &config.services {
            if !is_prober(&view, service) || settings.probe_rate.0 <= 0.0 {
                continue;
            }
            let prober = probers.entry(service.clone()).or_default();
            prober.maintain_lease(&traffic, store.as_ref(), service).await;
            prober.probe_next(&traffic, &view, service, settings).await;
        }
    }
}

/// Whether this instance probes the servers of a service, which only its first home does.
fn is_prober(view: &FleetView, service: &ServiceName) -> bool {
    view.home_rank(service).is_some_and(|(rank, _)| rank == 0)
}

impl ServiceProber {
    async fn maintain_lease(
        &mut self,
        traffic: &TrafficState,
        store: &dyn PlatformStore,
        service: &ServiceName,
    ) {
        let called_at = traffic.clock.now();
        if called_at < self.next_lease_call {
            return;
        }
        let key = StoreKey(format_smolstr!("probe/{service}"));
        let ttl = Millis::from(PROBE_LEASE_TTL);
        match self.lease {
            Some(lease) if self.pacer.is_renewal_due(called_at) => {
                match store.keep_lease(&key, lease, ttl).await {
                    Ok(()) => self.pacer.renew(called_at),
                    Err(StoreError::LeaseLost) => self.drop_lease(),
                    // The platform may still hold the lease; the pacer ends it by its own clock.
                    Err(_) if self.pacer.is_held(traffic.clock.now()) => {
                        self.next_lease_call = traffic.clock.now().plus(LEASE_RETRY_DELAY / 4);
                    }
                    Err(_) => self.drop_lease(),
                }
            }
            Some(_) => {}
            None => match store.grant_lease(&key, traffic.incarnation, ttl).await {
                Ok(lease) => {
                    self.lease = Some(lease);
                    self.pacer.grant(called_at);
                }
                Err(_) => self.next_lease_call = traffic.clock.now().plus(LEASE_RETRY_DELAY),
            },
        }
    }

    fn drop_lease(&mut self) {
        self.lease = None;
        self.pacer.lose();
    }

    async fn probe_next(
        &mut self,
        traffic: &TrafficState,
        view: &FleetView,
        service: &ServiceName,
        settings: &ServiceConfig,
    ) {
        let Some(runtime) = traffic.service(service) else {
            return;
        };
        let is_eligible = |name: &ServerName, server: &BackendServer| {
            let leaving = Leaving {
                service: service.clone(),
                server: name.clone(),
                incarnation: server.incarnation,
            };
            !server.draining && !view.is_leaving(&leaving)
        };
        let servers: Vec<ServerName> = settings
            .servers
            .iter()
            .filter(|(name, server)| is_eligible(name, server))
            .map(|(name, _)| name.clone())
            .collect();
        let now = traffic.clock.now();
        let Some(name) = self.pacer.take(now, settings.probe_rate, &servers) else {
            return;
        };
        let Some(server) = settings.servers.get(&name) else {
            return;
        };
        // The steps above may have taken a while, and the lease must be valid when the probe is
        // sent.
        if !self.pacer.may_send(traffic.clock.now()) {
            return;
        }
        traffic.metrics.probes.inc();
        traffic.ring.record(EventKind::Probed { service: service.clone(), server: name.clone() });
        probe(traffic, &runtime, &name, server).await;
    }
}

async fn probe(
    traffic: &TrafficState,
    runtime: &ServiceRuntime,
    name: &ServerName,
    server: &BackendServer,
) {
    let request = Request::get(PROBE_PATH)
        .header(header::HOST, server.address.to_smolstr().as_str())
        .body(Full::<Bytes>::default());
    let Ok(request) = request else {
        return;
    };
    let deadline = traffic.clock.instant_of(traffic.clock.now().plus(PROBE_TIMEOUT));
    let exchange =
        traffic.pool.exchange(server.address, request, ConnectionChoice::Pooled, deadline);
    runtime.record_probe(name, server.incarnation, exchange.await.is_ok());
}
