//! The state of a gateway: plain records without decisions or tuning parameters.
//!
//! Captures store these records in a positional format, so fields may be renamed but never reordered.

mod engine;
mod gateway;
mod query;
mod review;

pub use engine::{Engine, Reservation, Slowdown, WorkLimit};
pub use gateway::{
    AdmissionRates, Completions, EndpointListState, FleetConditions, FleetLoad, HeldQueries, QueryErrors,
    RetryWindow, SelectionRate,
};
pub use query::{ActiveQuery, Attempt, ClassEstimates, KeyQueue};
pub use review::{AttemptVerdict, CancelReason, EngineReview, SlowStartBudget};

/// Serializes a random number generator by its current seed, so that it continues with the same sequence.
pub mod rng {
    use serde::{Deserialize, Deserializer, Serialize, Serializer};

    pub fn serialize<S: Serializer>(rng: &fastrand::Rng, serializer: S) -> Result<S::Ok, S::Error> {
        rng.get_seed().serialize(serializer)
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<fastrand::Rng, D::Error> {
        u64::deserialize(deserializer).map(fastrand::Rng::with_seed)
    }
}
