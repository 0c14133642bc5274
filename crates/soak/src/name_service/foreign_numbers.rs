//! Outdated lists under numbers of another series, such as that of an earlier start of a controller.

use super::List;
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;

/// By how much the number of an outdated list exceeds that of the list at the beginning. The right
/// numbers reach it while the fault lasts.
const NUMBER_OFFSET: u32 = 2;

/// An outdated list that replaces some of the answers.
#[derive(Debug)]
pub(super) struct ForeignNumbers {
    list: List,
    per_mille: u64,
    generator: Pcg64Mcg,
}

impl ForeignNumbers {
    /// Replaces this many in a thousand answers by the current list under another number.
    pub(super) fn new(current: List, per_mille: u64, seed: u64) -> ForeignNumbers {
        let list = List {
            serial: current.serial + NUMBER_OFFSET,
            ..current
        };
        ForeignNumbers {
            list,
            per_mille,
            generator: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// The list of the next answer, if it is replaced.
    pub(super) fn next_list(&mut self) -> Option<List> {
        let is_replaced = self.generator.random_range(0..1_000) < self.per_mille;
        is_replaced.then(|| self.list.clone())
    }
}
