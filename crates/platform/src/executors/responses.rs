//! Handles the responses of executors.

use super::connection::{PartialResult, RunningAttempt};
use super::{AttemptEvent, EndedAttempt, Executors, MAX_INPUT_BYTES};
use crate::executor_protocol::{self, ProtocolError, RequestId, Response, ResponseKind};
use crate::result_pages::{self, MAX_PAGES, MAX_RESULT_BYTES};
use crate::timer_event::TimerEvent;
use bytes::Bytes;
use tracing::debug;
use wheelfield::interface::{AttemptUpdate, LoadReport, Outcome};
use wheelfield_driver::AttemptId;
use wheelfield_sans_io::{ConnId, EffectQueue};
use wheelfield_settings::set_load_metric;

/// The effect of a response on the attempt that it belongs to.
enum ResponseEffect {
    /// The response does not fit the state of the attempt and is dropped.
    Unmatched,
    /// The executor reported progress.
    Updated(AttemptUpdate),
    /// The first page of a result with this number of pages; the others have to be fetched.
    FirstPage(usize),
    /// A further page of the result; other pages are still missing.
    FurtherPage,
    /// The attempt has ended.
    Ended(EndedAttempt),
}

impl Executors {
    /// Handles the responses in the input buffer of a connection, and the end of its input.
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
            return connection.record_response(false);
        };
        let kind = response.kind;
        let attempt = running.attempt.id;
        let effect = running.handle_response(response, out.now)?;
        let is_matched = !matches!(effect, ResponseEffect::Unmatched);
        connection.record_response(is_matched)?;
        match effect {
            ResponseEffect::Unmatched => self.counters.unmatched_responses += 1,
            ResponseEffect::Updated(update) => {
                self.events
                    .push_back(AttemptEvent::Updated(attempt, update));
            }
            ResponseEffect::FirstPage(pages) => {
                self.events
                    .push_back(AttemptEvent::ResultBegun { attempt, pages });
            }
            ResponseEffect::FurtherPage => {}
            ResponseEffect::Ended(ended) => self.end_running_attempt(id, request, kind, ended, out),
        }
        Ok(())
    }

    /// Requests the further pages of a result all at once, so that it takes one more round trip instead of one per page. Does nothing
    /// if the attempt has ended.
    pub fn fetch_pages(&mut self, attempt: AttemptId, out: &mut EffectQueue<TimerEvent>) {
        let Some(location) = self.locations.get(&attempt).copied() else {
            return;
        };
        let Some(connection) = self.connections.get_mut(location.connection) else {
            return;
        };
        let running = connection.running.get_mut(&location.request);
        let Some(result) = running.and_then(|running| running.result.as_mut()) else {
            return;
        };
        result.fetched_since = Some(out.now);
        for page in 1..result.pages.len() {
            connection
                .append(|output| executor_protocol::encode_fetch(location.request, page, output));
        }
        connection.buffer.flush(location.connection, out);
    }

    /// Ends a running attempt. `kind` is the kind of its last response.
    fn end_running_attempt(
        &mut self,
        id: ConnId,
        request: RequestId,
        kind: ResponseKind,
        mut ended: EndedAttempt,
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
        let is_ambiguous = running.earlier_attempts > 0;
        if is_ambiguous {
            self.counters.ambiguous_responses += 1;
            // This attempt may still be running and has to be cancelled.
            ended.mark_ambiguous();
            connection.append(|output| executor_protocol::encode_cancel(request, output));
            connection.buffer.flush(id, out);
        }
        debug!(
            id = %request,
            attempt = %ended.attempt,
            executor = connection.engine.0,
            response = ?kind,
            earlier_attempts = running.earlier_attempts,
            "attempt ended"
        );
        if is_ambiguous {
            connection.cancelled_ids.push(request);
        } else if !is_served {
            connection.failed_ids.push(request);
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
        let ended_with = |outcome, response: &Response| {
            let report = parse_load_report(response);
            let ended = EndedAttempt {
                report,
                ..EndedAttempt::without_report(self.attempt.id, outcome)
            };
            Ok(ResponseEffect::Ended(ended))
        };
        match (response.kind, &mut self.result) {
            (ResponseKind::Info, None) => {
                Ok(ResponseEffect::Updated(parse_attempt_update(&response)))
            }
            (ResponseKind::Hit, None) => self.handle_first_page(response),
            // The former first page was that of an earlier attempt, whose further pages can't be had any more. The pages that arrive
            // from here on are those of the later result, as an executor writes its first page before it reads requests for others.
            (ResponseKind::Hit, Some(former)) if former.replaced < self.earlier_attempts => {
                self.handle_first_page(response)
            }
            (ResponseKind::Part, Some(_)) => self.handle_further_page(response, now),
            // A fault after the first page means that the executor no longer has the remaining pages.
            (ResponseKind::Fault, _) => ended_with(Outcome::Error, &response),
            (ResponseKind::Shed, None) => ended_with(Outcome::Full, &response),
            (ResponseKind::Late, None) => ended_with(Outcome::NeverSent, &response),
            _ => Ok(ResponseEffect::Unmatched),
        }
    }

    fn handle_first_page(&mut self, response: Response) -> Result<ResponseEffect, ProtocolError> {
        let pages = match response.field("pages") {
            None => 1,
            Some(_) => response
                .count_field("pages")
                .ok_or(ProtocolError::InvalidLine)?,
        };
        if !(1..=MAX_PAGES).contains(&pages) || !result_pages::is_valid_page(&response.body) {
            return Err(ProtocolError::InvalidLine);
        }
        let billed_work = response.numeric_field("cost").map(|ms| ms / 1e3);
        let report = parse_load_report(&response);
        if pages == 1 {
            return Ok(ResponseEffect::Ended(self.served_attempt(
                billed_work,
                report,
                vec![response.body],
            )));
        }
        let former = self.result.take();
        let mut result = PartialResult {
            replaced: former.map_or(0, |former| former.replaced + 1),
            billed_work,
            report,
            pages: vec![None; pages],
            missing_pages: pages - 1,
            received_bytes: response.body.len(),
            fetched_since: None,
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
        let number = response
            .count_field("page")
            .ok_or(ProtocolError::InvalidLine)?;
        let Some(page) = result.pages.get_mut(number).filter(|page| page.is_none()) else {
            // A page that has already arrived, or whose number is out of range.
            return Ok(ResponseEffect::Unmatched);
        };
        result.received_bytes += response.body.len();
        if !result_pages::is_valid_page(&response.body) || result.received_bytes > MAX_RESULT_BYTES
        {
            return Err(ProtocolError::InvalidLine);
        }
        *page = Some(response.body);
        result.missing_pages -= 1;
        result.fetched_since = Some(now);
        if result.missing_pages > 0 {
            return Ok(ResponseEffect::FurtherPage);
        }
        let pages = result.pages.iter_mut().filter_map(Option::take).collect();
        let (billed_work, report) = (result.billed_work, result.report);
        Ok(ResponseEffect::Ended(self.served_attempt(
            billed_work,
            report,
            pages,
        )))
    }

    fn served_attempt(
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
            is_ambiguous: false,
            pages,
        }
    }
}

/// Parses the progress that an `INFO` response reports.
fn parse_attempt_update(response: &Response) -> AttemptUpdate {
    let value = response.numeric_field("v").unwrap_or(0.0);
    match response.field("tell") {
        Some("pct") => AttemptUpdate::Progress(value),
        Some("overflow") => AttemptUpdate::Spills(value),
        Some("queued") if value < 2.0 => AttemptUpdate::WaitsForMemory,
        Some("queued") => AttemptUpdate::WaitsForLoad,
        _ => AttemptUpdate::Other,
    }
}

/// Parses the executor's load from the field `meter`: pairs of the form `name:number`, separated by semicolons.
fn parse_load_report(response: &Response) -> LoadReport {
    let mut report = LoadReport::default();
    for pair in response.field("meter").unwrap_or("").split(';') {
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
