//! A small deployment: the store, servers, machines and clients.

use std::net::IpAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crate::http::{self, Answer};
use crate::node::{Node, Ports};
use crate::record::Record;
use crate::server::{Server, Work};
use crate::store::Store;

pub const LLM: &str = "rota-llm";
pub const APP: &str = "rota-app";
pub const ZONES: [&str; 3] = ["hcm-a", "hcm-b", "hcm-c"];
const KEY: &str = "n2ctnfzs989anu6wsjnb";

/// The figures of the engines are those of the site file.
pub const MANIFEST: &str = r#"{"version":7,"routes":[
{"name":"r-draft","host":"rota.example","path-prefix":"/draft/","kind":"stream","timeout-ms":10000,"slo-ms":300,"priority":1,"service":"rota-llm","attempts":2,"public":false,"sticky":true,"resumable":true,"gap-aim-ms":200},
{"name":"r-rebuild","host":"rota.example","path-prefix":"/rebuild/","kind":"stream","timeout-ms":15000,"slo-ms":3000,"priority":1,"service":"rota-llm","attempts":2,"public":false,"sticky":true,"resumable":true,"gap-aim-ms":800},
{"name":"r-swap","host":"rota.example","path-prefix":"/swap/","kind":"unsafe","timeout-ms":3000,"slo-ms":300,"priority":2,"service":"rota-app","attempts":1,"public":false},
{"name":"r-roster","host":"rota.example","path-prefix":"/roster/","kind":"safe","timeout-ms":1500,"slo-ms":300,"priority":2,"service":"rota-app","attempts":2,"public":false}],
"services":[{"name":"rota-llm","health-path":"/health","max-conns":976,"protocol":"h1","tls":false,"cold-start-s":3.0,"cold-per-s":36.0,
"engine":{"slots":16,"kv-tokens":450000,"kv-bytes":327680,"link-mbps":400000.0,"stride":46,"models":[{"name":"m"}],"step_ms":0.925,"per_seq_ms":0.00483,"context_per_k":0.00254,"read_per_s":256000.0,"pairs_per_m":0.0917,"chunk":2048,"report_lag_ms":200.0,"loads-per-s":0.0,"loads_at_once":8,"delays":[],"usual":{"prompt":13239,"answer":1540},"hop-ms":0.1}},
{"name":"rota-app","health-path":"/health","max-conns":248,"protocol":"h1","tls":false,"cold-start-s":0.0,"cold-per-s":0.0}],
"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},
"tenants":[{"name":"hule930","api-keys":["n2ctnfzs989anu6wsjnb"],"priority":1}]}"#;

/// A request of a client.
#[derive(Debug, Clone)]
pub struct Ask {
    pub path: &'static str,
    pub patience: Duration,
    /// `Token-Counts` and `Prompt-Prefix`, each with its line end.
    pub lines: String,
    pub body: usize,
}

impl Ask {
    fn is_get(&self) -> bool {
        self.path.starts_with("/roster/")
    }
}

/// The deployment.
#[derive(Debug)]
pub struct Site {
    pub store: Arc<Store>,
    pub servers: Vec<Arc<Server>>,
    pub nodes: Vec<Node>,
    folder: PathBuf,
    clients: Client,
}

/// Sends requests under ids that are new each time.
#[derive(Debug, Clone)]
pub struct Client {
    record: Arc<Record>,
    next: Arc<AtomicU64>,
}

fn ip(last: usize) -> IpAddr {
    // Each run has addresses of its own, so that runs do not meet.
    let [_, _, high, low] = std::process::id().to_be_bytes();
    IpAddr::from([127, 64 + high % 64, low, last as u8])
}

