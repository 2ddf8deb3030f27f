//! The platform's key-value service and instance list, behind one trait.
//!
//! Calls are counted by the platform, a waiting watch as one. Errors tell apart a write that was
//! not applied from one that may have been.

pub mod http_store;
pub mod protocol;
pub mod replicated;
pub mod store;

pub use http_store::HttpStore;
pub use replicated::{ItemWrite, ReadFreshness, ReplicaStore, StoreCall, StoreItems, WatchReply};
pub use store::{LeaseId, PlatformStore, StoreError, StoreFuture, StoreKey, StoredValue};
