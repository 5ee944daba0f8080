//! Node processes, started as the deploy file says.

use std::fs::OpenOptions;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Conn;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGTERM: i32 = 15;

/// The program and its arguments in `deploy/system.toml`.
const PROGRAM: &str = "target/release/catkinusher-node";

pub struct Node {
    child: Child,
    settings: PathBuf,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    /// The address for messages of other nodes.
    pub peers: SocketAddr,
    pub name: String,
    pub log: PathBuf,
}

/// The ports that nodes get, below those that the system gives to outgoing connections.
const FIRST_PORT: u32 = 12_000;
const PORTS: u32 = 20_000;

/// A port that is free now and is given only once.
fn free_port() -> u16 {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    // Scripts that run at the same time begin at different ports.
    let offset = std::process::id().wrapping_mul(97);
    loop {
        let next = offset.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed));
        let port = (FIRST_PORT + next % PORTS) as u16;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return port;
        }
    }
}

fn spawn(settings: &Path, log: &Path) -> Child {
    let mut options = OpenOptions::new();
    let output = options
        .create(true)
        .append(true)
        .open(log)
        .expect("cannot open the log");
    let errors = output.try_clone().expect("cannot share the log");
    Command::new(PROGRAM)
        .arg("serve")
        .env("CATKINUSHER_SETTINGS", settings)
        .stdin(Stdio::null())
        .stdout(output)
        .stderr(errors)
        .spawn()
        .expect("cannot start the node; run the build of deploy/system.toml first")
}

impl Node {
    /// Starts a node with the settings of the site `ltshn-rota`, on free ports.
    pub fn start(name: &str, store: SocketAddr, folder: &Path) -> Self {
        let (front, ready, control, peers) = (free_port(), free_port(), free_port(), free_port());
        let settings = format!(
            r#"node = "{name}"
role = "node"
machine-class = "front"
serves = ["front"]
ip = "127.0.0.1"
zone = "hcm-a"
region = "hcm"
internal-port-range = [{peers},{peers}]
seeds = []
bootstrap = true
loss-counts = false
discovery = "platform"
entry = "vip"
beat-ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","places","platform","spans"]
[zones]
hcm-a = "hcm"
hcm-b = "hcm"
hcm-c = "hcm"
[listen]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
control = "127.0.0.1:{control}"
[limits]
cpu-share = 0.17
cores = 1
memory-mb = 182
max-fds = 2870
link-mbps = 700.0
disk-mb = 0
[tolerate]
machines = 1
zones = 1
regions = 0
[bounds]
seed-lag-s = 3
reuse-after-s = 2
stable-window-ms = 3000
ack-ms = 4000
catch-up-s = 4
drain-ms = 2000
grace-s = 8
loss-slack-ms = 200
config-ms = 2000
rollback-slack-ms = 250
outer-ms = 5000
revoke-strict = true
revoke-ms = 5000
budget-ratio = 0.2
budget-window-s = 10
budget-slack = 234
cold-over = 1.5
cold-slack = 5
evac-ms = 5000
recover-s = 12
pass-ms = 120
again-s = 0
stall_ms = 1500
hold-max-ms = 20000
free-ms = 4000
idle-max-ms = 9000
[platform]
address = "{store}"
form = "objects"
writes-per-s = 400
reads-per-s = 2000
history-s = 20
value-bytes = 1048576
ttl-min-ms = 1000
"#
        );
        let path = folder.join(format!("{name}.toml"));
        std::fs::write(&path, settings).expect("cannot write the settings");
        let log = folder.join(format!("{name}.log"));
        let child = spawn(&path, &log);
        let local = |port| SocketAddr::from(([127, 0, 0, 1], port));
        Self {
            child,
            settings: path,
            front: local(front),
            ready: local(ready),
            peers: local(peers),
            name: name.to_owned(),
            log,
        }
    }

    /// Waits until the node says that it is ready.
    pub fn wait_until_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(20);
        while Instant::now() < until {
            let answer = Conn::connect(self.ready).ok().and_then(|mut conn| {
                conn.exchange(b"GET /ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
            });
            if answer.is_some_and(|answer| answer.status() == 200) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    pub fn signal(&self, signal: i32) {
        // SAFETY: the process was started here and has not been waited for.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// Stops the process as planned, and starts it again with the same settings.
    pub fn restart(&mut self) {
        self.signal(SIGTERM);
        let _ = self.child.wait();
        self.child = spawn(&self.settings, &self.log);
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
