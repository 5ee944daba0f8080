//! One part of a prompt crashes each server that begins to write an answer on it, while sound
//! requests with the same first part come.

use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Conn, reset};
use crate::manifest::{KEY, manifest};
use crate::node::Node;
use crate::record::Record;
use crate::server::{Server, head};
use crate::store::Store;

const NODES: usize = 3;
const SERVERS: usize = 6;
/// The first part of all prompts, and the part that crashes servers.
const SHARED: &str = "5c1e07a2:40";
const DEADLY: &str = "dead07a2:165";
/// How long a server takes to the first event, and how long it is away after a crash.
const READ_TIME: Duration = Duration::from_millis(40);
const DOWNTIME: Duration = Duration::from_secs(2);
const CALM: Duration = Duration::from_secs(4);
const TROUBLED: Duration = Duration::from_secs(24);
const SOUND_PAUSE: Duration = Duration::from_millis(60);
const POISON_PAUSE: Duration = Duration::from_millis(500);
/// The time between two bursts of deadly requests, and the requests in one.
const BURST_PAUSE: Duration = Duration::from_secs(5);
const BURST: usize = 12;
const STABLE_WINDOW: Duration = Duration::from_secs(3);

/// What happened to the requests, for the check.
#[derive(Default)]
struct Seen {
    /// The requests that a server began to answer.
    begun: Mutex<Vec<String>>,
    /// The deadly requests that reached a server, and when.
    deadly: Mutex<Vec<(String, Instant)>>,
    crashes: Mutex<Vec<Instant>>,
    /// The sound requests and when they were sent.
    sound: Mutex<Vec<(String, Instant)>>,
    /// When a sound request was answered with something else than a whole stream.
    lost: Mutex<Vec<Instant>>,
}

/// A server that can crash.
#[derive(Default)]
struct Life {
    is_down: AtomicBool,
    born: AtomicU64,
    open: Mutex<Vec<TcpStream>>,
}

impl Life {
    fn reset_all(&self) {
        for stream in self.open.lock().unwrap().drain(..) {
            reset(&stream);
        }
    }
}

/// What is played.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    /// Sound answers have neither a length nor chunks; one deadly request at a time.
    Unframed,
    /// Sound answers have a length; one deadly request at a time.
    Framed,
    /// Sound answers have a length; the deadly requests come in bursts.
    Bursts,
}

pub fn run(trouble: bool, mode: Mode, record: &Record, folder: &Path) -> u8 {
    let store = Store::start();
    store.put("config", "main", &manifest(7));
    let seen = Arc::new(Seen::default());
    for number in 0..SERVERS {
        start_server(number, mode, &store, &seen, record);
    }
    let nodes: Vec<Node> = (0..NODES)
        .map(|number| Node::start(&format!("front-hcm-a-{number}"), store.address, folder))
        .collect();
    if !nodes.iter().all(Node::wait_until_ready) {
        record.line("a node did not become ready");
        return 2;
    }
    thread::sleep(Duration::from_secs(4));
    let fronts: Vec<_> = nodes.iter().map(|node| node.front).collect();
    let began = Instant::now();
    let mut callers = Vec::new();
    let (mut number, mut next_poison) = (0, CALM);
    record.line("sound requests begin");
    while began.elapsed() < CALM + TROUBLED {
        let is_poison = trouble && began.elapsed() >= next_poison;
        let count = if is_poison && mode == Mode::Bursts {
            BURST
        } else {
            1
        };
        if is_poison {
            next_poison += if mode == Mode::Bursts {
                BURST_PAUSE
            } else {
                POISON_PAUSE
            };
        }
        for _ in 0..count {
            number += 1;
            let parts = if is_poison {
                format!("{SHARED},{DEADLY}")
            } else {
                SHARED.to_owned()
            };
            let kind = if is_poison { "poison" } else { "sound" };
            let id = format!("{kind}{number:06x}");
            // Where bursts come, sound streams are longer and may not be resumed.
            let is_long = mode == Mode::Bursts && !is_poison;
            let route = if is_long { "letter" } else { "draft" };
            let request = format!(
                "POST /{route}/2f HTTP/1.1\r\nHost: site.example\r\nRequest-Id: {id}\r\nModel: m\r\nToken-Counts: 400,40\r\nPrompt-Prefix: {parts},f{number:06x}:60\r\nDeadline-Ms: 10000\r\nAuthorization: Token {KEY}\r\nContent-Length: 4\r\n\r\nbody"
            );
            if !is_poison {
                seen.sound
                    .lock()
                    .unwrap()
                    .push((id.clone(), Instant::now()));
            }
            let (front, record) = (fronts[number % NODES], record.clone());
            let seen = Arc::clone(&seen);
            callers.push(thread::spawn(move || {
                let is_whole = send(front, &id, &request, &record);
                if !is_whole && !is_poison {
                    seen.lost.lock().unwrap().push(Instant::now());
                }
            }));
        }
        thread::sleep(SOUND_PAUSE);
    }
    for caller in callers {
        let _ = caller.join();
    }
    if mode == Mode::Bursts {
        judge_bursts(&seen, record)
    } else {
        judge(&seen, began, record)
    }
}

