//! A node process, started with the command of the deploy file and settings as its template gives them.

use std::fs::{self, File};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::process::{Child, Command, Stdio};

/// The program and its arguments up to the path of the settings, as in `deploy/system.toml`.
const PROGRAM: &str = "target/release/cuminlb";

/// What the settings of a node say beside its addresses.
#[derive(Clone, Copy, Debug)]
pub struct Machine {
    pub memory_mb: u64,
    pub cpu_share: f64,
    pub link_mbps: f64,
}

/// A running node. It ends with this process, however that ends.
#[derive(Debug)]
pub struct Node {
    pub caller: SocketAddr,
    pub child: Child,
}

impl Node {
    /// Starts a node in the root of the repository, with its files in `folder`.
    pub fn start(
        root: &Path,
        folder: &Path,
        name: &str,
        store: SocketAddr,
        machine: Machine,
    ) -> io::Result<Self> {
        let [caller, ready, peer, forwarding, metrics] = free_addresses()?;
        let Machine {
            memory_mb,
            cpu_share,
            link_mbps,
        } = machine;
        let text = format!(
            r#"id = "{name}"
region = "jm-island"
zone = "kingston"
zones = ["kingston=jm-island"]

[listen]
caller = "{caller}"
ready = "{ready}"
peer = "{peer}"
forwarding = "{forwarding}"
metrics = "{metrics}"

[store]
address = "{store}"

[security]
peer_token = "cuminlb-nodes-of-one-system"

[bounds]
retry_ratio = 0.2
retry_extra = 368
retry_window = "10s"
stall = "5000ms"
grace = "8s"
heartbeat = "1200ms"
drain_notice = "3000ms"
catalog_notice = "3000ms"
memory_mb = {memory_mb}

[load]
spares = "square_root"
report_period = "100ms"
admission = true

[machine]
link_mbps = {link_mbps:?}
cpu_cores = {cpu_share:?}

[log]
level = "info"
format = "json"
targets = ["tarpc=warn"]
"#
        );
        let settings = folder.join(format!("{name}.toml"));
        fs::write(&settings, text)?;
        let log = folder.join(format!("{name}.log"));
        let mut command = Command::new(root.join(PROGRAM));
        // SAFETY: the call is async-signal-safe and touches no memory of this process.
        unsafe {
            command.pre_exec(|| {
                libc::prctl(libc::PR_SET_PDEATHSIG, libc::SIGKILL);
                Ok(())
            });
        }
        let child = command
            .arg("--gateway")
            .arg(&settings)
            .current_dir(root)
            .stdin(Stdio::null())
            .stdout(File::create(&log)?)
            .stderr(Stdio::null())
            .spawn()?;
        Ok(Self { caller, child })
    }

    /// Returns the private memory of the process in MB; `None` if it has ended.
    pub fn memory_mb(&self) -> Option<f64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = status
            .lines()
            .find_map(|line| line.strip_prefix("RssAnon:"))?;
        let kib: f64 = line.trim().trim_end_matches(" kB").trim().parse().ok()?;
        Some(kib / 1_024.0)
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ended = self.child.kill();
        let _status = self.child.wait();
    }
}

fn free_addresses() -> io::Result<[SocketAddr; 5]> {
    let mut listeners = Vec::new();
    for _ in 0..5 {
        listeners.push(TcpListener::bind("127.0.0.1:0")?);
    }
    let addresses: io::Result<Vec<SocketAddr>> =
        listeners.iter().map(TcpListener::local_addr).collect();
    let addresses = addresses?;
    Ok(std::array::from_fn(|index| addresses[index]))
}
