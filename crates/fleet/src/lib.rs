//! State of the fleet at one instance: a replica of the platform's store, which a few instances watch
//! and relay to the others; the live instances; and those of them that are homes, to which callers
//! are directed.
//!
//! The crate does no I/O and reads no clock: times, datagrams and replies of the store are arguments.

mod datagram;
mod home;
mod member;
mod panic_record;
mod pause;
mod pull;
mod record;
mod registrar;
mod relay;
mod replica;
mod reply_codec;
mod store_contact;
mod watch;

pub use datagram::{
    ChangeBatch, DATAGRAM_MAX_BYTES, HeardHeartbeat, HeartbeatMessage, LimitMessage, LimitRow,
    LoadRow, PeerDatagram, PullReply, QuotaMessage, QuotaRow, SplitBatch, WarmUpRow, homes_digest,
    server_tag, team_tag,
};
pub use home::HomePolicy;
pub use member::{FleetSurvey, MemberTable};
pub use panic_record::PanicRecord;
pub use pause::PauseDetector;
pub use pull::{ConfirmationPulls, FirstSnapshot, PullBackoff, SnapshotQuota};
pub use record::{MemberRecord, RecordDecoder, StoreRecord};
pub use registrar::{ANNOUNCE_INTERVAL, BATCH_RECORDS_MAX, LEASE_TTL, MemberRegistrar};
pub use relay::{ChangeOrigin, RelayView};
pub use replica::{ReplicaGap, StoreChange, StoreReplica, StoreSnapshot};
pub use reply_codec::{ReplyEncoding, ReplyError};
pub use store_contact::{CallFailure, ConfirmationRecord, StoreRetry};
pub use watch::{WatchDuty, WatchInputs, WatcherContact, watch_duty};
