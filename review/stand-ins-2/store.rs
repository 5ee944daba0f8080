//! A stand-in of the platform's store: objects, lists, watches and conditions.
//!
//! The specs are kept as JSON text; a body is `{"meta":{..},"spec":..,..}`.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Conn, Message};

/// How much later than usual a write is done whose answer is lost.
const LATE_BY: Duration = Duration::from_secs(3);

#[derive(Default)]
struct State {
    objects: BTreeMap<(String, String), (u64, String)>,
    /// Revision, kind, name, and the spec unless the object was removed.
    changes: Vec<(u64, String, String, Option<String>)>,
    /// When each of these changes was made.
    changed_at: Vec<Instant>,
    revision: u64,
}

impl State {
    /// The revision that reads with `serializable` see, and the objects at that time.
    fn at(&self, time: Instant) -> Self {
        let mut past = Self::default();
        for (change, at) in self.changes.iter().zip(&self.changed_at) {
            if *at > time {
                break;
            }
            let (rev, kind, name, spec) = change;
            past.revision = *rev;
            let key = (kind.clone(), name.clone());
            match spec {
                Some(spec) => past.objects.insert(key, (*rev, spec.clone())),
                None => past.objects.remove(&key),
            };
        }
        past
    }
}

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    /// How old the data of reads with `serializable` is.
    pub lag: Mutex<Duration>,
    /// Names whose next removal is done late and not answered.
    pub late: Mutex<Vec<String>>,
    /// The writes so far, and whether each was done late.
    pub writes: Mutex<Vec<(String, bool)>>,
    pub address: SocketAddr,
}

