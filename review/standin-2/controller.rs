//! The platform's side of a controller: its configuration, its start and its end.

use crate::client::exchange;
use crate::executor::Executor;
use crate::names;
use crate::util::{signal, sleep_ms, TempDir, SIGKILL};
use std::fs::OpenOptions;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;

/// A class of the settings, with the figures of the site unless a field says otherwise.
pub struct Class {
    pub name: &'static str,
    pub effect: &'static str,
    pub aim_ms: u64,
    pub deadline_ms: u64,
    pub window_ms: u64,
    pub worth: f64,
    pub late_worth: f64,
    pub threads: u32,
    pub is_load: bool,
}

/// The classes of the site kigali-shared. `load_effect` is the effect of its loads.
pub fn site_classes(load_effect: &'static str) -> Vec<Class> {
    let class = |name, effect, aim_ms, deadline_ms, worth, late_worth, threads| Class {
        name,
        effect,
        aim_ms,
        deadline_ms,
        window_ms: 5_000,
        worth,
        late_worth,
        threads,
        is_load: name == "batch-load",
    };
    vec![
        class("sim-check", "repeatable", 1_500, 7_500, 1.0, 0.0, 1),
        class("agent-report", "repeatable", 3_000, 25_000, 4.0, 0.3, 2),
        class("batch-load", load_effect, 4_000, 20_000, 6.0, 0.6, 2),
    ]
}

fn settings(classes: &[Class]) -> String {
    let list = |item: &dyn Fn(&Class) -> String| {
        let items: Vec<String> = classes.iter().map(item).collect();
        items.join(",")
    };
    let grades = list(&|c| {
        format!(
            r#"{{"name":"{}","effect":"{}","dedup_scope":"all","window_us":{},"on_time_us":{},"aim_stretch":2.0,"give_up_us":{},"gain":{:.1},"late_value":{:.1},"streamed":false}}"#,
            c.name,
            c.effect,
            c.window_ms * 1_000,
            c.aim_ms * 1_000,
            c.deadline_ms * 1_000,
            c.worth,
            c.late_worth
        )
    });
    let threads = list(&|c| c.threads.to_string());
    let loads = list(&|c| c.is_load.to_string());
    let waits = list(&|_| "false".to_string());
    format!(
        r#"{{"balancers":1,"me":0,"my_zone":"kigali-dc","zones":["kigali-dc"],"skus":["std-a","std-b"],"tenants":[],"layers":["query-fleet"],"tier":0,"tick_us":5000,
"service_type":"queries","registry_mode":"automatic","weight_source":"rough","worth_by":"request","over_share_worth":0.1,
"callers":{{"marks_retry":true}},"grades":[{grades}],
"ceilings":{{"cancel":true,"conn_idle_us":30000000,"connect_timeout_us":250000,"cpu_us_per_request":0.0,"cpu_us_per_s":500000,"max_retry_after_us":2000000,"max_streams":32,"most_held":20000,"peer_messages":true,"probes":false,"retry_after":true,"second_copies":false,"send_cap":3}},
"charges":{{"connection":0.0,"cross_zone":0.0,"handshake":0.0,"late_fail":0.03,"moves":0.0,"origin":0.0,"peer":0.01,"probe":0.0,"registry_mode":0.0,"waste":0.05}},
"family_info":{{"bills":true,"cpu_of_kind":[8,8],"grants":false,"lanes_count":true,"max_grant_share":0.4,"memory_by_kind_mb":[16384.0,16384.0],"parallelism":[{threads}],"tells_every_us":1000000,"when_short":"wait","writes_tables":[{loads}],"yields_to_loads":[{waits}]}},
"telemetry":{{"columns":["cpu_share"],"how":"answers"}},
"safety":{{"answer_slack_us":20000,"ask_within_us":10000000,"budget_span_us":5000000,"cold_from":0.35,"drain_grace_us":1000000,"extra_free":2.0,"fall_us":1500000,"ramp_time_us":13000000,"resend_ratio":0.1,"tip_multiple":2.5}}}}"#
    )
}

/// A controller, started with the command of the deploy file.
pub struct Controller {
    child: Child,
    pub address: SocketAddr,
    _dir: TempDir,
}

/// The limits of a controller.
pub struct Limits {
    pub memory_mb: u64,
    pub sockets: u32,
}

impl Controller {
    pub fn start(
        root: &str,
        limits: &Limits,
        classes: &[Class],
        executors: &[Executor],
        log: &str,
    ) -> std::io::Result<Controller> {
        let resolver = names::start(executors)?;
        let dir = TempDir::create()?;
        let address = TcpListener::bind("127.0.0.1:0")?.local_addr()?;
        let peer = UdpSocket::bind("127.0.0.1:0")?.local_addr()?;
        let config = format!(
            r#"{{"name":"n1","listen":"{address}","seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},"peer_listen":"{peer}","peers":["{peer}"],"peers_all":"{peer}","resolver":"{resolver}","known":{},"settings":{}}}"#,
            limits.memory_mb,
            limits.sockets,
            names::known(executors),
            settings(classes)
        );
        let config_file = dir.0.join("config.json");
        std::fs::write(&config_file, config)?;
        let deploy = std::fs::read_to_string(format!("{root}/deploy/balancer.toml"))?;
        let run = deploy
            .lines()
            .find_map(|line| line.strip_prefix("run = \"")?.strip_suffix('"'));
        let run = run.ok_or_else(|| std::io::Error::other("no line `run` in the deploy file"))?;
        let log = OpenOptions::new()
            .create(true)
            .write(true)
            .truncate(true)
            .open(log)?;
        let child = Command::new("/bin/sh")
            .args(["-c", run])
            .current_dir(root)
            .env("LB_NAME", "n1")
            .env("LB_LISTEN", address.to_string())
            .env("LB_CONFIG", &config_file)
            .env("TMPDIR", &dir.0)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        STARTED.lock().unwrap().push(child.id());
        let mut controller = Controller {
            child,
            address,
            _dir: dir,
        };
        for _ in 0..300 {
            if exchange(address, HEALTH, 500).is_ok_and(|response| response.status == 200) {
                return Ok(controller);
            }
            if controller.has_ended() {
                break;
            }
            sleep_ms(100);
        }
        Err(std::io::Error::other(
            "the controller was not ready within 30 s",
        ))
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)) | Err(_))
    }

    /// Kills the controller.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        STARTED
            .lock()
            .unwrap()
            .retain(|pid| *pid != self.child.id());
    }
}

impl Drop for Controller {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The controllers that were started and not ended.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills the controllers that a case left behind.
pub fn kill_all() {
    for pid in STARTED.lock().unwrap().drain(..) {
        signal(pid, SIGKILL);
    }
}

/// The call by which the front asks for a controller's health.
pub const HEALTH: &str = "GET /health HTTP/1.1\r\nHost: api.internal\r\nConnection: close\r\n\r\n";
