//! Engine files in force: what their watching tells, and what becomes of it together with a registry.

use crate::app::{App, MEMBERS};
use anyhow::{Context, Result};
use mio::net::UnixStream;
use mio::{Interest, Registry};
use serde_json::json;
use std::io::Read as _;
use std::sync::Arc;
use std::time::Duration;
use tracing::{error, info, warn};
use wheelfield::interface::Micros;
use wheelfield_config::Config;
use wheelfield_members::file::Places;
use wheelfield_members::keeper::Policy;
use wheelfield_members::merge::{merge, Contradiction};
use wheelfield_members::EngineSet;
use wheelfield_net::Clock;
use wheelfield_watch::disk::Place;
use wheelfield_watch::{News, Watch, Watching};

/// At the start, a first set is waited for so long.
const FIRST: Duration = Duration::from_secs(2);

/// The files and what is known of them.
pub(crate) struct Members {
    watching: Watching,
    bell: UnixStream,
    /// The set of the files.
    set: Option<Arc<EngineSet>>,
    /// The registry's, and when it was heard last.
    registry: Option<(EngineSet, i64)>,
    /// Whether the registry counted when the sets were merged last.
    counted: bool,
    contradictions: Vec<Contradiction>,
    fault: Option<String>,
}

impl Members {
    pub fn open(config: &Config, clock: Clock, registry: &Registry) -> Result<Option<Members>> {
        let Some(m) = &config.members else { return Ok(None) };
        let policy =
            Policy { settle: m.settle, most_lost: m.most_lost, hold: m.hold, reuse_after: m.reuse_after };
        let names = Places { names: config.names.clone(), cores: config.settings.cores.clone(), open: false };
        let watch = Watch {
            places: m.files.iter().cloned().map(Place).collect(),
            poll: m.poll,
            policy,
            names,
            last_good: m.last_good.clone(),
        };
        let (bell, ring) = std::os::unix::net::UnixStream::pair()?;
        bell.set_nonblocking(true)?;
        ring.set_nonblocking(true)?;
        let mut bell = UnixStream::from_std(bell);
        registry.register(&mut bell, MEMBERS, Interest::READABLE)?;
        let watching = Watching::begin(watch, clock, ring).context("cannot watch the engine files")?;
        Ok(Some(Members {
            watching,
            bell,
            set: None,
            registry: None,
            counted: false,
            contradictions: Vec::new(),
            fault: None,
        }))
    }
}

impl App {
    /// Waits for the first word of the files, but not for ever.
    pub(crate) fn first_members(&mut self) {
        let news = self.members.as_ref().and_then(|m| m.watching.news.recv_timeout(FIRST).ok());
        self.now = self.clock.now();
        match news {
            Some(news) => self.member_news(news),
            None => warn!("there is no set of engines yet; starting without"),
        }
    }

    /// The bell of the watching rang.
    pub(crate) fn on_members(&mut self) {
        let mut bytes = [0; 64];
        if let Some(m) = &mut self.members {
            while matches!(m.bell.read(&mut bytes), Ok(n) if n > 0) {}
        }
        while let Some(news) = self.members.as_ref().and_then(|m| m.watching.news.try_recv().ok()) {
            self.member_news(news);
        }
    }

    fn member_news(&mut self, news: News) {
        let Some(m) = &mut self.members else { return };
        match news {
            News::Set(set) => {
                info!(version = set.version, engines = set.engines.len(), "engine files in force");
                (m.set, m.fault) = (Some(set), None);
                self.merge_members();
            }
            News::Kept(set, age) => {
                warn!(version = set.version, age_s = age.0 / 1_000_000, "the set that was kept is in force");
                m.fault = Some(format!("the set that was kept is in force, of {} s ago", age.0 / 1_000_000));
                m.set = Some(set);
                self.merge_members();
            }
            News::Refused(fault) => {
                warn!(%fault, "engine files refused; the set in force stays");
                m.fault = Some(fault.to_string());
                self.counts.lists_refused += 1;
            }
            News::Held(why, until) => {
                let until_s = until.map(|t| (t.0 - self.now) / 1_000_000);
                warn!(why, until_s, "engine files held; write confirmed = true if that is meant");
                m.fault = Some(format!("held: {why}"));
                self.counts.lists_held += 1;
            }
            News::Fine => {
                info!("engine files are those in force again");
                m.fault = None;
            }
            News::KeptBad(why) => warn!(why, "the set that was kept can't be used"),
            News::NotKept(why) => {
                error!(
                    why,
                    "the set in force could not be kept; a start without a good file would have none"
                );
                self.counts.lists_not_kept += 1;
            }
            News::PollOnly(why) => warn!(why, "the system tells of no changes; engine files are polled"),
        }
    }

    /// The registry told a set; true if files say which engines there are, and it was only noted.
    pub(crate) fn note_registry(&mut self, set: &EngineSet) -> bool {
        let Some(m) = &mut self.members else { return false };
        m.registry = Some((set.clone(), self.now));
        self.merge_members();
        true
    }

    /// The registry still says what it said.
    pub(crate) fn registry_version(&self) -> u64 {
        match &self.members {
            Some(m) => m.registry.as_ref().map_or(0, |(set, _)| set.version),
            None => self.engines.version(),
        }
    }

    /// A registry that fell silent counts no more, and one that speaks again does.
    pub(crate) fn age_registry(&mut self) {
        let Some((m, of)) = self.members.as_ref().zip(self.config.members.as_ref()) else { return };
        let fresh = m.registry.as_ref().is_some_and(|(_, heard)| self.now - heard <= of.registry_age.0);
        if fresh != m.counted {
            self.merge_members();
        }
    }

    fn merge_members(&mut self) {
        let Some((m, of)) = self.members.as_mut().zip(self.config.members.as_ref()) else { return };
        let Some(set) = &m.set else { return };
        let told = m.registry.as_ref().map(|(told, heard)| (told, Micros(self.now - heard)));
        m.counted = told.is_some_and(|(_, age)| age <= of.registry_age);
        let (merged, contradictions) = merge(set, told, of.registry_age);
        if contradictions != m.contradictions {
            for c in &contradictions {
                warn!(what = ?c, "engine files and registry contradict each other");
            }
            m.contradictions = contradictions;
        }
        let change = self.engines.set_from_files(merged, Micros(self.now));
        self.engines_changed(change);
    }

    /// What an operator is shown of the files.
    pub(crate) fn members_status(&self) -> serde_json::Value {
        let Some(m) = &self.members else { return serde_json::Value::Null };
        let version = m.set.as_ref().map(|s| s.version);
        let contradictions: Vec<String> = m.contradictions.iter().map(|c| format!("{c:?}")).collect();
        json!({"version": version, "fault": m.fault, "contradictions": contradictions})
    }
}
