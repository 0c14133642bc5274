//! Runs the instances of the policy module: handles the lines of each batch and collects the reply.

use crate::engine_list::{EngineLists, ListEntry};
use crate::error::HostError;
use crate::line::Line;
use crate::shadow_driver::{Incarnation, ShadowDriver, Summary};
use crate::translator::Translator;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use wheelfield::interface::{Action, Event, Micros, Settings};
use wheelfield::Gateway;
use wheelfield_settings::Names;

/// An instance of the policy module that has been started.
struct Instance {
    translator: Translator,
    gateway: Gateway,
    /// The driver that is compared with the policy module, in a run with captures.
    shadow: Option<ShadowDriver>,
}

/// An engine list of which entries are still to be received.
struct IncompleteList {
    list_number: u32,
    remaining: usize,
}

/// State of the batch after a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BatchState {
    /// The batch has more lines.
    Open,
    /// The batch is complete and its reply must be written.
    Complete,
}

/// All instances, and the state of the batch that is being handled.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u32, Instance>,
    lists: EngineLists,
    incomplete_list: Option<IncompleteList>,
    /// The instance that the following lines are for, as selected by a `for` line.
    current_instance: Option<u32>,
    /// Simulated time of the batch; `None` outside a batch.
    batch_time: Option<Micros>,
    /// Lines of the reply, by instance id.
    replies: BTreeMap<u32, String>,
    /// Reused buffer for the actions of one event.
    actions: Vec<Action>,
    /// Directory for captures, in a run with captures.
    capture_dir: Option<PathBuf>,
    /// Number of the latest incarnation of each instance, in a run with captures.
    incarnations: BTreeMap<u32, u32>,
    summary: Summary,
}

impl Host {
    /// Creates a host without instances. If `capture_dir` is set, it writes a capture of each incarnation to that directory.
    pub fn new(capture_dir: Option<PathBuf>) -> Host {
        Host {
            capture_dir,
            ..Host::default()
        }
    }

    /// Whether a batch has started and not ended.
    pub fn is_inside_batch(&self) -> bool {
        self.batch_time.is_some()
    }

    /// Handles one line.
    ///
    /// # Errors
    /// [`HostError`] if the line is malformed or not expected here.
    pub fn handle_line(&mut self, text: &str) -> Result<BatchState, HostError> {
        let line = Line::parse(text)?;
        if let Some(IncompleteList {
            list_number,
            remaining,
        }) = self.incomplete_list
        {
            let entry = ListEntry::parse(&line)?;
            self.lists.entry(list_number).or_default().push(entry);
            self.incomplete_list = (remaining > 1).then_some(IncompleteList {
                list_number,
                remaining: remaining - 1,
            });
            return Ok(BatchState::Open);
        }
        if line.keyword == "batch" {
            self.batch_time = Some(Micros(line.number("sim_time_us")?));
            self.current_instance = None;
            return Ok(BatchState::Open);
        }
        let Some(now) = self.batch_time else {
            return Err(HostError::OutsideBatch {
                found: line.keyword.to_string(),
            });
        };
        match line.keyword {
            "flush" => {
                self.end_batch();
                return Ok(BatchState::Complete);
            }
            "for" => self.current_instance = Some(line.number("controller")?),
            "list" => self.begin_list(&line)?,
            _ => self.handle_instance_line(&line, now)?,
        }
        Ok(BatchState::Open)
    }

    /// Returns the reply to a batch and clears it.
    pub fn take_reply(&mut self) -> String {
        let mut reply = String::new();
        for (id, lines) in std::mem::take(&mut self.replies) {
            if !lines.is_empty() {
                reply.push_str(&format!("context controller={id}\n{lines}"));
            }
        }
        reply.push_str("done\n");
        reply
    }

    /// Ends all instances. In a run with captures, returns its directory and summary.
    pub fn finish(mut self) -> Option<(PathBuf, Summary)> {
        let ids: Vec<u32> = self.instances.keys().copied().collect();
        ids.into_iter().for_each(|id| self.end_instance(id));
        Some((self.capture_dir?, self.summary))
    }

