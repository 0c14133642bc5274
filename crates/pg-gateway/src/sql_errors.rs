//! The SQL errors that the gateway itself sends to clients.

use wheelfield::interface::Micros;
use wheelfield_driver::Answer;
use wheelfield_pg::backend_messages::Diagnostic;

/// The limit of queries in flight is reached.
pub(crate) fn too_many_queries() -> Diagnostic {
    Diagnostic::error("53300", "the controller holds as many queries as it may")
        .detail("retry_after_ms=1000")
        .hint("nothing of it ran; come back in a second")
}

/// An open batch exceeds the limit.
pub(crate) fn batch_too_long() -> Diagnostic {
    Diagnostic::error("54000", "a batch longer than a controller may hold").hint("send a Sync more often")
}

/// The client cancelled the query.
pub(crate) fn cancelled() -> Diagnostic {
    Diagnostic::error("57014", "canceling statement due to user request")
}

/// A retry delay in milliseconds, rounded up.
pub(crate) fn retry_after_ms(delay: Micros) -> i64 {
    (delay.0 + 999) / 1000
}

/// The error for a final answer of the driver.
pub(crate) fn for_answer(answer: Answer) -> Diagnostic {
    match answer {
        Answer::Rejected { retry_after } => {
            let delay_ms = retry_after_ms(retry_after);
            let error = Diagnostic::error("53300", "refused: the engines are full");
            if delay_ms > 0 {
                let hint = format!("trying again is harmless; come back in {delay_ms} ms");
                error.detail(format!("retry_after_ms={delay_ms}")).hint(hint)
            } else {
                error.hint("trying again is harmless")
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
