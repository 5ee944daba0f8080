//! Servers answer before they have read a long body, keep the channel and read on later.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::Duration;

use crate::http::{Conn, Message};
use crate::manifest::{KEY, manifest};
use crate::node::{Node, SIGTERM};
use crate::record::Record;
use crate::server::{Server, chunk, head};
use crate::store::Store;

const EVENTS: u64 = 30;
const EVENT_PAUSE: Duration = Duration::from_millis(100);
/// How many events a server sends before it reads the rest of the body.
const EVENTS_BEFORE_BODY: u64 = 20;
/// The bodies, in turn, in bytes.
const BODIES: [usize; 2] = [1_000_000, 4_000_000];
const REQUESTS: usize = 6;

fn handle(conn: &mut Conn, mut request: Message, id: &str, early: bool, record: &Record) -> bool {
    let name = request.header("request-id").unwrap_or("-").to_owned();
    let length = request.number("content-length").unwrap_or(0);
    let last = request.number("last-event-id").unwrap_or(0);
    record.line(&format!(
        "{id}: {name} begins to run, body of {length}, after event {last}"
    ));
    if !early {
        conn.read_body(&mut request, false);
    }
    let lines = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    let mut sent = conn.send(format!("{}{lines}", head("200 OK", &request)).as_bytes());
    for event in last + 1..=EVENTS {
        if sent.is_err() {
            break;
        }
        if event - last == EVENTS_BEFORE_BODY && early {
            conn.read_body(&mut request, false);
            if !request.complete {
                record.line(&format!("{id}: {name} rest of the body: {}", request.fault));
                return false;
            }
            record.line(&format!("{id}: {name} has read the rest of the body"));
        }
        thread::sleep(EVENT_PAUSE);
        sent = conn.send(chunk(&format!("id: {event}\ndata: {name}\n\n")).as_bytes());
    }
    if let Err(error) = sent {
        record.line(&format!("{id}: {name} cannot send: {error}"));
        return false;
    }
    record.line(&format!("{id}: {name} has run to its end"));
    conn.send(b"0\r\n\r\n").is_ok()
}

pub fn run(trouble: bool, record: &Record, folder: &Path) -> u8 {
    let store = Store::start();
    store.put("config", "main", &manifest(7));
    let mut servers = Vec::new();
    for (number, zone) in ["hcm-a", "hcm-b", "hcm-c"].iter().enumerate() {
        let id = format!("i-lm{number}");
        let (own, log) = (id.clone(), record.clone());
        let server = Server::start(&id, move |conn, request| {
            handle(conn, request, &own, trouble, &log)
        });
        store.put("servers", &server.id, &server.entry("lm", zone, 16));
        servers.push(server);
    }
    let node = Node::start("front-hcm-a-1", store.address, folder);
    if !node.wait_until_ready() {
        record.line("the node did not become ready");
        return 2;
    }
    thread::sleep(Duration::from_secs(4));
    let cut = Arc::new(AtomicU32::new(0));
    let front = node.front;
    let callers: Vec<_> = (0..REQUESTS)
        .map(|number| {
            let (record, cut) = (record.clone(), Arc::clone(&cut));
            thread::spawn(move || {
                let id = format!("9c41d07be2a3{number:04x}");
                let body = BODIES[number % BODIES.len()];
                let request = format!(
                    "POST /letter/2f HTTP/1.1\r\nHost: site.example\r\nRequest-Id: {id}\r\nModel: m\r\nToken-Counts: 1460,1400\r\nPrompt-Prefix: 5c1e07a2:800,e4402b{number:02x}:660\r\nDeadline-Ms: 10000\r\nAuthorization: Token {KEY}\r\nContent-Length: {body}\r\n\r\n"
                );
                let mut bytes = request.into_bytes();
                bytes.resize(bytes.len() + body, b'p');
                let Ok(mut conn) = Conn::connect(front) else {
                    return;
                };
                record.line(&format!("caller: {id} sent"));
                match conn.exchange(&bytes) {
                    Some(answer) => {
                        let text = String::from_utf8_lossy(&answer.body).into_owned();
                        let last = text.lines().rev().find_map(|line| line.strip_prefix("id: "));
                        record.line(&format!(
                            "caller: {id} answered {}, last event {}, complete: {} {}",
                            answer.status(),
                            last.unwrap_or("-"),
                            answer.complete,
                            answer.fault
                        ));
                        if !answer.complete {
                            cut.fetch_add(1, Ordering::Relaxed);
                        }
                    }
                    None => {
                        record.line(&format!("caller: {id} channel closed without an answer"));
                        cut.fetch_add(1, Ordering::Relaxed);
                    }
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(300));
    record.line("SIGTERM");
    node.signal(SIGTERM);
    for caller in callers {
        let _ = caller.join();
    }
    let cut = cut.load(Ordering::Relaxed);
    record.line(&format!(
        "{cut} of {REQUESTS} channels ended without a complete answer"
    ));
    u8::from(cut > 0)
}
