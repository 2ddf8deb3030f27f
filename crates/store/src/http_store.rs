//! [`PlatformStore`] over the platform's HTTP/JSON protocol.

use crate::protocol::{
    ANNOUNCE_PATH, AnnounceBody, ConflictBody, GRANT_PATH, GrantBody, INSTANCES_PATH, KEEP_PATH,
    KeepBody, READ_PATH, ReadBody, SWAP_PATH, SwapBody, WATCH_PATH, WITHDRAW_PATH, WatchBody,
};
use crate::store::{
    InstanceList, LeaseId, PlatformStore, StoreError, StoreFuture, StoreKey, StoredValue,
};
use bytes::Bytes;
use http::{Request, StatusCode, header};
use http_body_util::Full;
use link::{ConnectionChoice, LinkError, LinkPool, LinkPoolBuilder, SendState};
use model::{IncarnationId, InstanceName, InstanceRecord, Millis, StoreRevision};
use serde::Serialize;
use serde::de::DeserializeOwned;
use smol_str::{SmolStr, ToSmolStr, format_smolstr};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Time that a watch may take in addition to its wait at the platform before it times out.
const WATCH_MARGIN: Duration = Duration::from_millis(500);

/// Client of the platform at one address.
pub struct HttpStore {
    address: SocketAddr,
    pool: LinkPool,
    call_timeout: Duration,
}

impl HttpStore {
    /// Creates a client of the platform at `address`. Each call but a watch fails after
    /// `call_timeout`.
    pub fn new(address: SocketAddr, call_timeout: Duration) -> Self {
        let pool = LinkPoolBuilder::default().connect_timeout(call_timeout).build();
        Self { address, pool, call_timeout }
    }

    async fn post<B: Serialize, R: DeserializeOwned>(
        &self,
        path: &str,
        body: &B,
        timeout: Duration,
    ) -> Result<R, StoreError> {
        let body =
            serde_json::to_vec(body).map_err(|cause| StoreError::NotApplied(cause.to_smolstr()))?;
        let request = Request::post(path)
            .header(header::HOST, "platform")
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)))
            .map_err(|cause| StoreError::NotApplied(cause.to_smolstr()))?;
        self.send(request, timeout).await
    }

    async fn send<R: DeserializeOwned>(
        &self,
        request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<R, StoreError> {
        let deadline = Instant::now() + timeout;
        let exchange =
            self.pool.exchange(self.address, request, ConnectionChoice::Pooled, deadline);
        let response = exchange.await.map_err(|cause| store_error(&cause))?;
        match response.status() {
            StatusCode::OK => serde_json::from_slice(response.body())
                .map_err(|cause| StoreError::MayBeApplied(cause.to_smolstr())),
            StatusCode::CONFLICT => match serde_json::from_slice::<ConflictBody>(response.body()) {
                Ok(body) => Err(StoreError::Conflict(body.revision)),
                Err(cause) => Err(StoreError::MayBeApplied(cause.to_smolstr())),
            },
            StatusCode::GONE => Err(StoreError::LeaseLost),
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
                Err(StoreError::NotApplied(format_smolstr!(
                    "platform responded with status {}",
                    response.status()
                )))
            }
            status => Err(StoreError::MayBeApplied(format_smolstr!(
                "platform responded with status {status}"
            ))),
        }
    }
}

fn store_error(cause: &LinkError) -> StoreError {
    match cause.send_state() {
        SendState::NotSent => StoreError::NotApplied(cause.to_smolstr()),
        SendState::MaybeSent => StoreError::MayBeApplied(cause.to_smolstr()),
    }
}

impl PlatformStore for HttpStore {
    fn read<'a>(&'a self, key: &'a StoreKey) -> StoreFuture<'a, Option<StoredValue>> {
        Box::pin(async move {
            self.post(READ_PATH, &ReadBody { key: key.clone() }, self.call_timeout).await
        })
    }

    fn swap<'a>(
        &'a self,
        key: &'a StoreKey,
        expected: StoreRevision,
        value: SmolStr,
    ) -> StoreFuture<'a, StoreRevision> {
        Box::pin(async move {
            let body = SwapBody { key: key.clone(), expected, value };
            self.post(SWAP_PATH, &body, self.call_timeout).await
        })
    }

    fn watch<'a>(
        &'a self,
        key: &'a StoreKey,
        after: StoreRevision,
        wait: Millis,
    ) -> StoreFuture<'a, Option<StoredValue>> {
        Box::pin(async move {
            let body = WatchBody { key: key.clone(), after, wait };
            self.post(WATCH_PATH, &body, wait.duration() + WATCH_MARGIN).await
        })
    }

    fn grant_lease<'a>(
        &'a self,
        key: &'a StoreKey,
        holder: IncarnationId,
        ttl: Millis,
    ) -> StoreFuture<'a, LeaseId> {
        Box::pin(async move {
            let body = GrantBody { key: key.clone(), holder, ttl };
            self.post(GRANT_PATH, &body, self.call_timeout).await
        })
    }

    fn keep_lease<'a>(
        &'a self,
        key: &'a StoreKey,
        lease: LeaseId,
        ttl: Millis,
    ) -> StoreFuture<'a, ()> {
        Box::pin(async move {
            let body = KeepBody { key: key.clone(), lease, ttl };
            self.post(KEEP_PATH, &body, self.call_timeout).await
        })
    }

    fn list_instances(&self) -> StoreFuture<'_, InstanceList> {
        Box::pin(async move {
            let request = Request::get(INSTANCES_PATH)
                .header(header::HOST, "platform")
                .body(Full::default())
                .map_err(|cause| StoreError::NotApplied(cause.to_smolstr()))?;
            self.send(request, self.call_timeout).await
        })
    }

    fn announce<'a>(&'a self, record: &'a InstanceRecord, ttl: Millis) -> StoreFuture<'a, ()> {
        Box::pin(async move {
            let body = AnnounceBody { record: record.clone(), ttl };
            self.post(ANNOUNCE_PATH, &body, self.call_timeout).await
        })
    }

    fn withdraw<'a>(&'a self, name: &'a InstanceName) -> StoreFuture<'a, ()> {
        Box::pin(async move { self.post(WITHDRAW_PATH, name, self.call_timeout).await })
    }
}
