//! Hosts the instances of the decision module: takes the lines of batches and collects the replies.

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

/// A started instance.
struct Instance {
    translator: Translator,
    gateway: Gateway,
    /// The driver beside it, in a run with captures.
    shadow: Option<ShadowDriver>,
}

/// A list whose entries are still to come.
struct IncompleteList {
    bank: u32,
    remaining: usize,
}

/// Whether a line ended its batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Batch {
    /// More lines are to come.
    Open,
    /// The reply is due.
    Complete,
}

/// All instances, and the state of the batch that is being read.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u32, Instance>,
    lists: EngineLists,
    incomplete_list: Option<IncompleteList>,
    /// The instance that the next lines are for.
    current_instance: Option<u32>,
    /// Time of the batch; `None` outside a batch.
    batch_time: Option<Micros>,
    /// Lines of the reply, by instance.
    replies: BTreeMap<u32, String>,
    /// Buffer for the actions of one event.
    actions: Vec<Action>,
    /// Where captures are written, in a run with captures.
    capture_dir: Option<PathBuf>,
    /// Number of the last incarnation of each instance, in a run with captures.
    incarnations: BTreeMap<u32, u32>,
    summary: Summary,
}

impl Host {
    /// A host without instances; it writes a capture of each incarnation to `capture_dir`, if there is one.
    pub fn new(capture_dir: Option<PathBuf>) -> Host {
        Host {
            capture_dir,
            ..Host::default()
        }
    }

    /// Whether a batch has begun and not ended.
    pub fn is_inside_batch(&self) -> bool {
        self.batch_time.is_some()
    }

    /// Handles one line.
    ///
    /// # Errors
    /// [`HostError`], if it is malformed or out of place.
    pub fn handle_line(&mut self, text: &str) -> Result<Batch, HostError> {
        let line = Line::parse(text)?;
        if let Some(IncompleteList { bank, remaining }) = self.incomplete_list {
            let entry = ListEntry::parse(&line)?;
            self.lists.entry(bank).or_default().push(entry);
            self.incomplete_list = (remaining > 1).then_some(IncompleteList {
                bank,
                remaining: remaining - 1,
            });
            return Ok(Batch::Open);
        }
        if line.word == "batch" {
            self.batch_time = Some(Micros(line.number("sim_time_us")?));
            self.current_instance = None;
            return Ok(Batch::Open);
        }
        let Some(now) = self.batch_time else {
            return Err(HostError::OutsideBatch {
                found: line.word.to_string(),
            });
        };
        match line.word {
            "flush" => {
                self.end_batch();
                return Ok(Batch::Complete);
            }
            "for" => self.current_instance = Some(line.number("controller")?),
            "list" => self.begin_list(&line)?,
            _ => self.handle_instance_line(&line, now)?,
        }
        Ok(Batch::Open)
    }

    /// Takes the reply to a batch.
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

    /// Ends all instances. Returns the results of a run with captures, and where these were written.
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
        let (bank, records) = (line.number("bank")?, line.number("records")?);
        self.lists.insert(bank, Vec::new());
        self.incomplete_list = (records > 0).then_some(IncompleteList {
            bank,
            remaining: records,
        });
        Ok(())
    }

    /// Handles a line for the current instance.
    fn handle_instance_line(&mut self, line: &Line, now: Micros) -> Result<(), HostError> {
        let Some(id) = self.current_instance else {
            return Err(HostError::NoInstance {
                found: line.word.to_string(),
            });
        };
        match line.word {
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
                found: line.word.to_string(),
                instance: id,
            });
        };
        if let Some(event) = instance.translator.decode_event(line, &self.lists)? {
            self.deliver(id, event, line.attempt(), now);
        }
        Ok(())
    }

    /// Starts an instance; one that runs already under this number ends, and so does its part of the reply.
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

    /// Starts the driver beside an instance, in a run with captures.
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

    /// Gives an event to an instance and adds its actions to the reply. `attempt` is the attempt that the line names.
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
