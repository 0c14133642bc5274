//! What a gateway remembers: plain records, without decisions or tuned values.
//!
//! Captures hold these records in a positional format: fields may be renamed and grouped, but never reordered.

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

/// The random number generator, serialized by its seed: it goes on from there as it would have.
pub mod rng {
    use serde::{Deserialize, Deserializer, Serialize, Serializer};

    pub fn serialize<S: Serializer>(rng: &fastrand::Rng, serializer: S) -> Result<S::Ok, S::Error> {
        rng.get_seed().serialize(serializer)
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<fastrand::Rng, D::Error> {
        u64::deserialize(deserializer).map(fastrand::Rng::with_seed)
    }
}
