//! What every instance knows of the fleet: a replica of the platform's store that is kept up to date
//! by few watchers and passed on between instances, the live instances, and which of them are the
//! homes that callers are sent to.
//!
//! Pure: time comes in as a value, datagrams and store answers as data.

mod datagram;
mod home;
mod member;
mod record;
mod registrar;
mod relay;
mod replica;
mod watch;

pub use datagram::{
    ChangeBatch, DATAGRAM_MAX_BYTES, HeartbeatMessage, LoadRow, PeerDatagram, PullReply, server_tag,
};
pub use home::{HomePolicy, choose_health_checkers, choose_homes, rank_members};
pub use member::{MemberTable, MemberView};
pub use record::{MemberRecord, RecordDecoder, StoreRecord};
pub use registrar::{ANNOUNCE_INTERVAL, BATCH_RECORDS_MAX, LEASE_TTL, MemberRegistrar};
pub use relay::{ChangeOrigin, RelayView};
pub use replica::{ReplicaGap, StoreChange, StoreReplica};
pub use watch::{WatchDuty, WatchInputs, watch_duty};