/// Sends a request, and returns whether the answer is a whole stream.
fn send(front: SocketAddr, id: &str, request: &str, record: &Record) -> bool {
    let answer = Conn::connect(front)
        .ok()
        .and_then(|mut conn| conn.exchange(request.as_bytes()));
    let is_whole = answer
        .as_ref()
        .is_some_and(|answer| answer.status() == 200 && answer.complete);
    let told = match answer {
        None => "no answer".to_owned(),
        Some(answer) if answer.status() == 200 => format!("200, complete: {}", answer.complete),
        Some(answer) => {
            let text = String::from_utf8_lossy(&answer.body).into_owned();
            let detail = text.split("\"detail\":\"").nth(1).unwrap_or("");
            let detail = detail.split('"').next().unwrap_or("");
            let after = answer.header("retry-after").unwrap_or("-");
            format!("{} retry-after {after}: {detail}", answer.status())
        }
    };
    record.line(&format!("caller: {id} answered {told}"));
    is_whole
}

/// Whether more than three deadly requests reached servers later than a stable window after the
/// fifth crash.
fn judge_bursts(seen: &Seen, record: &Record) -> u8 {
    let crashes = seen.crashes.lock().unwrap();
    let deadly = seen.deadly.lock().unwrap();
    let fifth = crashes.get(4).copied();
    let late = fifth.map_or(0, |fifth| {
        let late = deadly.iter().filter(|(_, at)| *at > fifth + STABLE_WINDOW);
        late.count()
    });
    let sound = seen.sound.lock().unwrap().len();
    let lost = seen.lost.lock().unwrap();
    let lost_late = fifth.map_or(0, |fifth| {
        lost.iter()
            .filter(|at| **at > fifth + STABLE_WINDOW)
            .count()
    });
    record.line(&format!(
        "{} crashes; {late} arrivals of deadly requests later than a stable window after the fifth, 3 are allowed; {} of {sound} sound requests had no whole answer, {lost_late} of them after that time",
        crashes.len(),
        lost.len()
    ));
    u8::from(late > 3)
}

/// Whether sound requests began less than half as often as in the calm time before.
fn judge(seen: &Seen, began: Instant, record: &Record) -> u8 {
    let crashes = seen.crashes.lock().unwrap();
    let begun = seen.begun.lock().unwrap();
    let sound = seen.sound.lock().unwrap();
    let share = |from: Instant, until: Instant| {
        let sent = sound.iter().filter(|(_, at)| *at >= from && *at < until);
        let ids: Vec<&String> = sent.map(|(id, _)| id).collect();
        let count = ids.iter().filter(|id| begun.contains(id)).count();
        (count, ids.len())
    };
    let calm = share(began, began + CALM);
    let fifth = crashes.get(4).or(crashes.last()).copied();
    let from = fifth.unwrap_or(began + CALM) + STABLE_WINDOW * 2;
    let late = share(from, began + CALM + TROUBLED);
    record.line(&format!(
        "{} crashes; sound requests that began: {} of {} in the calm time, {} of {} from two stable windows after the fifth crash",
        crashes.len(),
        calm.0,
        calm.1,
        late.0,
        late.1
    ));
    if calm.1 < 20 || late.1 < 20 {
        return 2;
    }
    let rate = |(count, of): (usize, usize)| count as f64 / of as f64;
    u8::from(rate(late) < rate(calm) / 2.0)
}

