//! Prompts with a part that crashes each server which begins to answer them.

use std::net::TcpStream;
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::http::{Answer, Request};
use crate::record::Record;
use crate::server::Server;
use crate::site::{Ask, Client, LLM, Site};

/// How long a crashed server is away.
const DOWN: Duration = Duration::from_secs(2);

/// `stable-window-ms`.
const STABLE: Duration = Duration::from_secs(3);

/// The sound parts before the deadly one.
const DOCUMENTS: usize = 33;

/// The deadly requests of one burst, which fill a few servers.
const BURST: usize = 30;

fn engine(server: &Server, request: &Request, stream: &mut TcpStream) -> bool {
    server.on_arrival(request);
    thread::sleep(Duration::from_millis(40));
    let prefix = request.header("prompt-prefix").unwrap_or_default();
    if prefix.contains("dead:") {
        server.begin_stream(request, stream);
        server.crash(DOWN);
        return false;
    }
    server.begin_stream(request, stream)
        && server.send_events(request, stream, 4, Duration::from_millis(20))
}

fn app(server: &Server, request: &Request, stream: &mut TcpStream) -> bool {
    server.on_arrival(request);
    server.answer(request, stream, 200, "Server-Load: 1,0,6\r\n", "done")
}

type Call = JoinHandle<(Instant, Answer)>;

/// Sends streams to all machines in turn.
struct Sender {
    client: Client,
    nodes: Vec<(String, std::net::SocketAddr)>,
    sent: usize,
}

impl Sender {
    fn new(site: &Site) -> Self {
        let nodes = site
            .nodes
            .iter()
            .map(|node| (node.name.clone(), node.front));
        Self {
            client: site.client(),
            nodes: nodes.collect(),
            sent: 0,
        }
    }

    /// Sends a prompt with these shared parts and a last part of its own.
    fn send(&mut self, label: &'static str, shared: &str) -> Call {
        self.sent += 1;
        let (name, front) = self.nodes[self.sent % self.nodes.len()].clone();
        let client = self.client.clone();
        let ask = Ask {
            path: "/draft/desk",
            patience: Duration::from_secs(10),
            lines: format!(
                "Model: m\r\nToken-Counts: 1260,80\r\nPrompt-Prefix: {shared},f{:05x}:60\r\n",
                self.sent
            ),
            body: 1200,
        };
        thread::spawn(move || {
            let sent = Instant::now();
            let (_, answer) = client.send((&name, front), label, &ask);
            (sent, answer)
        })
    }
}

fn pause(millis: u64) {
    thread::sleep(Duration::from_millis(millis));
}

/// The times of all crashes of the model servers.
fn crashes(site: &Site) -> Vec<Instant> {
    let servers = site.servers_of(LLM);
    let mut times: Vec<_> = servers.iter().flat_map(|server| server.crashes()).collect();
    times.sort();
    times
}

/// After a planned restart, the first prompts of a caller hold the deadly part; its sound ones follow.
pub fn run_sound(trouble: bool, record: &Arc<Record>) -> Result<String, String> {
    let mut site = Site::start((8, engine), (1, app), &[0.17, 0.17, 0.17], record);
    site.settle();
    let mut sender = Sender::new(&site);
    let sound = |number: usize| format!("c7:1000,b{}:200", number % 5);
    let mut before = Vec::new();
    for number in 0..40 {
        before.push(sender.send("sound", &sound(number)));
        pause(100);
    }
    let before: Vec<_> = before
        .into_iter()
        .filter_map(|call| call.join().ok())
        .collect();
    for node in &mut site.nodes {
        if !node.restart_by_term(Duration::from_secs(9)) {
            crate::cannot_run("a machine did not stop in time");
        }
        if !node.wait_until_ready(Duration::from_secs(10)) {
            crate::cannot_run("a machine is not ready again");
        }
    }
    thread::sleep(STABLE + Duration::from_secs(1));
    // The deadly prompts come alone for a while, then beside the sound ones.
    let (mut deadly, mut after) = (Vec::new(), Vec::new());
    let begun = Instant::now();
    for tick in 0.. {
        let elapsed = begun.elapsed();
        if elapsed >= Duration::from_secs(18) {
            break;
        }
        if trouble && tick % 3 == 0 {
            deadly.push(sender.send("deadly", "c7:1000,dead:200"));
        }
        if elapsed >= Duration::from_secs(3) {
            after.push(sender.send("sound", &sound(tick)));
        }
        pause(120);
    }
    let after: Vec<_> = after
        .into_iter()
        .filter_map(|call| call.join().ok())
        .collect();
    for call in deadly {
        let _ended = call.join();
    }
    let crashes = crashes(&site);
    site.stop();
    let from = if trouble {
        let Some(crash) = crashes.get(4).or(crashes.last()) else {
            crate::cannot_run("no server crashed");
        };
        *crash + STABLE * 2
    } else {
        begun + STABLE * 2
    };
    let late: Vec<_> = after.iter().filter(|(sent, _)| *sent >= from).collect();
    let begins = |calls: &[&(Instant, Answer)]| {
        let begun = calls.iter().filter(|(_, answer)| answer.status == 200);
        (begun.count(), calls.len())
    };
    let (served, sent) = begins(&before.iter().collect::<Vec<_>>());
    let (late_served, late_sent) = begins(&late);
    if sent < 20 || late_sent < 20 || served * 2 < sent {
        crate::cannot_run("too few sound requests");
    }
    let text = format!(
        "{} crashes; sound requests that began at the first attempt: {served} of {sent} before, \
         {late_served} of {late_sent} later than 2 x stable-window-ms after the fifth crash",
        crashes.len()
    );
    // Less than half as often.
    if late_served * sent * 2 < served * late_sent {
        Err(format!("LOST: {text}"))
    } else {
        Ok(text)
    }
}

