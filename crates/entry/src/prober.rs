//! Probes the backend servers of the services whose first home is here, within the budget.

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

/// Path of the load report of a backend server.
const PROBE_PATH: &str = "/load";
/// Time between looks at the budgets.
const PROBE_TICK: Duration = Duration::from_millis(20);
/// How long a probe may take.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause after the platform refused or failed a lease.
const LEASE_PAUSE: Duration = Duration::from_millis(1_000);

/// The state of probing one service.
#[derive(Default)]
struct ServiceProber {
    pacer: ProbePacer,
    lease: Option<LeaseId>,
    ask_after: MonoTime,
}

/// Probes until the process stops.
pub async fn run_prober(traffic: Arc<TrafficState>, store: Arc<dyn PlatformStore>) {
    let mut probers: HashMap<ServiceName, ServiceProber> = HashMap::new();
    let mut ticks = tokio::time::interval(PROBE_TICK);
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
            prober.keep_lease(&traffic, store.as_ref(), service).await;
            prober.probe_next(&traffic, &view, service, settings).await;
        }
    }
}

/// The first home of a service probes for all.
fn is_prober(view: &FleetView, service: &ServiceName) -> bool {
    view.home_rank(service).is_some_and(|(rank, _)| rank == 0)
}

impl ServiceProber {
    async fn keep_lease(
        &mut self,
        traffic: &TrafficState,
        store: &dyn PlatformStore,
        service: &ServiceName,
    ) {
        let asked = traffic.clock.now();
        if asked < self.ask_after {
            return;
        }
        let key = StoreKey(format_smolstr!("probe/{service}"));
        let ttl = Millis::from(PROBE_LEASE_TTL);
        match self.lease {
            Some(lease) if self.pacer.is_renewal_due(asked) => {
                match store.keep_lease(&key, lease, ttl).await {
                    Ok(()) => self.pacer.renew(asked),
                    Err(StoreError::LeaseLost) => self.lose(),
                    // The lease may still hold; the pacer's own clock ends it in time.
                    Err(_) if self.pacer.is_held(traffic.clock.now()) => {
                        self.ask_after = traffic.clock.now().plus(LEASE_PAUSE / 4);
                    }
                    Err(_) => self.lose(),
                }
            }
            Some(_) => {}
            None => match store.grant_lease(&key, traffic.incarnation, ttl).await {
                Ok(lease) => {
                    self.lease = Some(lease);
                    self.pacer.grant(asked);
                }
                Err(_) => self.ask_after = traffic.clock.now().plus(LEASE_PAUSE),
            },
        }
    }

    fn lose(&mut self) {
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
        let takes_work = |name: &ServerName, server: &BackendServer| {
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
            .filter(|(name, server)| takes_work(name, server))
            .map(|(name, _)| name.clone())
            .collect();
        let now = traffic.clock.now();
        let Some(name) = self.pacer.take(now, settings.probe_rate, &servers) else {
            return;
        };
        let Some(server) = settings.servers.get(&name) else {
            return;
        };
        // The look-up above may have taken a while; the lease counts at the moment of the send.
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