impl Site {
    /// Starts the store, servers of both services, and a machine for each share of a core.
    pub fn start(
        llm: (usize, Work),
        app: (usize, Work),
        shares: &[f64],
        record: &Arc<Record>,
    ) -> Self {
        let folder =
            std::env::temp_dir().join(format!("catkinusher-review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        let store = Store::start(ip(1), record);
        store.put("config", "main", &MANIFEST.replace('\n', ""));
        let mut servers = Vec::new();
        for (service, slots, (count, work)) in [(LLM, 16, llm), (APP, 6, app)] {
            for index in 0..count {
                let number = servers.len();
                let place = (service, ZONES[index % ZONES.len()], slots);
                servers.push(Server::start(
                    ip(100 + number),
                    number,
                    place,
                    work,
                    &store,
                    record,
                ));
            }
        }
        let ips: Vec<_> = (0..shares.len()).map(|index| ip(10 + index)).collect();
        let ports = Ports::find(&ips);
        let nodes = shares.iter().enumerate().map(|(index, share)| {
            let zone = ZONES[index % ZONES.len()];
            let name = format!("front-{zone}-{}", index + 1);
            Node::start(
                &name,
                (ips[index], zone, *share),
                ports,
                store.address,
                &folder,
                record,
            )
        });
        let nodes = nodes.collect();
        let clients = Client {
            record: Arc::clone(record),
            next: Arc::default(),
        };
        Self {
            store,
            servers,
            nodes,
            folder,
            clients,
        }
    }

    /// Waits until all machines are ready and may carry duties.
    pub fn settle(&self) {
        for node in &self.nodes {
            if !node.wait_until_ready(Duration::from_secs(15)) {
                crate::cannot_run(&format!("{} is not ready", node.name));
            }
        }
        // Traffic starts 10 s after the machines do.
        std::thread::sleep(Duration::from_secs(10));
    }

    pub fn client(&self) -> Client {
        self.clients.clone()
    }

    /// The servers of a service.
    pub fn servers_of(&self, service: &str) -> Vec<Arc<Server>> {
        let found = self.servers.iter().filter(|one| one.service == service);
        found.cloned().collect()
    }

    /// Ends all processes and removes the temporary folder.
    pub fn stop(mut self) {
        self.nodes.clear();
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _removed = std::fs::remove_dir_all(&self.folder);
        } else {
            eprintln!("logs: {}", self.folder.display());
        }
    }
}

impl Client {
    /// Builds a request under a new id that begins with `label`.
    pub fn request(&self, label: &str, ask: &Ask) -> (String, Vec<u8>) {
        let number = self.next.fetch_add(1, Ordering::SeqCst);
        let id = format!("{label}-{number:04}");
        let (method, length, body) = if ask.is_get() {
            ("GET", String::new(), 0)
        } else {
            (
                "POST",
                format!("Content-Length: {}\r\n", ask.body),
                ask.body,
            )
        };
        let head = format!(
            "{method} {} HTTP/1.1\r\nHost: rota.example\r\nRequest-Id: {id}\r\nDeadline-Ms: {}\r\n\
             Authorization: Token {KEY}\r\n{}{length}\r\n",
            ask.path,
            ask.patience.as_millis(),
            ask.lines
        );
        let mut bytes = head.into_bytes();
        bytes.resize(bytes.len() + body, b'x');
        (id, bytes)
    }

    /// Sends a request to a machine, under an id that begins with `label`.
    pub fn send(
        &self,
        node: (&str, std::net::SocketAddr),
        label: &str,
        ask: &Ask,
    ) -> (String, Answer) {
        let (id, bytes) = self.request(label, ask);
        let method = if ask.is_get() { "GET" } else { "POST" };
        self.record.note(&format!(
            "client: {id} {method} {} is sent to {}",
            ask.path, node.0
        ));
        let answer = http::call(node.1, &bytes, ask.patience);
        self.record.note(&format!(
            "client: {id} gets {} after {} ms ({}): {}",
            answer.status,
            answer.took.as_millis(),
            if answer.whole { "whole" } else { "not whole" },
            String::from_utf8_lossy(&answer.body[..answer.body.len().min(160)]).replace('\n', " ")
        ));
        (id, answer)
    }
}
