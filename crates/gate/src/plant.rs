//! Faults planted for the laboratory's judge to find. Without the feature `planted` there are none.

/// A fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Plant {
    /// Once-only queries are sent to a second engine too.
    Resend,
    /// Some answers never go out.
    Lose,
    /// Queries are sent to engines that drain.
    Drained,
    /// Queries are sent far more often than the budget allows.
    Budget,
    /// The text of another client's query is sent in place of one's own.
    Swap,
}

impl Plant {
    /// The fault of a name.
    ///
    /// # Errors
    /// What is known, if the name is not; or that the build has none.
    pub fn parse(name: &str) -> Result<Plant, String> {
        if !cfg!(feature = "planted") {
            return Err("this build has no planted faults; build with --features planted".to_string());
        }
        Ok(match name {
            "resend" => Plant::Resend,
            "lose" => Plant::Lose,
            "drained" => Plant::Drained,
            "budget" => Plant::Budget,
            "swap" => Plant::Swap,
            other => {
                return Err(format!(
                    "no fault is named `{other}`; known: resend, lose, drained, budget, swap"
                ))
            }
        })
    }
}
