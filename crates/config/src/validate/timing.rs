//! `[timing]`: timeouts and the answer margin.

use super::source::{milliseconds, ConfigResult, Source};
use crate::model::Timing;
use crate::schema;
use crate::units::Time;
use toml::Spanned;
use wheelfield::interface::Micros;

pub(super) fn validate(source: &Source<'_>, timing: &schema::Timing) -> ConfigResult<Timing> {
    let time = |spanned: &Option<Spanned<Time>>, default_ms: i64, key: &str| {
        source.time_or(spanned.as_ref(), milliseconds(default_ms), key)
    };
    Ok(Timing {
        answer_margin: time(&timing.answer_margin, 50, "answer_margin")?,
        connect_timeout: time(&timing.connect, 500, "connect")?,
        startup_timeout: time(&timing.startup, 10_000, "startup")?,
        answer_stall_timeout: time(&timing.stall, 5_000, "stall")?,
        cancel_timeout: time(&timing.cancel, 250, "withdraw")?,
        session_idle_timeout: time(&timing.session_idle, 30_000, "session_idle")?,
        drain_timeout: time(&timing.drain, 30_000, "drain")?,
        probe_timeout: time(&timing.probe, 250, "probe")?,
    })
}

/// Checks that the deadline of each class is longer than the margin before it at which the final answer is sent.
pub(super) fn check_deadlines(
    source: &Source<'_>,
    classes: &[Spanned<schema::Class>],
    answer_margin: Micros,
) -> ConfigResult<()> {
    let is_within_margin =
        |class: &&Spanned<schema::Class>| class.get_ref().deadline.get_ref().0 <= answer_margin;
    if let Some(class) = classes.iter().find(is_within_margin) {
        let name = class.get_ref().name.get_ref();
        let problem = format!("`deadline` of class `{name}` is not longer than `answer_margin`");
        return Err(source.error(class, problem, "shorten `answer_margin` under [timing]"));
    }
    Ok(())
}
