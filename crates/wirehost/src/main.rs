//! Hosts many instances of the decision module on the simulator's wire, standard input to standard output.

mod wire;

use std::collections::BTreeMap;
use std::io::{BufRead, Write};
use wheelfield::choice::Gateway;
use wheelfield::interface::{Action, Event, Micros};
use wire::{Line, ListEntry, Names};

struct Instance {
    names: Names,
    gateway: Gateway,
}

#[derive(Default)]
struct Host {
    instances: BTreeMap<u32, Instance>,
    lists: BTreeMap<u32, Vec<ListEntry>>,
    filling: Option<(u32, usize)>,
    current: Option<u32>,
    now: Option<Micros>,
    replies: BTreeMap<u32, String>,
    actions: Vec<Action>,
}

impl Host {
    /// Takes one line; true when the batch is complete.
    fn line(&mut self, text: &str) -> Result<bool, String> {
        let line = Line::parse(text)?;
        if let Some((bank, left)) = self.filling {
            let entry = ListEntry::parse(&line)?;
            self.lists.entry(bank).or_default().push(entry);
            self.filling = (left > 1).then_some((bank, left - 1));
            return Ok(false);
        }
        if line.word == "batch" {
            self.now = Some(Micros(line.number("sim_time_us")?));
            self.current = None;
            return Ok(false);
        }
        let now = self.now.ok_or_else(|| format!("expected a 'batch' line, found '{}'", line.word))?;
        match line.word {
            "flush" => {
                self.now = None;
                return Ok(true);
            }
            "for" => self.current = Some(line.number("controller")?),
            "list" => {
                let (bank, records) = (line.number("bank")?, line.number("records")?);
                self.lists.insert(bank, Vec::new());
                self.filling = (records > 0).then_some((bank, records));
            }
            _ => self.event(&line, now)?,
        }
        Ok(false)
    }

    fn event(&mut self, line: &Line, now: Micros) -> Result<(), String> {
        let id = self.current.ok_or_else(|| format!("expected a 'for' line before '{}'", line.word))?;
        match line.word {
            "halt" => {
                self.instances.remove(&id);
                self.replies.remove(&id);
                return Ok(());
            }
            "up" => {
                let (names, settings) = Names::settings(line.text("env")?)?;
                let gateway = Gateway::new(settings, line.number("rng_seed")?);
                self.instances.insert(id, Instance { names, gateway });
                self.replies.remove(&id);
                return self.deliver(id, Event::Started, now);
            }
            _ => {}
        }
        let instance = self
            .instances
            .get_mut(&id)
            .ok_or_else(|| format!("'{}' for controller {id}, which has had no 'up'", line.word))?;
        match instance.names.event(line, &self.lists)? {
            Some(event) => self.deliver(id, event, now),
            None => Ok(()),
        }
    }

    fn deliver(&mut self, id: u32, event: Event, now: Micros) -> Result<(), String> {
        if let Some(instance) = self.instances.get_mut(&id) {
            instance.gateway.handle(now, event, &mut self.actions);
            let reply = self.replies.entry(id).or_default();
            for action in self.actions.drain(..) {
                instance.names.print(&action, reply);
            }
        }
        Ok(())
    }

    fn reply(&mut self) -> String {
        let mut out = String::new();
        for (id, lines) in std::mem::take(&mut self.replies) {
            if !lines.is_empty() {
                out.push_str(&format!("context controller={id}\n{lines}"));
            }
        }
        out.push_str("done\n");
        out
    }
}

fn run() -> Result<(), String> {
    let (stdin, mut stdout) = (std::io::stdin().lock(), std::io::stdout().lock());
    let mut host = Host::default();
    for (number, text) in stdin.lines().enumerate() {
        let text = text.map_err(|e| format!("line {}: {e}", number + 1))?;
        let text = text.trim_end_matches('\r');
        if text.is_empty() {
            continue;
        }
        if host.line(text).map_err(|e| format!("line {}: {e}", number + 1))? {
            let written = stdout.write_all(host.reply().as_bytes()).and_then(|()| stdout.flush());
            if let Err(e) = written {
                return Err(format!("cannot write the reply: {e}"));
            }
        }
    }
    if host.now.is_some() {
        return Err("input ended inside a batch: expected 'flush'".to_string());
    }
    Ok(())
}

fn main() -> std::process::ExitCode {
    match run() {
        Ok(()) => std::process::ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("wheelfield-wirehost: {message}");
            std::process::ExitCode::FAILURE
        }
    }
}
