//! A new version of the manifest allows larger heads, and callers send them on kept channels.

use std::path::Path;
use std::thread;
use std::time::Duration;

use crate::http::{Conn, Message};
use crate::manifest::{KEY, manifest, manifest_with};
use crate::node::Node;
use crate::record::Record;
use crate::server::{Server, whole};
use crate::store::Store;

const CALLERS: usize = 20;
/// `max-header-bytes` of the new version; that of the first is 16,384.
const NEW_LIMIT: u64 = 65_536;
/// The prompt parts of a request; with these its head has some 24 kB.
const PARTS: usize = 1_700;
/// How long after its acknowledgement the new version must be in force, and more.
const IN_FORCE: Duration = Duration::from_secs(5);
/// Requests of one's own 4xx that the rule allows, besides one in 500.
const ALLOWED: usize = 5;

fn request(id: &str, parts: usize) -> Vec<u8> {
    let prefix: Vec<String> = (0..parts).map(|part| format!("a{part:07x}:20")).collect();
    format!(
        "POST /roster/2f HTTP/1.1\r\nHost: site.example\r\nRequest-Id: {id}\r\nModel: m\r\nToken-Counts: 400,40\r\nPrompt-Prefix: {}\r\nDeadline-Ms: 3000\r\nAuthorization: Token {KEY}\r\nContent-Length: 4\r\n\r\nbody",
        prefix.join(",")
    )
    .into_bytes()
}

fn told(answer: Option<&Message>) -> String {
    answer.map_or("closed without an answer".to_owned(), |answer| {
        format!("answered {}", answer.start)
    })
}

pub fn run(trouble: bool, record: &Record, folder: &Path) -> u8 {
    let store = Store::start();
    if trouble {
        store.put("config", "main", &manifest(7));
    } else {
        store.put("config", "main", &manifest_with(7, NEW_LIMIT));
    }
    let log = record.clone();
    let server = Server::start("i-app0", move |conn, mut request| {
        conn.read_body(&mut request, false);
        let name = request.header("request-id").unwrap_or("-").to_owned();
        log.line(&format!("i-app0: {name} runs"));
        conn.send(whole("200 OK", &request, "", "done").as_bytes())
            .is_ok()
    });
    store.put("servers", &server.id, &server.entry("app", "hcm-a", 6));
    let node = Node::start("front-hcm-a-1", store.address, folder);
    if !node.wait_until_ready() {
        record.line("the node did not become ready");
        return 2;
    }
    thread::sleep(Duration::from_secs(4));
    let mut channels = Vec::new();
    for number in 0..CALLERS {
        let Ok(mut conn) = Conn::connect(node.front) else {
            return 2;
        };
        let answer = conn.exchange(&request(&format!("first{number:03}"), 3));
        if answer.is_none_or(|answer| answer.status() != 200) {
            return 2;
        }
        channels.push(conn);
    }
    record.line(&format!("{CALLERS} channels are open and were used"));
    if trouble {
        store.put("config", "main", &manifest_with(9, NEW_LIMIT));
        record.line(&format!(
            "version 9 is acknowledged: heads of {NEW_LIMIT} bytes"
        ));
    }
    thread::sleep(IN_FORCE);
    let mut denied = 0;
    for (number, conn) in channels.iter_mut().enumerate() {
        let id = format!("kept{number:03}");
        let answer = conn.exchange(&request(&id, PARTS));
        record.line(&format!("caller: {id} {}", told(answer.as_ref())));
        denied += usize::from(answer.is_some_and(|answer| (300..500).contains(&answer.status())));
    }
    for number in 0..CALLERS {
        let id = format!("new{number:03}");
        let answer = Conn::connect(node.front)
            .ok()
            .and_then(|mut conn| conn.exchange(&request(&id, PARTS)));
        record.line(&format!(
            "caller: {id}, on a new channel, {}",
            told(answer.as_ref())
        ));
        denied += usize::from(answer.is_some_and(|answer| (300..500).contains(&answer.status())));
    }
    record.line(&format!(
        "{denied} of {} requests were ended with a 4xx of the node's own, {ALLOWED} are allowed",
        3 * CALLERS
    ));
    u8::from(denied > ALLOWED)
}
