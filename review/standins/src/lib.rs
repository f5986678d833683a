//! What the scripts of the review share: the node process, its settings, and one response.
//!
//! The stand-ins of the store and of the workers are the project's own.

use std::fs::File;
use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::signal::unix::{SignalKind, signal};

pub const HOST: &str = "desk.example";
pub const KEY: &str = "key-of-rowers";

/// When a case that has not ended is given up; a script may run for 120 s.
const MAX_TIME: Duration = Duration::from_secs(100);

/// `limits.memoryMb` of a machine of suva-oars.
pub const MEMORY_MB: u64 = 260;

/// The repository, a temporary folder, and whether the disruption is played.
pub struct Setting {
    pub root: PathBuf,
    pub folder: PathBuf,
    pub has_trouble: bool,
    /// The loopback address of the node, which it has for itself, as the template fixes a port.
    pub ip: String,
}

/// The record of a case, and its node processes.
pub struct Case {
    start: Instant,
    record: Mutex<File>,
    nodes: Mutex<Vec<Child>>,
    /// Lists the processes that were started, for the script.
    pids: PathBuf,
    ids: AtomicUsize,
}

impl Case {
    /// Reads the arguments: the repository, a temporary folder and the file of the record.
    pub fn from_arguments() -> (Self, Setting) {
        let mut arguments = std::env::args().skip(1);
        let root = PathBuf::from(arguments.next().expect("the repository"));
        let folder = PathBuf::from(arguments.next().expect("a temporary folder"));
        let record = arguments.next().expect("the file of the record");
        let pid = std::process::id();
        let case = Self {
            start: Instant::now(),
            record: Mutex::new(File::create(record).unwrap()),
            nodes: Mutex::default(),
            pids: folder.join("pids"),
            ids: AtomicUsize::new(0),
        };
        let setting = Setting {
            root,
            folder,
            has_trouble: std::env::var("TROUBLE").map_or(true, |value| value != "0"),
            ip: format!("127.{}.{}.40", 64 + pid / 250 % 128, 1 + pid % 250),
        };
        (case, setting)
    }

    /// Writes a line to the record.
    pub fn note(&self, text: &str) {
        let line = format!("{:8.3} s  {text}\n", self.start.elapsed().as_secs_f64());
        print!("{line}");
        let _ = self.record.lock().unwrap().write_all(line.as_bytes());
    }

    /// Returns a new `X-Attempt-Id`.
    pub fn id(&self) -> String {
        format!(
            "{:016x}",
            0xa000_0000 + self.ids.fetch_add(1, Ordering::Relaxed)
        )
    }

    /// Ends all nodes after a signal to this process, or when the case takes too long.
    pub fn end_in_time(self: &Arc<Self>) {
        let case = Arc::clone(self);
        std::thread::spawn(move || {
            std::thread::sleep(MAX_TIME);
            case.end(2, "not run: the case takes too long");
        });
        for kind in [
            SignalKind::terminate(),
            SignalKind::interrupt(),
            SignalKind::hangup(),
        ] {
            let case = Arc::clone(self);
            let mut signals = signal(kind).unwrap();
            tokio::spawn(async move {
                signals.recv().await;
                case.end(2, "not run: a signal ended the case");
            });
        }
    }

    /// Starts a node with the command of the deploy file.
    pub fn start_node(&self, setting: &Setting, settings: &Path) {
        let log = setting.folder.join("node.log");
        let file = File::options().create(true).append(true).open(log).unwrap();
        let child = Command::new(setting.root.join("target/release/cuminlb"))
            .arg("--gateway")
            .arg(settings)
            .current_dir(&setting.root)
            .env_clear()
            .stdout(Stdio::from(file.try_clone().unwrap()))
            .stderr(Stdio::from(file))
            .spawn()
            .expect("the build of the deploy file has made target/release/cuminlb");
        let pid = child.id();
        self.nodes.lock().unwrap().push(child);
        let pids = File::options().create(true).append(true).open(&self.pids);
        writeln!(pids.unwrap(), "{pid}").unwrap();
        self.note(&format!("platform: process {pid} starts"));
    }

