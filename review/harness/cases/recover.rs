//! Another writer leaves an entry that can't be read among the servers; then all processes are killed.

use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Request;
use crate::record::Record;
use crate::server::Server;
use crate::site::{APP, Ask, Client, LLM, Site};

/// An entry of another writer: one of its fields holds half of a character, which no text can.
const UNREADABLE: &str = r#"{"service":"\ud83d","address":7,"state":"?"}"#;

/// How long the processes are down, as on the standard days of the site.
const DOWN: Duration = Duration::from_millis(950);

/// `recover-s`.
const RECOVER: Duration = Duration::from_secs(12);

/// How long clients send before the final fault, and after `recover-s`.
const TRAFFIC: Duration = Duration::from_secs(6);

fn work(server: &Server, request: &Request, stream: &mut TcpStream) -> bool {
    server.on_arrival(request);
    thread::sleep(Duration::from_millis(60));
    if server.service == LLM {
        return server.begin_stream(request, stream)
            && server.send_events(request, stream, 4, Duration::from_millis(20));
    }
    server.answer(request, stream, 200, "Server-Load: 1,0,6\r\n", "done")
}

fn asks() -> [Ask; 3] {
    let app = |path| Ask {
        path,
        patience: Duration::from_secs(3),
        lines: String::new(),
        body: 600,
    };
    let draft = Ask {
        path: "/draft/desk",
        patience: Duration::from_secs(10),
        lines: "Model: m\r\nToken-Counts: 5000,80\r\nPrompt-Prefix: a1:40,b1:4960\r\n".to_owned(),
        body: 1200,
    };
    [app("/swap/confirm"), app("/roster/today"), draft]
}

/// Sends requests to all machines in turn until `ended`; returns when each was sent and whether it was served.
fn traffic(
    client: Client,
    nodes: Vec<(String, std::net::SocketAddr)>,
    ended: Arc<AtomicBool>,
) -> Vec<(Instant, bool)> {
    let mut calls = Vec::new();
    for number in 0.. {
        if ended.load(Ordering::SeqCst) {
            break;
        }
        let (client, ask) = (client.clone(), asks()[number % 3].clone());
        let (name, front) = nodes[number % nodes.len()].clone();
        calls.push(thread::spawn(move || {
            let sent = Instant::now();
            let (_, answer) = client.send((&name, front), "ask", &ask);
            (sent, answer.is_success())
        }));
        thread::sleep(Duration::from_millis(70));
    }
    calls
        .into_iter()
        .filter_map(|call| call.join().ok())
        .collect()
}

pub fn run(trouble: bool, record: &Arc<Record>) -> Result<String, String> {
    let mut site = Site::start((3, work), (2, work), &[0.17, 0.17, 0.17], record);
    site.settle();
    let ended = Arc::new(AtomicBool::new(false));
    let nodes = site
        .nodes
        .iter()
        .map(|node| (node.name.clone(), node.front));
    let (client, nodes, flag) = (site.client(), nodes.collect(), Arc::clone(&ended));
    let calls = thread::spawn(move || traffic(client, nodes, flag));
    thread::sleep(TRAFFIC);
    if trouble {
        site.store.put("servers", "x-from-elsewhere", UNREADABLE);
        thread::sleep(Duration::from_secs(2));
    }
    let struck = Instant::now();
    for node in &mut site.nodes {
        node.kill();
    }
    thread::sleep(DOWN);
    for node in &mut site.nodes {
        node.spawn();
    }
    let back = Instant::now();
    thread::sleep(RECOVER + TRAFFIC);
    ended.store(true, Ordering::SeqCst);
    let ready = site.nodes.iter().filter(|node| node.is_ready()).count();
    let calls = calls.join().unwrap_or_default();
    site.stop();
    let share = |calls: &[&(Instant, bool)]| {
        let served = calls.iter().filter(|(_, served)| *served).count();
        (served, calls.len())
    };
    let before: Vec<_> = calls.iter().filter(|(sent, _)| *sent < struck).collect();
    let after: Vec<_> = calls
        .iter()
        .filter(|(sent, _)| *sent >= back + RECOVER)
        .collect();
    let ((served_before, sent_before), (served, sent)) = (share(&before), share(&after));
    if sent == 0 || served_before * 4 < sent_before {
        crate::cannot_run("too little was served before the final fault");
    }
    let text = format!(
        "{served_before} of {sent_before} served before the final fault, {served} of {sent} sent later \
         than recover-s after it; {ready} of 3 machines are ready at the end"
    );
    if served * 4 < sent {
        Err(format!("RECOVER: {text}"))
    } else {
        Ok(text)
    }
}

/// `drain-ms`.
const DRAIN: Duration = Duration::from_secs(2);

/// Another writer leaves the same entry, and later a server leaves in a quiet hour.
pub fn run_drain(trouble: bool, record: &Arc<Record>) -> Result<String, String> {
    let site = Site::start((1, work), (2, work), &[0.17, 0.17, 0.17], record);
    site.settle();
    if trouble {
        site.store.put("servers", "x-from-elsewhere", UNREADABLE);
    }
    thread::sleep(Duration::from_secs(4));
    let leaving = site.servers_of(APP).remove(0);
    let acknowledged = leaving.drain(&site.store);
    thread::sleep(DRAIN + Duration::from_secs(1));
    let client = site.client();
    for number in 0..12 {
        let node = &site.nodes[number % site.nodes.len()];
        client.send((&node.name, node.front), "ask", &asks()[1]);
    }
    let arrivals = leaving.arrivals();
    let late = arrivals
        .iter()
        .filter(|arrival| arrival.at > acknowledged + DRAIN);
    let late = late.count();
    site.stop();
    let text =
        format!("{late} requests reached a server later than drain-ms after it was draining");
    if late > 0 {
        Err(format!("DRAIN: {text}"))
    } else {
        Ok(text)
    }
}
