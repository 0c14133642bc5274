//! A small deterministic random number generator (splitmix64). The model checker hashes it with the whole node.

/// State of the generator.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct SplitMix64 {
    state: u64,
}

impl SplitMix64 {
    /// A generator; the same seed gives the same numbers.
    pub(crate) fn new(seed: u64) -> SplitMix64 {
        SplitMix64 { state: seed }
    }

    /// A number below `bound`; zero if `bound` is zero.
    pub(crate) fn below(&mut self, bound: u64) -> u64 {
        self.state = self.state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = mix(self.state);
        (mixed ^ (mixed >> 31)) % bound.max(1)
    }

    /// Up to `count` distinct items in random order.
    pub(crate) fn sample<T>(&mut self, mut items: Vec<T>, count: usize) -> Vec<T> {
        let mut sampled = Vec::new();
        while sampled.len() < count && !items.is_empty() {
            let index = self.below(items.len() as u64) as usize;
            sampled.push(items.swap_remove(index));
        }
        sampled
    }

    /// Shuffles in place (Fisher-Yates).
    pub(crate) fn shuffle<T>(&mut self, items: &mut [T]) {
        for i in (1..items.len()).rev() {
            let j = self.below(i as u64 + 1) as usize;
            items.swap(i, j);
        }
    }
}

/// The two multiplication rounds of splitmix64.
pub(crate) fn mix(z: u64) -> u64 {
    let z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb)
}