impl Store {
    pub fn start() -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("no port for the store");
        let store = Arc::new(Self {
            state: Mutex::new(State {
                revision: 100,
                ..State::default()
            }),
            changed: Condvar::new(),
            lag: Mutex::default(),
            late: Mutex::default(),
            writes: Mutex::default(),
            address: listener.local_addr().expect("the store has an address"),
        });
        let serving = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&serving);
                thread::spawn(move || Self::serve(&store, Conn::new(stream)));
            }
        });
        store
    }

    /// The names of all objects of a kind.
    pub fn names(&self, kind: &str) -> Vec<String> {
        let state = self.state.lock().unwrap();
        let names = state.objects.keys().filter(|(one, _)| one == kind);
        names.map(|(_, name)| name.clone()).collect()
    }

    pub fn put(&self, kind: &str, name: &str, spec: &str) -> u64 {
        self.change(kind, name, Some(spec.to_owned()))
    }

    fn change(&self, kind: &str, name: &str, spec: Option<String>) -> u64 {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let (rev, key) = (state.revision, (kind.to_owned(), name.to_owned()));
        match &spec {
            Some(spec) => state.objects.insert(key, (rev, spec.clone())),
            None => state.objects.remove(&key),
        };
        let change = (rev, kind.to_owned(), name.to_owned(), spec);
        state.changes.push(change);
        state.changed_at.push(Instant::now());
        drop(state);
        self.changed.notify_all();
        rev
    }

    fn serve(self: &Arc<Self>, mut conn: Conn) {
        while let Ok(Some(mut request)) = conn.read_head() {
            conn.read_body(&mut request, false);
            if request.method() != "GET" {
                let is_late = self.is_late(&request);
                let write = format!("{} {}", request.method(), request.target());
                self.writes.lock().unwrap().push((write, is_late));
                if is_late {
                    thread::sleep(LATE_BY);
                    self.respond(&request);
                    // Nothing more comes on a channel on which an answer was lost.
                    thread::sleep(Duration::from_secs(120));
                    return;
                }
            }
            let (status, body) = self.respond(&request);
            let answer = format!(
                "HTTP/1.1 {status} -\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if conn.send(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn is_late(&self, request: &Message) -> bool {
        let mut late = self.late.lock().unwrap();
        let found = late
            .iter()
            .position(|name| request.method() == "DELETE" && request.target().ends_with(name));
        found.map(|index| late.remove(index)).is_some()
    }

    fn respond(&self, request: &Message) -> (u16, String) {
        let target = request.target().to_owned();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let path = path
            .trim_start_matches("/objects/")
            .trim_end_matches("/status");
        let (kind, name) = path.split_once('/').unwrap_or((path, ""));
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let rev = number_after(query, "rev=").or_else(|| {
            let meta = body.find("\"meta\"").map(|at| &body[at..])?;
            let meta = &meta[..meta.find('}')?];
            number_after(meta, "\"rev\":")
        });
        match request.method() {
            "GET" if query.contains("watch=") => self.watch(kind, query),
            "GET" => {
                let lag = *self.lag.lock().unwrap();
                let is_stale = query.contains("serializable=1") && !lag.is_zero();
                let state = self.state.lock().unwrap();
                if is_stale {
                    read(&state.at(Instant::now() - lag), kind, name)
                } else {
                    read(&state, kind, name)
                }
            }
            "POST" | "PUT" => {
                let named = text_after(&body, "\"name\":\"").unwrap_or_else(|| name.to_owned());
                let standing = self.standing(kind, &named);
                let conflict = match (&standing, rev) {
                    (Some(_), _) if request.method() == "POST" => true,
                    (Some((at, _)), Some(rev)) => *at != rev,
                    _ => false,
                };
                if let (true, Some((at, spec))) = (conflict, standing) {
                    return (409, object(&named, at, Some(&spec)));
                }
                let spec = spec_of(&body);
                let rev = self.put(kind, &named, &spec);
                (200, object(&named, rev, Some(&spec)))
            }
            "DELETE" => match (self.standing(kind, name), rev) {
                (None, _) => (404, "{}".to_owned()),
                (Some((at, spec)), Some(rev)) if at != rev => (409, object(name, at, Some(&spec))),
                (Some((at, spec)), _) => {
                    self.change(kind, name, None);
                    (200, object(name, at, Some(&spec)))
                }
            },
            _ => (405, "{}".to_owned()),
        }
    }

    fn standing(&self, kind: &str, name: &str) -> Option<(u64, String)> {
        self.state
            .lock()
            .unwrap()
            .objects
            .get(&key(kind, name))
            .cloned()
    }

    fn watch(&self, kind: &str, query: &str) -> (u16, String) {
        let after = number_after(query, "watch=").unwrap_or(0);
        let wait = number_after(query, "wait-ms=").unwrap_or(0).min(30_000);
        let until = Instant::now() + Duration::from_millis(wait);
        let mut state = self.state.lock().unwrap();
        loop {
            let events: Vec<String> = state
                .changes
                .iter()
                .filter(|(rev, one, _, _)| *rev > after && one == kind)
                .map(|(rev, _, name, spec)| {
                    format!(
                        "{{\"removed\":{},\"object\":{}}}",
                        spec.is_none(),
                        object(name, *rev, spec.as_deref())
                    )
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let body = format!(
                    "{{\"events\":[{}],\"store-revision\":{}}}",
                    events.join(","),
                    state.revision
                );
                return (200, body);
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

/// One object, or all of a kind.
fn read(state: &State, kind: &str, name: &str) -> (u16, String) {
    if !name.is_empty() {
        return match state.objects.get(&key(kind, name)) {
            Some((rev, spec)) => (200, object(name, *rev, Some(spec))),
            None => (404, "{}".to_owned()),
        };
    }
    let items: Vec<String> = state
        .objects
        .iter()
        .filter(|((one, _), _)| one == kind)
        .map(|((_, name), (rev, spec))| object(name, *rev, Some(spec)))
        .collect();
    let body = format!(
        "{{\"items\":[{}],\"has-more\":false,\"store-revision\":{}}}",
        items.join(","),
        state.revision
    );
    (200, body)
}

fn key(kind: &str, name: &str) -> (String, String) {
    (kind.to_owned(), name.to_owned())
}

fn object(name: &str, rev: u64, spec: Option<&str>) -> String {
    format!(
        "{{\"meta\":{{\"name\":\"{name}\",\"rev\":{rev},\"create-revision\":{rev},\"finalizers\":[],\"deleting\":false}},\"spec\":{},\"status\":null}}",
        spec.unwrap_or("null")
    )
}

fn number_after(text: &str, name: &str) -> Option<u64> {
    let rest = &text[text.find(name)? + name.len()..];
    let digits: String = rest
        .trim_start()
        .chars()
        .take_while(char::is_ascii_digit)
        .collect();
    digits.parse().ok()
}

fn text_after(text: &str, name: &str) -> Option<String> {
    let rest = &text[text.find(name)? + name.len()..];
    rest.split('"').next().map(str::to_owned)
}

/// The text of the field `spec`, by counting braces outside of strings.
fn spec_of(body: &str) -> String {
    let Some(at) = body.find("\"spec\":") else {
        return "null".to_owned();
    };
    let rest = &body[at + 7..];
    let (mut depth, mut quoted, mut escaped) = (0, false, false);
    for (index, byte) in rest.bytes().enumerate() {
        if quoted {
            match byte {
                _ if escaped => escaped = false,
                b'\\' => escaped = true,
                b'"' => quoted = false,
                _ => {}
            }
            continue;
        }
        match byte {
            b'"' => quoted = true,
            b'{' | b'[' => depth += 1,
            b'}' | b']' if depth == 0 => return rest[..index].to_owned(),
            b'}' | b']' => depth -= 1,
            b',' if depth == 0 => return rest[..index].to_owned(),
            _ => {}
        }
    }
    rest.to_owned()
}
