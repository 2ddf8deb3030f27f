//! Acceptance of changes against a store that loses, delays and refuses writes.

use change::{ChangeOutcome, accept_change};
use command::{BatchKind, ChangeBatch, parse_batch};
use model::{
    ChangeId, ConfigDocument, IncarnationId, InstanceName, InstanceRecord, Millis, StoreRevision,
};
use smol_str::SmolStr;
use std::collections::VecDeque;
use std::sync::Mutex;
use std::time::Duration;
use store::StoredValue;
use store::store::{InstanceList, LeaseId, PlatformStore, StoreError, StoreFuture, StoreKey};
use testkit::cases;
use tokio::time::Instant;

/// Fault of one write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum WriteFault {
    /// The write is applied and answered.
    None,
    /// The write is applied, but its reply is lost.
    ReplyLost,
    /// The write never reaches the store; the client sees only a missing reply.
    RequestLost,
    /// The reply is missing, and the write is applied just before the next one.
    Late,
    /// The reply is missing, and the write arrives just after the next one, which makes it
    /// conflict.
    LateAfterNext,
    /// Another operator's change is applied just before the write.
    Competitor,
    /// The store refuses the write.
    Refused,
}

#[derive(Default)]
struct FakeState {
    stored: Option<StoredValue>,
    faults: VecDeque<WriteFault>,
    late: Option<(StoreRevision, SmolStr)>,
    late_after: Option<(StoreRevision, SmolStr)>,
    writes: u32,
}

impl FakeState {
    fn revision(&self) -> StoreRevision {
        self.stored.as_ref().map(|stored| stored.revision).unwrap_or_default()
    }

    fn write(
        &mut self,
        expected: StoreRevision,
        value: SmolStr,
    ) -> Result<StoreRevision, StoreError> {
        let found = self.revision();
        if found != expected {
            return Err(StoreError::Conflict(found));
        }
        let revision = StoreRevision(found.0 + 1);
        self.stored = Some(StoredValue { revision, value });
        Ok(revision)
    }

    fn swap(
        &mut self,
        expected: StoreRevision,
        value: SmolStr,
    ) -> Result<StoreRevision, StoreError> {
        self.writes += 1;
        if let Some((expected, value)) = self.late.take() {
            let _ = self.write(expected, value);
        }
        let unknown = Err(StoreError::MayBeApplied("no reply".into()));
        let result = match self.faults.pop_front().unwrap_or(WriteFault::None) {
            WriteFault::None => self.write(expected, value),
            WriteFault::ReplyLost => self.write(expected, value).and(unknown),
            WriteFault::RequestLost => unknown,
            WriteFault::Late => {
                self.late = Some((expected, value));
                unknown
            }
            WriteFault::LateAfterNext => {
                self.late_after = Some((expected, value));
                return unknown;
            }
            WriteFault::Competitor => {
                let competing = competing_document(self.stored.as_ref());
                let _ = self.write(self.revision(), competing);
                self.write(expected, value)
            }
            WriteFault::Refused => Err(StoreError::NotApplied("down".into())),
        };
        if let Some((expected, value)) = self.late_after.take() {
            let _ = self.write(expected, value);
        }
        result
    }
}

fn competing_document(stored: Option<&StoredValue>) -> SmolStr {
    let mut document: ConfigDocument =
        stored.map(|stored| serde_json::from_str(&stored.value).unwrap()).unwrap_or_default();
    document.record_change(format!("rival-{}", document.version.0).parse().unwrap());
    serde_json::to_string(&document).unwrap().into()
}

/// A store in memory whose writes have the given faults in order.
struct FakeStore(Mutex<FakeState>);

impl PlatformStore for FakeStore {
    fn read<'a>(&'a self, _: &'a StoreKey) -> StoreFuture<'a, Option<StoredValue>> {
        Box::pin(async { Ok(self.0.lock().unwrap().stored.clone()) })
    }

    fn swap<'a>(
        &'a self,
        _: &'a StoreKey,
        expected: StoreRevision,
        value: SmolStr,
    ) -> StoreFuture<'a, StoreRevision> {
        Box::pin(async move { self.0.lock().unwrap().swap(expected, value) })
    }

    fn watch<'a>(
        &'a self,
        _: &'a StoreKey,
        _: StoreRevision,
        _: Millis,
    ) -> StoreFuture<'a, Option<StoredValue>> {
        Box::pin(async { Ok(None) })
    }

    fn grant_lease<'a>(
        &'a self,
        _: &'a StoreKey,
        _: IncarnationId,
        _: Millis,
    ) -> StoreFuture<'a, LeaseId> {
        Box::pin(async { Err(StoreError::LeaseLost) })
    }

    fn keep_lease<'a>(&'a self, _: &'a StoreKey, _: LeaseId, _: Millis) -> StoreFuture<'a, ()> {
        Box::pin(async { Err(StoreError::LeaseLost) })
    }

    fn list_instances(&self) -> StoreFuture<'_, InstanceList> {
        Box::pin(async { Ok(InstanceList::default()) })
    }

    fn announce<'a>(&'a self, _: &'a InstanceRecord, _: Millis) -> StoreFuture<'a, ()> {
        Box::pin(async { Ok(()) })
    }

    fn withdraw<'a>(&'a self, _: &'a InstanceName) -> StoreFuture<'a, ()> {
        Box::pin(async { Ok(()) })
    }
}

