//! Machines are stopped and started in turn, while the store does some writes late and does not
//! answer them, or while its reads that may be old are some seconds old.

use std::collections::HashMap;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Conn;
use crate::manifest::{KEY, manifest};
use crate::node::Node;
use crate::record::Record;
use crate::server::{Server, whole};
use crate::store::Store;

const NODES: usize = 18;
/// The machines that are stopped at the same time.
const AT_ONCE: usize = 2;
/// How many nodes have their removal done late.
const LATE: usize = 3;
/// How many other machines are stopped and started for each of those.
const OTHERS: usize = 2;
const SERVICES: usize = 4;
/// How old the data of reads with `serializable` is.
const LAG: Duration = Duration::from_secs(3);
/// The `Server-Limit` of each server, in requests a second.
const LIMIT: f64 = 10.0;
const STABLE_WINDOW: Duration = Duration::from_secs(3);
const WINDOW: Duration = Duration::from_secs(4);
const TRAFFIC: Duration = Duration::from_secs(16);
/// Each node gets a request for each service this often.
const PAUSE: Duration = Duration::from_millis(100);

/// An arrival at a server: when, and through which node.
type Arrivals = Arc<Mutex<Vec<(Instant, usize)>>>;

/// When a node passed on the first answer with a limit, by service and node.
type Passed = Arc<Mutex<HashMap<(usize, usize), Instant>>>;

/// What the store does while machines are restarted.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    LateWrites,
    OldReads,
}

/// Stops and starts some nodes at the same time.
fn restart(nodes: Vec<&mut Node>) {
    thread::scope(|scope| {
        for node in nodes {
            scope.spawn(|| {
                node.restart();
                node.wait_until_ready();
            });
        }
    });
}

/// The node that places the requests of the service `app0`, as a node tells that is not in `done`.
fn find_holder(nodes: &[Node], done: &[usize]) -> Option<usize> {
    let asked = (0..nodes.len()).find(|index| !done.contains(index))?;
    let mut conn = Conn::connect(nodes[asked].ready).ok()?;
    let answer = conn.exchange(
        b"GET /where?host=site.example&path=/app0/2f&customer=hule930 HTTP/1.1\r\nHost: a\r\n\r\n",
    )?;
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    if !text.contains("\"outcome\":\"elsewhere\"") {
        return (answer.status() == 200).then_some(asked);
    }
    nodes
        .iter()
        .position(|node| text.contains(&format!("\"{}\"", node.peers)))
}

