//! Many requesters send bodies of an allowed size to one machine at once.

use std::collections::BTreeSet;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Request};
use crate::record::Record;
use crate::server::Server;
use crate::site::{APP, Ask, Client, Site};

/// `memory-mb`, counted in the larger of the two units.
const MEMORY: u64 = 182 * 1024 * 1024;

/// The requests with large bodies; `max-body-bytes` is 4,194,304.
const UPLOADS: usize = 70;
const UPLOAD: usize = 4_000_000;

/// The requesters that keep a channel open for small requests.
const KEPT: usize = 10;

fn work(server: &Server, request: &Request, stream: &mut TcpStream) -> bool {
    server.on_arrival(request);
    thread::sleep(Duration::from_millis(300));
    server.answer(request, stream, 200, "Server-Load: 1,0,6\r\n", "done")
}

/// Sends swaps on one channel until `ended`, and returns the ids of those that got no answer on it.
fn keep(
    client: &Client,
    node: std::net::SocketAddr,
    record: &Record,
    ended: &AtomicBool,
) -> Vec<String> {
    let ask = Ask {
        path: "/swap/confirm",
        patience: Duration::from_secs(3),
        lines: String::new(),
        body: 600,
    };
    let mut lost = Vec::new();
    while !ended.load(Ordering::SeqCst) {
        let Ok(mut stream) = TcpStream::connect_timeout(&node, Duration::from_secs(1)) else {
            thread::sleep(Duration::from_millis(100));
            continue;
        };
        let mut count = 0;
        while !ended.load(Ordering::SeqCst) {
            let (id, bytes) = client.request("swap", &ask);
            record.note(&format!(
                "client: {id} is sent on a channel after {count} others"
            ));
            let answer = http::exchange(&mut stream, &bytes, ask.patience);
            record.note(&format!(
                "client: {id} gets {} after {} ms",
                answer.status,
                answer.took.as_millis()
            ));
            if answer.status == 0 {
                if answer.took < ask.patience {
                    lost.push(id);
                }
                break;
            }
            count += 1;
            if answer
                .header("connection")
                .is_some_and(|value| value.contains("close"))
            {
                break;
            }
        }
    }
    lost
}

pub fn run(trouble: bool, record: &Arc<Record>) -> Result<String, String> {
    let mut site = Site::start((1, work), (3, work), &[0.17, 0.17, 0.17], record);
    site.settle();
    let (name, front) = (site.nodes[2].name.clone(), site.nodes[2].front);
    let ended = Arc::new(AtomicBool::new(false));
    let lost = Arc::new(Mutex::new(Vec::new()));
    let mut threads = Vec::new();
    for _ in 0..KEPT {
        let (client, record, ended, lost) = (
            site.client(),
            Arc::clone(record),
            Arc::clone(&ended),
            Arc::clone(&lost),
        );
        threads.push(thread::spawn(move || {
            let ids = keep(&client, front, &record, &ended);
            lost.lock().unwrap().extend(ids);
        }));
    }
    thread::sleep(Duration::from_secs(4));
    if trouble {
        for _ in 0..UPLOADS {
            let (client, name) = (site.client(), name.clone());
            threads.push(thread::spawn(move || {
                let ask = Ask {
                    path: "/swap/import",
                    patience: Duration::from_secs(3),
                    lines: String::new(),
                    body: UPLOAD,
                };
                client.send((&name, front), "upload", &ask);
            }));
        }
    }
    // The platform kills a process that exceeds its memory, and starts it again.
    let until = Instant::now() + Duration::from_secs(8);
    let (mut most, mut kills) = (0, 0);
    while Instant::now() < until {
        let memory = site.nodes[2].memory();
        most = most.max(memory);
        if memory > MEMORY {
            record.note(&format!("platform: {name} uses {memory} bytes"));
            site.nodes[2].kill();
            kills += 1;
            thread::sleep(Duration::from_millis(500));
            site.nodes[2].spawn();
        }
        thread::sleep(Duration::from_millis(2));
    }
    ended.store(true, Ordering::SeqCst);
    for thread in threads {
        let _ended = thread.join();
    }
    let ran: BTreeSet<_> = site
        .servers_of(APP)
        .iter()
        .flat_map(|server| server.arrivals())
        .map(|arrival| arrival.id)
        .collect();
    site.stop();
    let lost = lost.lock().unwrap();
    let lost = lost.iter().filter(|id| ran.contains(*id)).count();
    let text = format!(
        "{name} used up to {} MB, was killed {kills} times, and closed {lost} kept channels whose \
         requests it had passed on",
        most / 1_000_000
    );
    if lost > 3 {
        Err(format!("LOST: {text}"))
    } else {
        Ok(text)
    }
}