fn start_server(number: usize, mode: Mode, store: &Arc<Store>, seen: &Arc<Seen>, record: &Record) {
    let framed = mode != Mode::Unframed;
    let id = format!("i-lm{number}");
    let life = Arc::new(Life::default());
    life.born
        .store(1_700_000_000_000 + number as u64, Ordering::SeqCst);
    let zone = ["hcm-a", "hcm-b", "hcm-c"][number % 3];
    let (own, log) = (id.clone(), record.clone());
    let (lives, all, registry) = (Arc::clone(&life), Arc::clone(seen), Arc::clone(store));
    let entry: Arc<Mutex<String>> = Arc::default();
    let entries = Arc::clone(&entry);
    let server = Server::start(&id, move |conn, mut request| {
        if lives.is_down.load(Ordering::SeqCst) {
            reset(&conn.stream);
            return false;
        }
        if let Ok(stream) = conn.stream.try_clone() {
            lives.open.lock().unwrap().push(stream);
        }
        conn.read_body(&mut request, false);
        let name = request.header("request-id").unwrap_or("-").to_owned();
        let is_deadly = request
            .header("prompt-prefix")
            .is_some_and(|parts| parts.contains(DEADLY));
        if is_deadly {
            all.deadly
                .lock()
                .unwrap()
                .push((name.clone(), Instant::now()));
        }
        thread::sleep(READ_TIME);
        if lives.is_down.load(Ordering::SeqCst) {
            return false;
        }
        all.begun.lock().unwrap().push(name.clone());
        log.line(&format!("{own}: {name} begins to run"));
        let event = format!("id: 1\ndata: {name}\n\n");
        if mode == Mode::Bursts && !is_deadly {
            return send_slowly(conn, &request, &lives);
        }
        let length = if framed {
            format!("Content-Length: {}\r\n", event.len())
        } else {
            String::new()
        };
        let answer = head("200 OK", &request);
        let answer =
            format!("{answer}Content-Type: text/event-stream\r\nConnection: close\r\n{length}\r\n");
        if is_deadly {
            // Another deadly request may have crashed it just now.
            if lives.is_down.swap(true, Ordering::SeqCst) {
                return false;
            }
            let _ = conn.send(answer.as_bytes());
            log.line(&format!("{own}: crashes on {name}"));
            all.crashes.lock().unwrap().push(Instant::now());
            lives.reset_all();
            let (lives, registry, own) = (Arc::clone(&lives), Arc::clone(&registry), own.clone());
            let (entries, log) = (Arc::clone(&entries), log.clone());
            thread::spawn(move || {
                thread::sleep(DOWNTIME);
                let born = lives.born.fetch_add(100_000, Ordering::SeqCst) + 100_000;
                let entry = entries.lock().unwrap().clone();
                registry.put("servers", &own, &entry.replace("BORN", &born.to_string()));
                lives.is_down.store(false, Ordering::SeqCst);
                log.line(&format!("{own}: is back"));
            });
            return false;
        }
        let _ = conn.send(format!("{answer}{event}").as_bytes());
        // The copy in `open` would keep the connection open.
        let _ = conn.stream.shutdown(std::net::Shutdown::Write);
        false
    });
    let text = server
        .entry("lm", zone, 16)
        .replace("1700000000000", "BORN");
    *entry.lock().unwrap() = text.clone();
    let born = life.born.load(Ordering::SeqCst).to_string();
    store.put("servers", &id, &text.replace("BORN", &born));
}

/// Answers with five events, one each 100 ms, unless the server crashes meanwhile.
fn send_slowly(conn: &mut Conn, request: &crate::http::Message, life: &Life) -> bool {
    let events = [
        "id: 1\ndata: a\n\n",
        "id: 2\ndata: b\n\n",
        "id: 3\ndata: c\n\n",
        "id: 4\ndata: d\n\n",
        "id: 5\ndata: e\n\n",
    ];
    let length: usize = events.iter().map(|event| event.len()).sum();
    let answer = head("200 OK", request);
    let answer = format!(
        "{answer}Content-Type: text/event-stream\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n"
    );
    let mut sent = conn.send(answer.as_bytes());
    for event in events {
        if sent.is_err() || life.is_down.load(Ordering::SeqCst) {
            return false;
        }
        sent = conn.send(event.as_bytes());
        thread::sleep(Duration::from_millis(100));
    }
    let _ = conn.stream.shutdown(std::net::Shutdown::Write);
    false
}