/// The deadly part stands behind many sound ones.
pub fn run_deep(trouble: bool, record: &Arc<Record>) -> Result<String, String> {
    let site = Site::start((8, engine), (1, app), &[0.17, 0.17, 0.17], record);
    site.settle();
    send_deadly(site, DOCUMENTS, trouble)
}

/// Most machines have been removed for good before deadly prompts come.
pub fn run_quorum(trouble: bool, record: &Arc<Record>) -> Result<String, String> {
    let mut site = Site::start((8, engine), (1, app), &[0.17; 7], record);
    site.settle();
    if trouble {
        site.nodes.drain(..4);
    }
    thread::sleep(STABLE * 2);
    send_deadly(site, 2, true)
}

/// Sends deadly prompts beside sound ones, with so many sound parts before the deadly one.
fn send_deadly(site: Site, documents: usize, trouble: bool) -> Result<String, String> {
    let mut sender = Sender::new(&site);
    let documents: Vec<_> = (1..=documents)
        .map(|number| format!("d{number:02}:30"))
        .collect();
    let documents = documents.join(",");
    let mut calls = Vec::new();
    for tick in 0..200 {
        if trouble && tick % 4 == 2 {
            calls.push(sender.send("deadly", &format!("{documents},dead:200")));
        }
        calls.push(sender.send("sound", &format!("{documents},b{}:200", tick % 5)));
        pause(120);
    }
    judge_deadly(site, calls)
}

/// Counts the deadly requests that reached servers too late.
fn judge_deadly(site: Site, calls: Vec<Call>) -> Result<String, String> {
    let mut cut = 0;
    for call in calls {
        cut += usize::from(call.join().is_ok_and(|(_, answer)| !answer.is_success()));
    }
    let crashes = crashes(&site);
    let arrivals: Vec<_> = site
        .servers_of(LLM)
        .iter()
        .flat_map(|one| one.arrivals())
        .collect();
    site.stop();
    let Some(fifth) = crashes.get(4) else {
        return Ok(format!("{} crashes", crashes.len()));
    };
    let from = *fifth + STABLE;
    let late = arrivals
        .iter()
        .filter(|arrival| arrival.at > from && arrival.id.starts_with("deadly"))
        .count();
    let text = format!(
        "{} crashes, {late} arrivals of deadly requests later than stable-window-ms after the fifth; \
         {cut} requests of both kinds had no whole answer",
        crashes.len()
    );
    if late > 3 {
        Err(format!("BUDGET: {text}"))
    } else {
        Ok(text)
    }
}

/// The deadly prompts come in bursts, as a caller sends several at once.
pub fn run_bursts(trouble: bool, record: &Arc<Record>) -> Result<String, String> {
    let site = Site::start((8, engine), (1, app), &[0.17, 0.17, 0.17], record);
    site.settle();
    let mut sender = Sender::new(&site);
    let mut calls = Vec::new();
    for tick in 0..200 {
        if trouble && tick % 40 == 20 {
            for _ in 0..BURST {
                calls.push(sender.send("deadly", "c7:1000,dead:200"));
            }
        }
        calls.push(sender.send("sound", &format!("c7:1000,b{}:200", tick % 5)));
        pause(120);
    }
    judge_deadly(site, calls)
}