pub fn run(trouble: bool, mode: Mode, record: &Record, folder: &Path) -> u8 {
    let store = Store::start();
    if mode == Mode::OldReads {
        *store.lag.lock().unwrap() = LAG;
    }
    store.put("config", "main", &manifest(7));
    let names_limit = Arc::new(AtomicBool::new(false));
    let arrivals: Vec<Arrivals> = (0..SERVICES).map(|_| Arrivals::default()).collect();
    for (number, arrivals) in arrivals.iter().enumerate() {
        let (arrivals, names_limit) = (Arc::clone(arrivals), Arc::clone(&names_limit));
        let server = Server::start(&format!("i-app{number}"), move |conn, mut request| {
            conn.read_body(&mut request, false);
            let node = request
                .header("request-id")
                .and_then(|id| id[1..3].parse().ok());
            let limited = names_limit.load(Ordering::SeqCst);
            if limited {
                arrivals
                    .lock()
                    .unwrap()
                    .push((Instant::now(), node.unwrap_or(0)));
            }
            let lines = if limited {
                format!("Server-Limit: {LIMIT}\r\n")
            } else {
                String::new()
            };
            conn.send(whole("200 OK", &request, &lines, "done").as_bytes())
                .is_ok()
        });
        let entry = server.entry(&format!("app{number}"), "hcm-a", 6);
        store.put("servers", &server.id, &entry);
    }
    thread::sleep(LAG + Duration::from_millis(500));
    let mut nodes: Vec<Node> = (0..NODES)
        .map(|number| Node::start(&format!("front-hcm-a-{number}"), store.address, folder))
        .collect();
    if !nodes.iter().all(Node::wait_until_ready) {
        record.line("a node did not become ready");
        return 2;
    }
    thread::sleep(Duration::from_secs(4));
    let count = || store.names("catkinusher-nodes").len();
    record.line(&format!("{} of {NODES} nodes are registered", count()));
    if mode == Mode::OldReads {
        if !trouble {
            *store.lag.lock().unwrap() = Duration::ZERO;
        }
        for group in nodes.chunks_mut(AT_ONCE) {
            restart(group.iter_mut().collect());
            record.line(&format!(
                "{AT_ONCE} nodes were stopped and started; {} are registered",
                count()
            ));
        }
    } else {
        let mut done: Vec<usize> = Vec::new();
        for _ in 0..LATE {
            let Some(holder) = find_holder(&nodes, &done) else {
                record.line("no node tells which one places the requests");
                return 2;
            };
            let name = nodes[holder].name.clone();
            record.line(&format!(
                "{name} places the requests of app0, and is stopped and started"
            ));
            if trouble {
                store.late.lock().unwrap().push(name);
            }
            done.push(holder);
            let calm: Vec<usize> = (0..NODES).filter(|one| !done.contains(one)).collect();
            let others = &calm[calm.len() - OTHERS..];
            for index in [holder].iter().chain(others) {
                restart(vec![&mut nodes[*index]]);
            }
            thread::sleep(Duration::from_secs(5));
            record.line(&format!("{} nodes are registered", count()));
        }
        for (write, is_late) in store.writes.lock().unwrap().iter() {
            record.line(&format!(
                "write {write}{}",
                if *is_late { ", late" } else { "" }
            ));
        }
    }
    thread::sleep(Duration::from_secs(5));
    record.line(&format!(
        "{} of {NODES} nodes are registered; servers name a limit of {LIMIT} a second from now on",
        count()
    ));
    names_limit.store(true, Ordering::SeqCst);
    let began = Instant::now();
    let passed = Passed::default();
    thread::scope(|scope| {
        for (number, node) in nodes.iter().enumerate() {
            let (passed, front) = (Arc::clone(&passed), node.front);
            scope.spawn(move || {
                let mut sent = 0;
                let Ok(mut conn) = Conn::connect(front) else {
                    return;
                };
                while began.elapsed() < TRAFFIC {
                    let round = Instant::now();
                    for service in 0..SERVICES {
                        sent += 1;
                        let request = format!(
                            "GET /app{service}/2f HTTP/1.1\r\nHost: site.example\r\nRequest-Id: n{number:02}{sent:012x}\r\nDeadline-Ms: 3000\r\nAuthorization: Token {KEY}\r\n\r\n"
                        );
                        let answer = conn.exchange(request.as_bytes());
                        let Some(answer) = answer else {
                            match Conn::connect(front) {
                                Ok(next) => conn = next,
                                Err(_) => return,
                            }
                            continue;
                        };
                        if answer.status() == 200 && answer.header("server-limit").is_some() {
                            let mut passed = passed.lock().unwrap();
                            passed.entry((service, number)).or_insert_with(Instant::now);
                        }
                    }
                    thread::sleep(PAUSE.saturating_sub(round.elapsed()));
                }
            });
        }
    });
    let allowed = 1.5 * LIMIT * WINDOW.as_secs_f64() + 5.0;
    let passed = passed.lock().unwrap();
    let mut is_broken = false;
    for (service, arrivals) in arrivals.iter().enumerate() {
        let arrivals = arrivals.lock().unwrap();
        let counted: Vec<(Instant, usize)> = arrivals
            .iter()
            .filter(|(at, node)| {
                let first = passed.get(&(service, *node));
                *at >= began + STABLE_WINDOW
                    && first.is_some_and(|first| *at >= *first + Duration::from_millis(500))
            })
            .copied()
            .collect();
        let most = (0..counted.len())
            .map(|first| {
                let until = counted[first].0 + WINDOW;
                counted[first..]
                    .iter()
                    .take_while(|(at, _)| *at < until)
                    .count()
            })
            .max()
            .unwrap_or(0);
        let mut by_node = HashMap::new();
        for (_, node) in &counted {
            *by_node.entry(node).or_insert(0) += 1;
        }
        let mut by_node: Vec<_> = by_node.into_iter().collect();
        by_node.sort_by_key(|(_, count)| std::cmp::Reverse(*count));
        by_node.truncate(6);
        record.line(&format!(
            "server i-app{service}: at most {most} requests in 4 s, {allowed} are allowed; most by (node, count) {by_node:?}"
        ));
        is_broken |= most as f64 > allowed;
    }
    u8::from(is_broken)
}