    /// Returns the ids of the nodes that were started and not ended.
    pub fn node_ids(&self) -> Vec<u32> {
        self.nodes.lock().unwrap().iter().map(Child::id).collect()
    }

    /// Ends all nodes.
    pub fn kill_nodes(&self) {
        let mut nodes = self
            .nodes
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner());
        for mut node in nodes.drain(..) {
            let _ = node.kill();
            let _ = node.wait();
        }
    }

    /// Ends the nodes and this process.
    pub fn end(&self, code: i32, verdict: &str) -> ! {
        self.kill_nodes();
        self.note(verdict);
        std::process::exit(code)
    }
}

impl Drop for Case {
    fn drop(&mut self) {
        self.kill_nodes();
    }
}

/// Writes the settings of the only node of a case.
pub fn write_settings(setting: &Setting, store: SocketAddr) -> PathBuf {
    write_node_settings(setting, store, "front-za-1", &setting.ip)
}

/// Writes the settings of a node: the template of the deploy file, filled in as the platform does.
pub fn write_node_settings(setting: &Setting, store: SocketAddr, name: &str, ip: &str) -> PathBuf {
    let template = setting.root.join("deploy/node.toml.template");
    let template = std::fs::read_to_string(template).unwrap();
    let zones = template
        .lines()
        .find(|line| line.starts_with("zones = "))
        .unwrap();
    let fields = [
        ("nodeName", name.to_owned()),
        ("region", "ra".to_owned()),
        ("zone", "za".to_owned()),
        ("ip", ip.to_owned()),
        ("listen.front", format!("{ip}:8227")),
        ("listen.ready", format!("{ip}:8220")),
        ("internalPorts.0", "7340".to_owned()),
        ("internalPorts.1", "7355".to_owned()),
        ("platform.address", store.to_string()),
        ("bounds.retryBudgetRatio", "0.2".to_owned()),
        ("bounds.budgetExtra", "134".to_owned()),
        ("bounds.budgetWindowS", "10".to_owned()),
        ("bounds.stallMs", "6000".to_owned()),
        ("bounds.graceS", "8".to_owned()),
        ("heartbeatMs", "1200".to_owned()),
        ("bounds.drainMs", "2000".to_owned()),
        ("bounds.configApplyMs", "2000".to_owned()),
        ("limits.memoryMb", MEMORY_MB.to_string()),
        ("limits.linkMbps", "1000.0".to_owned()),
        ("limits.cpuShare", "0.25".to_owned()),
    ];
    let mut text = template.replace(zones, r#"zones = ["za=ra"]"#);
    for (name, value) in fields {
        text = text.replace(&format!("{{{{{name}}}}}"), &value);
    }
    assert!(!text.contains("{{"), "a placeholder is left: {text}");
    let path = setting.folder.join(format!("{name}.toml"));
    std::fs::write(&path, text).unwrap();
    path
}

/// Reads one response; `None` if the channel ends before it is complete.
pub async fn read_response(stream: &mut TcpStream) -> Option<u16> {
    let mut bytes = Vec::new();
    let mut part = [0; 16_384];
    loop {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let status: u16 = head.split(' ').nth(1)?.parse().ok()?;
            let length = head.lines().find_map(|line| {
                let (name, value) = line.split_once(':')?;
                let is_length = name.eq_ignore_ascii_case("content-length");
                is_length.then(|| value.trim().parse::<usize>().ok())?
            });
            let is_complete = match length {
                Some(length) => body.len() >= length,
                None => body.ends_with("0\r\n\r\n"),
            };
            if is_complete {
                return Some(status);
            }
        }
        match stream.read(&mut part).await {
            Ok(0) | Err(_) => return None,
            Ok(len) => bytes.extend_from_slice(&part[..len]),
        }
    }
}
