//! One part of a prompt crashes each server that begins to write an answer on it, while sound
//! requests with the same first part get short answers without a length or chunks.

use std::net::TcpStream;
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
const STABLE_WINDOW: Duration = Duration::from_secs(3);

/// What happened to the requests, for the check.
#[derive(Default)]
struct Seen {
    /// The requests that a server began to answer.
    begun: Mutex<Vec<String>>,
    crashes: Mutex<Vec<Instant>>,
    /// The sound requests and when they were sent.
    sound: Mutex<Vec<(String, Instant)>>,
}

/// A server that can crash.
#[derive(Default)]
struct Life {
    is_down: AtomicBool,
    born: AtomicU64,
    open: Mutex<Vec<TcpStream>>,
}

impl Life {
    fn crash(&self) {
        self.is_down.store(true, Ordering::SeqCst);
        for stream in self.open.lock().unwrap().drain(..) {
            reset(&stream);
        }
    }
}

pub fn run(trouble: bool, framed: bool, record: &Record, folder: &Path) -> u8 {
    let store = Store::start();
    store.put("config", "main", &manifest(7));
    let seen = Arc::new(Seen::default());
    for number in 0..SERVERS {
        start_server(number, framed, &store, &seen, record);
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
        number += 1;
        let is_poison = trouble && began.elapsed() >= next_poison;
        let parts = if is_poison {
            next_poison += POISON_PAUSE;
            format!("{SHARED},{DEADLY}")
        } else {
            SHARED.to_owned()
        };
        let kind = if is_poison { "poison" } else { "sound" };
        let id = format!("{kind}{number:06x}");
        let request = format!(
            "POST /draft/2f HTTP/1.1\r\nHost: site.example\r\nRequest-Id: {id}\r\nModel: m\r\nToken-Counts: 400,40\r\nPrompt-Prefix: {parts},f{number:06x}:60\r\nDeadline-Ms: 10000\r\nAuthorization: Token {KEY}\r\nContent-Length: 4\r\n\r\nbody"
        );
        if !is_poison {
            seen.sound.lock().unwrap().push((id.clone(), Instant::now()));
        }
        let (front, record) = (fronts[number % NODES], record.clone());
        callers.push(thread::spawn(move || {
            let answer = Conn::connect(front)
                .ok()
                .and_then(|mut conn| conn.exchange(request.as_bytes()));
            let told = match answer {
                None => "no answer".to_owned(),
                Some(answer) if answer.status() == 200 => {
                    format!("200, complete: {}", answer.complete)
                }
                Some(answer) => {
                    let text = String::from_utf8_lossy(&answer.body).into_owned();
                    let detail = text.split("\"detail\":\"").nth(1).unwrap_or("");
                    let detail = detail.split('"').next().unwrap_or("");
                    let after = answer.header("retry-after").unwrap_or("-");
                    format!("{} retry-after {after}: {detail}", answer.status())
                }
            };
            record.line(&format!("caller: {id} answered {told}"));
        }));
        thread::sleep(SOUND_PAUSE);
    }
    for caller in callers {
        let _ = caller.join();
    }
    judge(&seen, began, record)
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

fn start_server(
    number: usize,
    framed: bool,
    store: &Arc<Store>,
    seen: &Arc<Seen>,
    record: &Record,
) {
    let id = format!("i-lm{number}");
    let life = Arc::new(Life::default());
    life.born.store(1_700_000_000_000 + number as u64, Ordering::SeqCst);
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
        thread::sleep(READ_TIME);
        if lives.is_down.load(Ordering::SeqCst) {
            return false;
        }
        all.begun.lock().unwrap().push(name.clone());
        log.line(&format!("{own}: {name} begins to run"));
        let event = format!("id: 1\ndata: {name}\n\n");
        let length = if framed {
            format!("Content-Length: {}\r\n", event.len())
        } else {
            String::new()
        };
        let answer = head("200 OK", &request);
        let answer = format!("{answer}Content-Type: text/event-stream\r\nConnection: close\r\n{length}\r\n");
        if is_deadly {
            let _ = conn.send(answer.as_bytes());
            log.line(&format!("{own}: crashes on {name}"));
            all.crashes.lock().unwrap().push(Instant::now());
            lives.crash();
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
    let text = server.entry("lm", zone, 16).replace("1700000000000", "BORN");
    *entry.lock().unwrap() = text.clone();
    let born = life.born.load(Ordering::SeqCst).to_string();
    store.put("servers", &id, &text.replace("BORN", &born));
}
