//! Messages between controllers, in bytes.

use wheelfield::interface::{EngineId, LoadReport, PeerLoadReport};

/// The figures that a message may carry of each engine, one byte each: a bit of its first byte, and the unit.
const FIELDS: [(u8, f64); 5] = [(1, 1.0 / 64.0), (2, 1.0), (4, 1.0), (8, 1.0 / 64.0), (16, 1.0 / 64.0)];
/// The longest message, in bytes, which is also what the price of a message is for.
pub const LONGEST_MESSAGE: usize = 256;

/// A message: what it carries, then for each engine three bytes of its number and its figures. All words of
/// one message carry the same figures; a word that does not is left out, as is what exceeds its length.
pub fn message(words: &[PeerLoadReport]) -> Vec<u8> {
    let figures = |w: &PeerLoadReport| {
        let r = &w.report;
        [r.utilisation, r.in_flight, r.queued, r.memory_granted, r.disk_utilisation]
    };
    let mask_of = |w: &PeerLoadReport| {
        let told = figures(w).into_iter().zip(FIELDS).filter(|(x, _)| x.is_some());
        told.fold(0, |mask, (_, (bit, _))| mask | bit)
    };
    let mask = words.first().map_or(0, mask_of);
    let mut bytes = vec![mask];
    for w in words.iter().filter(|w| mask_of(w) == mask) {
        bytes.extend(&w.engine.0.to_le_bytes()[..3]);
        let told = figures(w).into_iter().zip(FIELDS).filter_map(|(x, (_, unit))| Some((x? / unit).round()));
        bytes.extend(told.map(|x| x.clamp(0.0, 255.0) as u8));
    }
    bytes.truncate(LONGEST_MESSAGE);
    bytes
}

/// Reads a message. What is unreadable, or of an engine that is not among those `known`, is left out.
pub fn words<'a>(known: impl Iterator<Item = &'a EngineId> + Clone, bytes: &[u8]) -> Vec<PeerLoadReport> {
    let Some((mask, mut rest)) = bytes.split_first() else { return Vec::new() };
    let mut words = Vec::new();
    let length = 3 + FIELDS.iter().filter(|(bit, _)| mask & bit != 0).count();
    while rest.len() >= length {
        let (word, tail) = rest.split_at(length);
        rest = tail;
        let mut values = word[3..].iter();
        let mut field = |i: usize| {
            let (bit, unit) = FIELDS[i];
            (mask & bit != 0).then(|| values.next().map(|b| f64::from(*b) * unit)).flatten()
        };
        let report = LoadReport {
            utilisation: field(0),
            in_flight: field(1),
            queued: field(2),
            memory_granted: field(3),
            disk_utilisation: field(4),
        };
        let named = known.clone().find(|e| e.0.to_le_bytes()[..3] == word[..3]);
        words.extend(named.map(|&engine| PeerLoadReport { engine, report }));
    }
    words
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_message_is_read_as_it_was_told_and_unknown_engines_are_left_out() {
        let word = |n: u64, u: f64| PeerLoadReport {
            engine: EngineId(n),
            report: LoadReport { utilisation: Some(u), ..LoadReport::default() },
        };
        let bytes = message(&[word(7, 0.5), word(9, 1.25)]);
        assert_eq!(bytes.len(), 9);
        assert_eq!(words([EngineId(7), EngineId(8)].iter(), &bytes), [word(7, 0.5)]);
        assert!(words([EngineId(7)].iter(), &bytes[..3]).is_empty());
        assert!(message(&vec![word(7, 0.5); 300]).len() <= LONGEST_MESSAGE);
    }
}
