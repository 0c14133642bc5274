//! Random scenarios: sequences of events outside the controller.

use proptest::prelude::*;

/// How an executor responds to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExecutorReply {
    /// A result.
    Served,
    /// A result, after which the executor closes the connection.
    ServedThenClosed,
    /// A rejection, because the executor is full.
    Rejected,
    /// An error of the request.
    Failed,
    /// A rejection, because the time limit of the request has passed.
    TooLate,
    /// A result that is sent twice.
    ServedTwice,
    /// A progress report; the request is still running.
    Progress,
    /// An invalid response, although the request has run.
    Invalid,
}

/// The replies to choose from; plain success is twice as likely as any other.
const REPLIES: [ExecutorReply; 9] = [
    ExecutorReply::Served,
    ExecutorReply::Served,
    ExecutorReply::ServedThenClosed,
    ExecutorReply::Rejected,
    ExecutorReply::Failed,
    ExecutorReply::TooLate,
    ExecutorReply::ServedTwice,
    ExecutorReply::Progress,
    ExecutorReply::Invalid,
];

/// How the name service lists an executor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListedStatus {
    Up,
    Draining,
    Removed,
}

/// The statuses to choose from.
const STATUSES: [ListedStatus; 3] = [
    ListedStatus::Up,
    ListedStatus::Draining,
    ListedStatus::Removed,
];

/// How a client disconnects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disconnect {
    Close,
    Reset,
}

/// An event outside the controller. A field `index` selects, modulo their number, one of the objects that exist at that time.
#[derive(Clone, Debug)]
pub enum Step {
    /// A new client sends a query.
    SendQuery { class: usize, timeout_ms: i64 },
    /// A new client repeats an at-most-once query that was served, with the same id.
    RepeatServedQuery { index: usize },
    /// A client that waits for its response disconnects.
    DisconnectClient { index: usize, how: Disconnect },
    /// A connect to an executor completes.
    CompleteConnect { index: usize },
    /// A connect to an executor is refused.
    RefuseConnect { index: usize },
    /// An executor responds.
    Respond { index: usize, reply: ExecutorReply },
    /// A connection to an executor is reset.
    ResetConnection { index: usize },
    /// The name service publishes the status of an executor, by its number.
    PublishStatus { executor: u8, status: ListedStatus },
}

fn step() -> impl Strategy<Value = Step> {
    let index = any::<usize>;
    let timeout_ms = prop::sample::select(vec![150i64, 900, 4_000, 20_000]);
    let how = any::<bool>().prop_map(|resets| {
        if resets {
            Disconnect::Reset
        } else {
            Disconnect::Close
        }
    });
    let reply = (0u8..9).prop_map(|n| REPLIES[usize::from(n)]);
    let status = (0u8..3).prop_map(|n| STATUSES[usize::from(n)]);
    prop_oneof![
        6 => (0usize..2, timeout_ms).prop_map(|(class, timeout_ms)| Step::SendQuery { class, timeout_ms }),
        1 => index().prop_map(|index| Step::RepeatServedQuery { index }),
        3 => (index(), how).prop_map(|(index, how)| Step::DisconnectClient { index, how }),
        6 => index().prop_map(|index| Step::CompleteConnect { index }),
        1 => index().prop_map(|index| Step::RefuseConnect { index }),
        8 => (index(), reply).prop_map(|(index, reply)| Step::Respond { index, reply }),
        2 => index().prop_map(|index| Step::ResetConnection { index }),
        2 => (1u8..4, status).prop_map(|(executor, status)| Step::PublishStatus { executor, status }),
    ]
}

/// The events of one turn of the event loop, and the time until the next turn.
#[derive(Clone, Debug)]
pub struct Turn {
    pub steps: Vec<Step>,
    pub pause_ms: i64,
}

/// A scenario of random turns.
pub fn scenario() -> impl Strategy<Value = Vec<Turn>> {
    let pause_ms = prop::sample::select(vec![0i64, 1, 20, 60, 300]);
    let turn = (prop::collection::vec(step(), 1..6), pause_ms)
        .prop_map(|(steps, pause_ms)| Turn { steps, pause_ms });
    prop::collection::vec(turn, 5..60)
}
