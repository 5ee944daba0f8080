//! The program under test, as a process for each machine.

use std::fs::File;
use std::net::{IpAddr, SocketAddr, TcpListener, UdpSocket};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::http;
use crate::record::Record;

unsafe extern "C" {
    fn prctl(option: i32, ...) -> i32;
    fn kill(pid: i32, signal: i32) -> i32;
}

const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;
const SIGTERM: i32 = 15;

/// The command of the deploy file.
const PROGRAM: &str = "target/release/catkinusher-node";

/// The ports that are the same on all machines.
#[derive(Debug, Clone, Copy)]
pub struct Ports {
    front: u16,
    ready: u16,
    control: u16,
    internal: u16,
}

impl Ports {
    /// Finds ports that are free on all of these machines.
    pub fn find(ips: &[IpAddr]) -> Self {
        let start = 10_000 + (std::process::id() % 15_000) as u16;
        let is_free = |port: u16| {
            ips.iter().all(|ip| {
                TcpListener::bind((*ip, port)).is_ok() && UdpSocket::bind((*ip, port)).is_ok()
            })
        };
        let mut free = (start..32_000).filter(|port| is_free(*port));
        let mut next = || free.next().expect("free ports");
        Self {
            front: next(),
            ready: next(),
            control: next(),
            internal: next(),
        }
    }
}

/// A machine with its process.
#[derive(Debug)]
pub struct Node {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    record: Arc<Record>,
}

impl Node {
    /// Writes the settings and starts the process.
    pub fn start(
        name: &str,
        (ip, zone, share): (IpAddr, &str, f64),
        ports: Ports,
        store: SocketAddr,
        folder: &Path,
        record: &Arc<Record>,
    ) -> Self {
        let Ports {
            front,
            ready,
            control,
            internal,
        } = ports;
        let text = format!(
            "node = \"{name}\"\nrole = \"node\"\nmachine-class = \"front\"\nserves = [\"front\"]\n\
             ip = \"{ip}\"\nzone = \"{zone}\"\nregion = \"hcm\"\n\
             internal-port-range = [{internal},{internal}]\nseeds = []\nbootstrap = true\n\
             loss-counts = false\ndiscovery = \"platform\"\nentry = \"vip\"\nbeat-ms = 1200\n\
             [listen]\nfront = \"{ip}:{front}\"\nready = \"{ip}:{ready}\"\ncontrol = \"{ip}:{control}\"\n\
             [limits]\ncpu-share = {share}\ncores = 1\nmemory-mb = 182\nmax-fds = 2870\n\
             link-mbps = 700.0\ndisk-mb = 0\n\
             [tolerate]\nmachines = 1\nzones = 1\nregions = 0\n\
             [bounds]\nseed-lag-s = 3\nreuse-after-s = 2\nstable-window-ms = 3000\nack-ms = 4000\n\
             catch-up-s = 4\ndrain-ms = 2000\ngrace-s = 8\nloss-slack-ms = 200\nconfig-ms = 2000\n\
             rollback-slack-ms = 250\nouter-ms = 5000\nrevoke-strict = true\nrevoke-ms = 5000\n\
             budget-ratio = 0.2\nbudget-window-s = 10\nbudget-slack = 234\ncold-over = 1.5\n\
             cold-slack = 5\nevac-ms = 5000\nrecover-s = 12\npass-ms = 120\nagain-s = 0\n\
             stall_ms = 1500\nhold-max-ms = 20000\nfree-ms = 4000\nidle-max-ms = 9000\n\
             [platform]\naddress = \"{store}\"\nform = \"objects\"\nwrites-per-s = 400\n\
             reads-per-s = 2000\nhistory-s = 20\nvalue-bytes = 1048576\nttl-min-ms = 1000\n"
        );
        let settings = folder.join(format!("{name}.toml"));
        std::fs::write(&settings, text).expect("the temporary folder can be written");
        let mut node = Self {
            name: name.to_owned(),
            front: SocketAddr::new(ip, front),
            ready: SocketAddr::new(ip, ready),
            settings,
            log: folder.join(format!("{name}.log")),
            child: None,
            record: Arc::clone(record),
        };
        node.spawn();
        node
    }

    /// Starts the process, with only the variables that the platform passes on.
    pub fn spawn(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log);
        let log = log.expect("the temporary folder can be written");
        let mut command = Command::new(PROGRAM);
        command
            .arg("serve")
            .env_clear()
            .env("CATKINUSHER_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone().expect("an open file"))
            .stdout(log);
        for name in ["PATH", "HOME", "LANG"] {
            if let Some(value) = std::env::var_os(name) {
                command.env(name, value);
            }
        }
        // The process must not outlive the script, however that ends.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                Ok(())
            });
        }
        match command.spawn() {
            Ok(child) => self.child = Some(child),
            Err(error) => crate::cannot_run(&format!("{PROGRAM}: {error}")),
        }
        self.record.note(&format!("node {} is started", self.name));
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let is_running = matches!(child.try_wait(), Ok(None));
            let _killed = child.kill();
            let _status = child.wait();
            let how = if is_running { "is killed" } else { "has ended" };
            self.record.note(&format!("node {} {how}", self.name));
        }
    }

    /// Sends SIGTERM, waits until the process has ended, and starts it again.
    ///
    /// Kills the process and returns false if it has not ended within `grace`.
    pub fn restart_by_term(&mut self, grace: Duration) -> bool {
        let Some(child) = self.child.as_mut() else {
            return false;
        };
        self.record
            .note(&format!("node {} gets SIGTERM", self.name));
        unsafe {
            kill(child.id() as i32, SIGTERM);
        }
        let until = Instant::now() + grace;
        while matches!(child.try_wait(), Ok(None)) && Instant::now() < until {
            std::thread::sleep(Duration::from_millis(10));
        }
        let in_time = matches!(child.try_wait(), Ok(Some(_)));
        self.kill();
        self.spawn();
        in_time
    }

    /// The memory of the process, in bytes.
    pub fn memory(&self) -> u64 {
        let Some(child) = self.child.as_ref() else {
            return 0;
        };
        let status = std::fs::read_to_string(format!("/proc/{}/status", child.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kilobytes = line.and_then(|line| line.trim().split(' ').next()?.parse().ok());
        kilobytes.unwrap_or(0_u64) * 1024
    }

    /// Whether its process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    /// Whether it says that it is ready.
    pub fn is_ready(&self) -> bool {
        let request = b"GET /ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
        http::call(self.ready, request, Duration::from_millis(900)).status == 200
    }

    /// Waits until it is ready, for `limit` at most, and returns whether it is.
    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while !self.is_ready() {
            if Instant::now() >= until {
                return false;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        true
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}
