//! Typed sizes, rates and counters.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::num::{ParseFloatError, ParseIntError};
use std::str::FromStr;
use std::time::Duration;

macro_rules! whole_quantity {
    ($(#[$doc:meta])* $name:ident, $inner:ty) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $name {
            type Err = ParseIntError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                text.parse().map(Self)
            }
        }
    };
}

whole_quantity!(
    /// Version of the configuration document; it never decreases.
    ConfigVersion, u64
);
whole_quantity!(
    /// Counts how often the platform's store came back from an older copy of itself.
    StoreEra, u32
);
whole_quantity!(
    /// Number of requests that a backend server processes at once.
    SlotCount, u32
);
whole_quantity!(
    /// Number of connections that a backend server accepts.
    ConnectionCount, u32
);
whole_quantity!(
    /// Number of home instances of a service.
    HomeCount, u32
);
whole_quantity!(
    /// A size in bytes.
    ByteCount, u64
);
whole_quantity!(
    /// Number of requests above this one in a chain of requests between services.
    CallDepth, u32
);
whole_quantity!(
    /// A duration in milliseconds.
    Millis, u64
);

impl Millis {
    /// Returns the duration as the standard type.
    pub fn duration(self) -> Duration {
        Duration::from_millis(self.0)
    }
}

impl From<Duration> for Millis {
    fn from(duration: Duration) -> Self {
        Self(u64::try_from(duration.as_millis()).unwrap_or(u64::MAX))
    }
}

/// Bits of a [`StoreRevision`] below those of its era.
const REVISION_BITS: u32 = 44;

/// Revision of a value in the platform's store. After the store came back from an older copy it gives out
/// revisions again, so a revision includes the era of the store: later eras compare as greater.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct StoreRevision(pub u64);

impl StoreRevision {
    /// Returns the revision that the store calls `number` in an era.
    pub fn in_era(era: StoreEra, number: u64) -> Self {
        let number = number.min((1 << REVISION_BITS) - 1);
        Self((u64::from(era.0) << REVISION_BITS) | number)
    }

    /// Returns the era of the store.
    pub fn era(self) -> StoreEra {
        StoreEra(u32::try_from(self.0 >> REVISION_BITS).unwrap_or(u32::MAX))
    }

    /// Returns the number that the store gave the revision.
    pub fn number(self) -> u64 {
        self.0 & ((1 << REVISION_BITS) - 1)
    }
}

impl fmt::Display for StoreRevision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.era() {
            StoreEra(0) => self.number().fmt(f),
            era => write!(f, "{era}.{}", self.number()),
        }
    }
}

impl FromStr for StoreRevision {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (era, number) = text.split_once('.').unwrap_or(("0", text));
        Ok(Self::in_era(era.parse()?, number.parse()?))
    }
}

/// Identifies one run of a process. Every start gets a different id; later starts of the same
/// instance get greater ones.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct IncarnationId(pub u64);

impl fmt::Display for IncarnationId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for IncarnationId {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16).map(Self)
    }
}

macro_rules! rate_quantity {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, PartialOrd, Default, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub f64);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $name {
            type Err = ParseFloatError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                text.parse().map(Self)
            }
        }
    };
}

rate_quantity!(
    /// Probes in a second for each backend server, over all instances together.
    ProbeRate
);
rate_quantity!(
    /// Requests in a second, over all instances together.
    RequestRate
);

impl RequestRate {
    /// Whether the rate is a finite number and not negative.
    pub fn is_valid(self) -> bool {
        self.0.is_finite() && self.0 >= 0.0
    }
}