    fn end_batch(&mut self) {
        self.batch_time = None;
        let shadows = self
            .instances
            .values_mut()
            .filter_map(|instance| instance.shadow.as_mut());
        shadows.for_each(ShadowDriver::compare);
    }

    fn begin_list(&mut self, line: &Line) -> Result<(), HostError> {
        let (list_number, records) = (line.number("bank")?, line.number("records")?);
        self.lists.insert(list_number, Vec::new());
        self.incomplete_list = (records > 0).then_some(IncompleteList {
            list_number,
            remaining: records,
        });
        Ok(())
    }

    /// Handles a line for the current instance.
    fn handle_instance_line(&mut self, line: &Line, now: Micros) -> Result<(), HostError> {
        let Some(id) = self.current_instance else {
            return Err(HostError::NoInstance {
                found: line.keyword.to_string(),
            });
        };
        match line.keyword {
            "halt" => {
                self.end_instance(id);
                self.replies.remove(&id);
                return Ok(());
            }
            "up" => return self.start_instance(id, line, now),
            _ => {}
        }
        let Some(instance) = self.instances.get_mut(&id) else {
            return Err(HostError::NotStarted {
                found: line.keyword.to_string(),
                instance: id,
            });
        };
        if let Some(event) = instance.translator.decode_event(line, &self.lists)? {
            self.deliver(id, event, line.attempt(), now);
        }
        Ok(())
    }

    /// Starts an instance. A running instance with the same id is ended and its lines of the reply are dropped.
    fn start_instance(&mut self, id: u32, line: &Line, now: Micros) -> Result<(), HostError> {
        let (translator, settings) = Translator::from_settings(line.text("env")?)?;
        let seed = line.number("rng_seed")?;
        self.end_instance(id);
        let shadow = self.start_shadow(id, &translator.names, &settings, seed, now)?;
        let gateway = Gateway::new(settings, seed);
        self.instances.insert(
            id,
            Instance {
                translator,
                gateway,
                shadow,
            },
        );
        self.replies.remove(&id);
        self.deliver(id, Event::Started, None, now);
        Ok(())
    }

    /// Starts the driver that is compared with an instance, in a run with captures.
    fn start_shadow(
        &mut self,
        id: u32,
        names: &Names,
        settings: &Settings,
        seed: u64,
        now: Micros,
    ) -> Result<Option<ShadowDriver>, HostError> {
        let Some(dir) = &self.capture_dir else {
            return Ok(None);
        };
        let number = self
            .incarnations
            .entry(id)
            .and_modify(|number| *number += 1)
            .or_default();
        let incarnation = Incarnation {
            instance: id,
            number: *number,
        };
        let capture_error = |error| HostError::Capture {
            dir: Path::to_path_buf(dir),
            error,
        };
        ShadowDriver::start(dir, incarnation, names, settings, seed, now)
            .map(Some)
            .map_err(capture_error)
    }

    fn end_instance(&mut self, id: u32) {
        if let Some(shadow) = self
            .instances
            .remove(&id)
            .and_then(|instance| instance.shadow)
        {
            shadow.finish(&mut self.summary);
        }
    }

    /// Passes an event to an instance and adds its actions to the reply. `attempt` is the attempt number in the line, if any.
    fn deliver(&mut self, id: u32, event: Event, attempt: Option<usize>, now: Micros) {
        let Some(instance) = self.instances.get_mut(&id) else {
            return;
        };
        let shadow_event = instance.shadow.is_some().then(|| event.clone());
        instance.gateway.handle(now, event, &mut self.actions);
        if let (Some(shadow), Some(event)) = (&mut instance.shadow, shadow_event) {
            shadow.handle(
                now,
                event,
                attempt,
                &self.actions,
                &instance.translator.names,
            );
        }
        let reply = self.replies.entry(id).or_default();
        for action in self.actions.drain(..) {
            instance.translator.encode_action(&action, reply);
        }
    }
}
