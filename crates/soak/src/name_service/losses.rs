//! Draws which answers of a name service are lost.

use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;

/// The number of consecutive answers to a controller that are lost at most. A controller that
/// queries eight times a second then gets an answer at least every 1.5 seconds, in time to observe
/// the grace period of a drain; one that queries four times a second does not.
pub(super) const MAX_CONSECUTIVE_LOSSES: u32 = 14;

/// Draws from a seed which answers are lost.
#[derive(Debug)]
pub(super) struct Losses {
    seed: u64,
    per_mille: u64,
    controllers: BTreeMap<usize, ControllerLosses>,
}

/// The losses of one controller.
#[derive(Debug)]
struct ControllerLosses {
    generator: Pcg64Mcg,
    consecutive_losses: u32,
}

impl Losses {
    /// Creates a state in which no answers are lost until a rate is set.
    pub(super) fn new(seed: u64) -> Losses {
        Losses {
            seed,
            per_mille: 0,
            controllers: BTreeMap::new(),
        }
    }

    /// Loses this many in a thousand answers from now on.
    pub(super) fn set_rate(&mut self, per_mille: u64) {
        self.per_mille = per_mille;
        self.controllers.clear();
    }

    /// Whether the next answer to a controller is lost.
    pub(super) fn is_next_lost(&mut self, controller: usize) -> bool {
        let seed = self.seed ^ controller as u64;
        let losses = self.controllers.entry(controller);
        let losses = losses.or_insert_with(|| ControllerLosses {
            generator: Pcg64Mcg::seed_from_u64(seed),
            consecutive_losses: 0,
        });
        let is_drawn = losses.generator.random_range(0..1_000) < self.per_mille;
        let is_lost = is_drawn && losses.consecutive_losses < MAX_CONSECUTIVE_LOSSES;
        losses.consecutive_losses = match is_lost {
            true => losses.consecutive_losses + 1,
            false => 0,
        };
        is_lost
    }
}
