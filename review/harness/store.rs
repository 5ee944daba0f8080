//! A stand-in for the platform's metadata store.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Request, read_request};
use crate::json::{field, unquote};
use crate::record::Record;

#[derive(Debug, Clone)]
struct Object {
    rev: u64,
    created: u64,
    spec: String,
}

#[derive(Debug)]
struct Change {
    rev: u64,
    kind: String,
    removed: bool,
    object: String,
}

#[derive(Debug, Default)]
struct Content {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    changes: Vec<Change>,
}

/// The store. Its answers are linearizable, and it keeps its whole history.
#[derive(Debug)]
pub struct Store {
    pub address: SocketAddr,
    content: Mutex<Content>,
    changed: Condvar,
    record: Arc<Record>,
}

fn object_text(name: &str, object: &Object) -> String {
    let Object { rev, created, spec } = object;
    format!(
        "{{\"meta\":{{\"name\":\"{name}\",\"rev\":{rev},\"create-revision\":{created},\
         \"finalizers\":[],\"deleting\":false}},\"spec\":{spec},\"status\":null}}"
    )
}

impl Store {
    pub fn start(ip: IpAddr, record: &Arc<Record>) -> Arc<Self> {
        let listener = TcpListener::bind((ip, 0)).expect("the store needs an address");
        let store = Arc::new(Self {
            address: listener.local_addr().expect("a bound address"),
            content: Mutex::new(Content {
                revision: 1,
                ..Content::default()
            }),
            changed: Condvar::new(),
            record: Arc::clone(record),
        });
        let serving = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&serving);
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes an object as the operator, a server or another writer, and returns when the store has it.
    pub fn put(&self, kind: &str, name: &str, spec: &str) -> Instant {
        let mut content = self.content.lock().unwrap();
        self.apply_put(&mut content, kind, name, spec);
        drop(content);
        self.record.note(&format!("store: {kind}/{name} is {spec}"));
        Instant::now()
    }

    /// Removes an object, and returns when the store has done so.
    pub fn remove(&self, kind: &str, name: &str) -> Instant {
        let mut content = self.content.lock().unwrap();
        self.apply_remove(&mut content, kind, name);
        drop(content);
        self.record
            .note(&format!("store: {kind}/{name} is removed"));
        Instant::now()
    }

    fn apply_put(&self, content: &mut Content, kind: &str, name: &str, spec: &str) {
        let key = (kind.to_owned(), name.to_owned());
        let before = content.objects.get(&key);
        if before.is_some_and(|object| object.spec == spec) {
            return;
        }
        let rev = content.revision + 1;
        let object = Object {
            rev,
            created: before.map_or(rev, |object| object.created),
            spec: spec.to_owned(),
        };
        content.revision = rev;
        content.changes.push(Change {
            rev,
            kind: kind.to_owned(),
            removed: false,
            object: object_text(name, &object),
        });
        content.objects.insert(key, object);
        self.changed.notify_all();
    }

    fn apply_remove(&self, content: &mut Content, kind: &str, name: &str) -> bool {
        let key = (kind.to_owned(), name.to_owned());
        let Some(mut object) = content.objects.remove(&key) else {
            return false;
        };
        content.revision += 1;
        object.rev = content.revision;
        content.changes.push(Change {
            rev: object.rev,
            kind: kind.to_owned(),
            removed: true,
            object: object_text(name, &object),
        });
        self.changed.notify_all();
        true
    }

    fn serve(&self, mut stream: TcpStream) {
        let _nodelay = stream.set_nodelay(true);
        let mut buffer = Vec::new();
        while let Some(request) = read_request(&mut stream, &mut buffer) {
            let (status, body) = self.respond(&request);
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            let bytes = [head.as_bytes(), body.as_bytes()].concat();
            if stream.write_all(&bytes).is_err() {
                return;
            }
        }
    }

    fn respond(&self, request: &Request) -> (u16, String) {
        let (path, query) = request
            .target
            .split_once('?')
            .unwrap_or((&request.target, ""));
        let path = path.trim_start_matches("/objects/");
        let (kind, name) = path.split_once('/').unwrap_or((path, ""));
        let parameter = |key: &str| {
            let mut parts = query.split('&').filter_map(|part| part.split_once('='));
            parts.find(|(name, _)| *name == key).map(|(_, value)| value)
        };
        if request.method == "GET" {
            if let Some(after) = parameter("watch").and_then(|text| text.parse().ok()) {
                let wait = parameter("wait-ms").and_then(|text| text.parse().ok());
                return self.watch(kind, after, Duration::from_millis(wait.unwrap_or(0)));
            }
            if name.is_empty() {
                return self.list(kind);
            }
            let content = self.content.lock().unwrap();
            let found = content.objects.get(&(kind.to_owned(), name.to_owned()));
            return found.map_or((404, "{}".to_owned()), |object| {
                (200, object_text(name, object))
            });
        }
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let meta = field(&body, "meta").unwrap_or("{}");
        let name = if name.is_empty() {
            unquote(field(meta, "name").unwrap_or_default())
        } else {
            name
        };
        let condition: Option<u64> = field(meta, "rev")
            .or_else(|| parameter("rev"))
            .and_then(|text| text.parse().ok());
        let mut content = self.content.lock().unwrap();
        let standing = content
            .objects
            .get(&(kind.to_owned(), name.to_owned()))
            .cloned();
        let is_other = |object: &Object| condition.is_some_and(|rev| rev != object.rev);
        match (request.method.as_str(), standing) {
            ("POST", Some(object)) => (409, object_text(name, &object)),
            ("PUT" | "DELETE", None) => (404, "{}".to_owned()),
            ("PUT" | "DELETE", Some(object)) if is_other(&object) => {
                (409, object_text(name, &object))
            }
            ("DELETE", Some(object)) => {
                self.apply_remove(&mut content, kind, name);
                (200, object_text(name, &object))
            }
            _ => {
                let spec = field(&body, "spec").unwrap_or("null");
                self.apply_put(&mut content, kind, name, spec);
                let object = &content.objects[&(kind.to_owned(), name.to_owned())];
                (200, object_text(name, object))
            }
        }
    }

    fn list(&self, kind: &str) -> (u16, String) {
        let content = self.content.lock().unwrap();
        let of_kind = content.objects.iter().filter(|((one, _), _)| one == kind);
        let items: Vec<_> = of_kind
            .map(|((_, name), object)| object_text(name, object))
            .collect();
        let body = format!(
            "{{\"items\":[{}],\"has-more\":false,\"store-revision\":{}}}",
            items.join(","),
            content.revision
        );
        (200, body)
    }

    fn watch(&self, kind: &str, after: u64, wait: Duration) -> (u16, String) {
        let until = Instant::now() + wait;
        let mut content = self.content.lock().unwrap();
        loop {
            let new = content
                .changes
                .iter()
                .filter(|change| change.rev > after && change.kind == kind);
            let events: Vec<_> = new
                .map(|change| {
                    format!(
                        "{{\"removed\":{},\"object\":{}}}",
                        change.removed, change.object
                    )
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let body = format!(
                    "{{\"events\":[{}],\"store-revision\":{}}}",
                    events.join(","),
                    content.revision
                );
                return (200, body);
            }
            content = self.changed.wait_timeout(content, left).unwrap().0;
        }
    }
}
