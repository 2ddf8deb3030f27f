//! Interfaces to the platform's store: [`PlatformStore`] for single keys, leases and the list of
//! instances, and [`ReplicaStore`] for a store that is replicated as a whole.
//!
//! The platform counts calls; a watch counts as one call, however long it waits. Errors distinguish a
//! write that was not applied from one that may have been.

pub mod http_store;
pub mod protocol;
pub mod replicated;
pub mod store;

pub use http_store::HttpStore;
pub use replicated::{
    ItemWrite, ReadFreshness, ReplicaStore, StoreCall, StoreItems, StorePage, WatchReply, read_all,
};
pub use store::{LeaseId, PlatformStore, StoreError, StoreFuture, StoreKey, StoredValue};
