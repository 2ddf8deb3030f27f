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
    /// Version of the configuration document; it only grows.
    ConfigVersion, u64
);
whole_quantity!(
    /// Revision of a value in the platform's store.
    StoreRevision, u64
);
whole_quantity!(
    /// How many requests a backend server works on at once.
    SlotCount, u32
);
whole_quantity!(
    /// How many connections a backend server accepts.
    ConnectionCount, u32
);
whole_quantity!(
    /// How many home instances a service has.
    HomeCount, u32
);
whole_quantity!(
    /// A size in bytes.
    ByteCount, u64
);
whole_quantity!(
    /// How many calls lie above this one in a chain of calls.
    CallDepth, u32
);
whole_quantity!(
    /// A span of time in milliseconds.
    Millis, u64
);

impl Millis {
    /// The same span as the standard type.
    pub fn duration(self) -> Duration {
        Duration::from_millis(self.0)
    }
}

impl From<Duration> for Millis {
    fn from(span: Duration) -> Self {
        Self(u64::try_from(span.as_millis()).unwrap_or(u64::MAX))
    }
}

/// Identifies one run of a process; a restarted process has another one, and a later run of the
/// same instance a greater one.
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

/// Probes per second for each backend server, counted over all instances together.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ProbeRate(pub f64);

impl fmt::Display for ProbeRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for ProbeRate {
    type Err = ParseFloatError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}
