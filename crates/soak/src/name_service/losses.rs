//! Which answers of a name service are lost, while some are.

use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;

/// Answers to a controller that are lost in a row, at most. One that asks eight times a second hears every second and a half at
/// least, in time to keep to the grace of a drain; one that asks four times a second does not.
pub(crate) const MAX_LOST_IN_A_ROW: u32 = 14;

/// Draws, by a seed, which answers are lost.
#[derive(Debug)]
pub(super) struct Losses {
    seed: u64,
    per_mille: u64,
    controllers: BTreeMap<usize, ControllerLosses>,
}

/// The answers to one controller.
#[derive(Debug)]
struct ControllerLosses {
    generator: Pcg64Mcg,
    lost_in_a_row: u32,
}

impl Losses {
    /// None are lost until a share is set.
    pub(super) fn new(seed: u64) -> Losses {
        Losses {
            seed,
            per_mille: 0,
            controllers: BTreeMap::new(),
        }
    }

    /// Has so many of a thousand answers be lost from now on.
    pub(super) fn set_share(&mut self, per_mille: u64) {
        self.per_mille = per_mille;
        self.controllers.clear();
    }

    /// Whether the next answer to a controller is lost.
    pub(super) fn is_next_lost(&mut self, controller: usize) -> bool {
        let seed = self.seed ^ controller as u64;
        let losses = self.controllers.entry(controller);
        let losses = losses.or_insert_with(|| ControllerLosses {
            generator: Pcg64Mcg::seed_from_u64(seed),
            lost_in_a_row: 0,
        });
        let is_drawn = losses.generator.random_range(0..1_000) < self.per_mille;
        let is_lost = is_drawn && losses.lost_in_a_row < MAX_LOST_IN_A_ROW;
        losses.lost_in_a_row = match is_lost {
            true => losses.lost_in_a_row + 1,
            false => 0,
        };
        is_lost
    }
}