fn batch(text: &str) -> ChangeBatch {
    match parse_batch(text) {
        Ok(BatchKind::Changes(batch)) => batch,
        other => panic!("{other:?}"),
    }
}

#[derive(Debug, PartialEq, Eq)]
enum Reported {
    Accepted,
    NotAccepted,
    Undetermined,
}

/// Accepts a change under write faults and compares the reported outcome with the content of the
/// store after all late writes have been applied.
fn check_acceptance(faults: &[WriteFault], allowed: &[Reported]) {
    let state = FakeState { faults: faults.iter().copied().collect(), ..FakeState::default() };
    let store = FakeStore(Mutex::new(state));
    let id: ChangeId = "mine".parse().unwrap();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .unwrap();
    let change = batch("create service orders");
    let outcome = runtime.block_on(async {
        let deadline = Instant::now() + Duration::from_secs(5);
        accept_change(&store, &change, &id, |_| None, deadline).await
    });
    let reported = match outcome {
        ChangeOutcome::Accepted { .. } => Reported::Accepted,
        ChangeOutcome::NotAccepted(_) => Reported::NotAccepted,
        ChangeOutcome::Undetermined(_) => Reported::Undetermined,
    };
    assert!(allowed.contains(&reported), "{reported:?}");
    let mut state = store.0.into_inner().unwrap();
    for late in [state.late.take(), state.late_after.take()].into_iter().flatten() {
        let _ = state.write(late.0, late.1);
    }
    let stored = state.stored.map(|stored| serde_json::from_str(&stored.value).unwrap());
    let document: ConfigDocument = stored.unwrap_or_default();
    let times = document.changes.iter().filter(|change| change.id == id).count();
    match reported {
        Reported::Accepted => assert_eq!(times, 1),
        Reported::NotAccepted => assert_eq!(times, 0),
        Reported::Undetermined => assert!(times <= 1),
    }
}

use WriteFault as F;

cases! { check_acceptance {
    answered: (&[F::None], &[Reported::Accepted]);
    reply_lost: (&[F::ReplyLost], &[Reported::Accepted]);
    request_lost: (&[F::RequestLost], &[Reported::Accepted]);
    applied_late: (&[F::Late], &[Reported::Accepted]);
    applied_after_the_next_write: (&[F::LateAfterNext], &[Reported::Accepted]);
    competing_change_first: (&[F::Competitor], &[Reported::Accepted]);
    refused_once: (&[F::Refused], &[Reported::Accepted]);
    reply_lost_twice: (&[F::RequestLost, F::ReplyLost], &[Reported::Accepted]);
    late_twice: (&[F::Late, F::Late], &[Reported::Accepted]);
    late_then_competing_change: (&[F::Late, F::Competitor], &[Reported::Accepted]);
    late_then_lost_then_competing_change: (&[F::LateAfterNext, F::RequestLost, F::Competitor], &[Reported::Accepted]);
    never_answered: (&[F::RequestLost; 1000], &[Reported::Undetermined]);
    always_refused: (&[F::Refused; 1000], &[Reported::NotAccepted]);
    undetermined_then_refused: (&[[F::Late; 1].as_slice(), &[F::Refused; 500]].concat(), &[Reported::Undetermined, Reported::Accepted]);
} }

#[test]
fn repeated_change_with_same_id_is_written_once() {
    let store = FakeStore(Mutex::default());
    let id: ChangeId = "mine".parse().unwrap();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap();
    let change = batch("create service orders");
    for _ in 0..2 {
        let outcome = runtime.block_on(async {
            let deadline = Instant::now() + Duration::from_secs(5);
            accept_change(&store, &change, &id, |_| None, deadline).await
        });
        assert!(matches!(outcome, ChangeOutcome::Accepted { .. }), "{outcome:?}");
    }
    assert_eq!(store.0.into_inner().unwrap().writes, 1);
}

#[test]
fn all_sequences_of_four_write_faults_are_reported_correctly() {
    let all = [
        F::None,
        F::ReplyLost,
        F::RequestLost,
        F::Late,
        F::LateAfterNext,
        F::Competitor,
        F::Refused,
    ];
    let any = [Reported::Accepted, Reported::NotAccepted, Reported::Undetermined];
    let mut count = 0;
    for first in all {
        for second in all {
            for third in all {
                for fourth in all {
                    check_acceptance(&[first, second, third, fourth], &any);
                    count += 1;
                }
            }
        }
    }
    assert_eq!(count, 2_401);
}
