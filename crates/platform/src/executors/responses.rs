//! Responses of executors.

use super::connection::{PartialResult, RunningAttempt};
use super::{AttemptEvent, EndedAttempt, Executors, MAX_INPUT_BYTES};
use crate::executor_protocol::{self, ProtocolError, RequestId, Response, ResponseKind};
use crate::result_pages::{self, MAX_PAGES, MAX_RESULT_BYTES};
use crate::timer_event::TimerEvent;
use bytes::Bytes;
use tracing::debug;
use wheelfield::interface::{AttemptUpdate, LoadReport, Outcome};
use wheelfield_sans_io::{ConnId, EffectQueue};
use wheelfield_settings::set_load_metric;

/// What a response means to the attempt it belongs to.
enum ResponseEffect {
    /// It does not fit the state of the attempt, and is dropped.
    Unmatched,
    /// The executor reported progress.
    Updated(AttemptUpdate),
    /// The first of so many pages: the others are to be fetched.
    FirstPage(usize),
    /// A further page, but not the last one that was missing.
    FurtherPage,
    /// The attempt has ended.
    Ended(EndedAttempt),
}

impl Executors {
    /// Handles the responses in the input of a connection, and the end of the input.
    pub fn handle_input(&mut self, id: ConnId, out: &mut EffectQueue<TimerEvent>) {
        loop {
            let Some(connection) = self.connections.get_mut(id) else {
                return;
            };
            let response = match executor_protocol::decode_response(&mut connection.buffer.input) {
                Ok(Some(response)) => response,
                Ok(None) => {
                    let is_partial = !connection.buffer.input.is_empty();
                    connection.partial_response_since =
                        is_partial.then(|| connection.partial_response_since.unwrap_or(out.now));
                    connection.buffer.resume_reading(id, MAX_INPUT_BYTES, out);
                    break;
                }
                Err(error) => return self.handle_protocol_error(id, error, out),
            };
            connection.partial_response_since = None;
            if let Err(error) = self.handle_response(id, response, out) {
                return self.handle_protocol_error(id, error, out);
            }
        }
        if self
            .connections
            .get(id)
            .is_some_and(|connection| connection.buffer.read_closed)
        {
            self.handle_broken(id, out);
        } else {
            self.close_if_retired(id, out);
        }
    }

    fn handle_protocol_error(
        &mut self,
        id: ConnId,
        error: ProtocolError,
        out: &mut EffectQueue<TimerEvent>,
    ) {
        debug!(%error, "invalid response; closing connection");
        self.counters.protocol_errors += 1;
        self.handle_broken(id, out);
    }

    fn handle_response(
        &mut self,
        id: ConnId,
        response: Response,
        out: &mut EffectQueue<TimerEvent>,
    ) -> Result<(), ProtocolError> {
        let Some(connection) = self.connections.get_mut(id) else {
            return Ok(());
        };
        let request = RequestId::parse(&response.id);
        let Some((request, running)) =
            request.and_then(|r| Some((r, connection.running.get_mut(&r)?)))
        else {
            self.counters.unmatched_responses += u64::from(response.kind != ResponseKind::Pong);
            return Ok(());
        };
        let kind = response.kind;
        match running.handle_response(response, out.now)? {
            ResponseEffect::Unmatched => self.counters.unmatched_responses += 1,
            ResponseEffect::Updated(update) => {
                self.events
                    .push_back(AttemptEvent::Updated(running.attempt.id, update));
            }
            ResponseEffect::FirstPage(pages) => {
                // All further pages are requested at once, so that their round trips do not add up.
                for page in 1..pages {
                    connection
                        .append(|output| executor_protocol::encode_fetch(request, page, output));
                }
                connection.buffer.flush(id, out);
            }
            ResponseEffect::FurtherPage => {}
            ResponseEffect::Ended(ended) => self.end_running(id, request, kind, ended, out),
        }
        Ok(())
    }

    /// Ends a running attempt after its last response, which was of this kind.
    fn end_running(
        &mut self,
        id: ConnId,
        request: RequestId,
        kind: ResponseKind,
        ended: EndedAttempt,
        out: &mut EffectQueue<TimerEvent>,
    ) {
        let Some(connection) = self.connections.get_mut(id) else {
            return;
        };
        let Some(running) = connection.running.remove(&request) else {
            return;
        };
        let is_served = ended.outcome == Outcome::Served;
        if is_served && running.result.is_some() {
            connection.append(|output| executor_protocol::encode_release(request, output));
            connection.buffer.flush(id, out);
        }
        if running.reuses_cancelled_id {
            // If this was the response to the cancelled attempt, the other one must not go on.
            connection.append(|output| executor_protocol::encode_cancel(request, output));
            connection.buffer.flush(id, out);
        }
        debug!(
            id = %request,
            attempt = %ended.attempt,
            executor = connection.engine.0,
            response = ?kind,
            "attempt ended"
        );
        // A duplicate of this response may follow, and must not be taken for that of another attempt under the same id.
        if !is_served {
            connection.cancelled.push(request);
        }
        connection.idle_since = out.now;
        self.locations.remove(&ended.attempt);
        self.events.push_back(AttemptEvent::Ended(Box::new(ended)));
    }
}

