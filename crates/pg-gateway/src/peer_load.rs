//! What clients are told where no engine answers them.

use wheelfield::interface::Micros;
use wheelfield_driver::Answer;
use wheelfield_pg::backend_messages::Diagnostic;

/// Too many queries are held.
pub(crate) fn crowded() -> Diagnostic {
    Diagnostic::error("53300", "the controller holds as many queries as it may")
        .detail("retry_after_ms=1000")
        .hint("nothing of it ran; come back in a second")
}

/// A batch grew beyond what may be held.
pub(crate) fn too_long() -> Diagnostic {
    Diagnostic::error("54000", "a batch longer than a controller may hold").hint("send a Sync more often")
}

/// The client asked for it.
pub(crate) fn cancelled() -> Diagnostic {
    Diagnostic::error("57014", "canceling statement due to user request")
}

/// Milliseconds of an advice, rounded up.
pub(crate) fn advice_ms(after: Micros) -> i64 {
    (after.0 + 999) / 1000
}

/// A final answer of the driver.
pub(crate) fn of(answer: Answer) -> Diagnostic {
    match answer {
        Answer::Rejected { retry_after } => {
            let ms = advice_ms(retry_after);
            let trouble = Diagnostic::error("53300", "refused: the engines are full");
            if ms > 0 {
                let hint = format!("trying again is harmless; come back in {ms} ms");
                trouble.detail(format!("retry_after_ms={ms}")).hint(hint)
            } else {
                trouble.hint("trying again is harmless")
            }
        }
        Answer::Failed { may_have_run: true } => {
            Diagnostic::error("08007", "failed: it may have run").hint("check its effect before trying again")
        }
        Answer::Failed { may_have_run: false } => {
            Diagnostic::error("58000", "failed: no engine could be reached in time")
        }
        Answer::Interrupted => {
            wheelfield_pg::backend::interrupted_response("rows that came before are not the whole answer")
        }
    }
}