impl RunningAttempt {
    fn handle_response(
        &mut self,
        response: Response,
        now: i64,
    ) -> Result<ResponseEffect, ProtocolError> {
        let failed = |outcome, response: &Response| {
            let report = load_report(response);
            let ended = EndedAttempt {
                report,
                ..EndedAttempt::without_report(self.attempt.id, outcome)
            };
            Ok(ResponseEffect::Ended(ended))
        };
        match (response.kind, &mut self.result) {
            (ResponseKind::Info, None) => Ok(ResponseEffect::Updated(attempt_update(&response))),
            (ResponseKind::Hit, None) => self.handle_first_page(response, now),
            (ResponseKind::Part, Some(_)) => self.handle_further_page(response, now),
            // Also after a result: the executor no longer has its pages.
            (ResponseKind::Fault, _) => failed(Outcome::Error, &response),
            (ResponseKind::Shed, None) => failed(Outcome::Full, &response),
            (ResponseKind::Late, None) => failed(Outcome::NeverSent, &response),
            _ => Ok(ResponseEffect::Unmatched),
        }
    }

    fn handle_first_page(
        &mut self,
        response: Response,
        now: i64,
    ) -> Result<ResponseEffect, ProtocolError> {
        let pages = response.number("pages").unwrap_or(1.0);
        if !(1.0..=MAX_PAGES as f64).contains(&pages)
            || !result_pages::is_valid_page(&response.body)
        {
            return Err(ProtocolError::InvalidLine);
        }
        let pages = pages as usize;
        let billed_work = response.number("cost").map(|ms| ms / 1e3);
        let report = load_report(&response);
        if pages == 1 {
            return Ok(ResponseEffect::Ended(self.served(
                billed_work,
                report,
                vec![response.body],
            )));
        }
        let mut result = PartialResult {
            billed_work,
            report,
            pages: vec![None; pages],
            missing: pages - 1,
            bytes: response.body.len(),
            last_page_at: now,
        };
        result.pages[0] = Some(response.body);
        self.result = Some(result);
        Ok(ResponseEffect::FirstPage(pages))
    }

    fn handle_further_page(
        &mut self,
        response: Response,
        now: i64,
    ) -> Result<ResponseEffect, ProtocolError> {
        let Some(result) = &mut self.result else {
            return Ok(ResponseEffect::Unmatched);
        };
        let number = response.number("page").ok_or(ProtocolError::InvalidLine)?;
        let Some(page) = result
            .pages
            .get_mut(number as usize)
            .filter(|page| page.is_none())
        else {
            // A duplicate.
            return Ok(ResponseEffect::Unmatched);
        };
        result.bytes += response.body.len();
        if !result_pages::is_valid_page(&response.body) || result.bytes > MAX_RESULT_BYTES {
            return Err(ProtocolError::InvalidLine);
        }
        *page = Some(response.body);
        result.missing -= 1;
        result.last_page_at = now;
        if result.missing > 0 {
            return Ok(ResponseEffect::FurtherPage);
        }
        let pages = result.pages.iter_mut().filter_map(Option::take).collect();
        let (billed_work, report) = (result.billed_work, result.report);
        Ok(ResponseEffect::Ended(self.served(
            billed_work,
            report,
            pages,
        )))
    }

    fn served(
        &self,
        billed_work: Option<f64>,
        report: LoadReport,
        pages: Vec<Bytes>,
    ) -> EndedAttempt {
        EndedAttempt {
            attempt: self.attempt.id,
            outcome: Outcome::Served,
            billed_work,
            report,
            pages,
        }
    }
}

/// The progress that an `INFO` response reports.
fn attempt_update(response: &Response) -> AttemptUpdate {
    let value = response.number("v").unwrap_or(0.0);
    match response.text("tell") {
        Some("pct") => AttemptUpdate::Progress(value),
        Some("overflow") => AttemptUpdate::Spills(value),
        Some("queued") if value < 2.0 => AttemptUpdate::WaitsForMemory,
        Some("queued") => AttemptUpdate::WaitsForLoad,
        _ => AttemptUpdate::Other,
    }
}

/// The executor's load as the field `meter` states it: pairs of a name and a number, separated by semicolons.
fn load_report(response: &Response) -> LoadReport {
    let mut report = LoadReport::default();
    for pair in response.text("meter").unwrap_or("").split(';') {
        let Some((name, value)) = pair.split_once(':') else {
            continue;
        };
        let Ok(value) = value.parse::<f64>() else {
            continue;
        };
        if value.is_finite() {
            set_load_metric(&mut report, name, value);
        }
    }
    report
}
