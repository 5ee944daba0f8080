//! A stand-in for a server of the platform.

use std::io::Write;
use std::net::{IpAddr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Request, read_request};
use crate::json::{field, unquote};
use crate::record::Record;
use crate::store::Store;

/// What a server does with a request that it has accepted.
pub type Work = fn(&Server, &Request, &mut TcpStream) -> bool;

/// A request that reached the server.
#[derive(Debug, Clone)]
pub struct Arrival {
    pub at: Instant,
    pub id: String,
    /// The headers and the path as they came.
    pub request: Request,
}

/// One server of a service.
#[derive(Debug)]
pub struct Server {
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    /// Whether it says in all its answers that it leaves.
    pub leaving: AtomicBool,
    boot: AtomicU64,
    number: usize,
    work: Work,
    slots: u32,
    down_until: Mutex<Option<Instant>>,
    streams: Mutex<Vec<TcpStream>>,
    arrivals: Mutex<Vec<Arrival>>,
    crashes: Mutex<Vec<Instant>>,
    /// Requests being read; a server reads one prompt after the other.
    pub reading: Mutex<()>,
    pub record: Arc<Record>,
}

fn unix_millis() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.unwrap_or_default().as_millis() as u64
}

impl Server {
    /// Starts a server on a free port of `ip`, and registers it.
    pub fn start(
        ip: IpAddr,
        number: usize,
        (service, zone, slots): (&str, &str, u32),
        work: Work,
        store: &Arc<Store>,
        record: &Arc<Record>,
    ) -> Arc<Self> {
        let listener = TcpListener::bind((ip, 0)).expect("a server needs an address");
        let server = Arc::new(Self {
            service: service.to_owned(),
            zone: zone.to_owned(),
            address: listener.local_addr().expect("a bound address"),
            leaving: AtomicBool::new(false),
            boot: AtomicU64::new(unix_millis()),
            number,
            work,
            slots,
            down_until: Mutex::default(),
            streams: Mutex::default(),
            arrivals: Mutex::default(),
            crashes: Mutex::default(),
            reading: Mutex::default(),
            record: Arc::clone(record),
        });
        server.register(store);
        let (running, store) = (Arc::clone(&server), Arc::clone(store));
        thread::spawn(move || running.run(listener, &store));
        server
    }

    /// The name, which is new at each start.
    pub fn id(&self) -> String {
        format!("i-{}-{}", self.number, self.boot.load(Ordering::SeqCst))
    }

    fn entry(&self, state: &str) -> String {
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\
             \"state\":\"{state}\",\"cold-left-ms\":0,\"stage\":\"combined\",\"sequence\":1,\"born\":{}}}",
            self.service,
            self.address,
            self.zone,
            self.slots,
            self.boot.load(Ordering::SeqCst)
        )
    }

    /// Writes the entry, as a server does that is ready.
    pub fn register(&self, store: &Store) {
        store.put("servers", &self.id(), &self.entry("ready"));
    }

    /// Says in the store and in all answers that the server leaves; returns when the store has it.
    pub fn drain(&self, store: &Store) -> Instant {
        self.leaving.store(true, Ordering::SeqCst);
        store.put("servers", &self.id(), &self.entry("draining"))
    }

    fn run(self: Arc<Self>, listener: TcpListener, store: &Arc<Store>) {
        let mut listener = Some(listener);
        loop {
            let down = *self.down_until.lock().unwrap();
            match (down, &listener) {
                (Some(until), _) => {
                    listener = None;
                    if Instant::now() >= until
                        && let Ok(bound) = TcpListener::bind(self.address)
                    {
                        listener = Some(bound);
                        store.remove("servers", &self.id());
                        self.boot.store(unix_millis(), Ordering::SeqCst);
                        *self.down_until.lock().unwrap() = None;
                        self.register(store);
                        self.record.note(&format!("server {} is back", self.id()));
                    }
                }
                (None, Some(open)) => {
                    open.set_nonblocking(true).expect("a listener");
                    while let Ok((stream, _)) = open.accept() {
                        let server = Arc::clone(&self);
                        thread::spawn(move || server.serve(stream));
                    }
                }
                (None, None) => return,
            }
            thread::sleep(Duration::from_millis(1));
        }
    }

    /// Ends all channels at once; the server is back after `down`.
    pub fn crash(&self, down: Duration) {
        let mut until = self.down_until.lock().unwrap();
        if until.is_some() {
            return;
        }
        *until = Some(Instant::now() + down);
        drop(until);
        self.crashes.lock().unwrap().push(Instant::now());
        self.record.note(&format!("server {} crashes", self.id()));
        for stream in self.streams.lock().unwrap().drain(..) {
            let _closed = stream.shutdown(Shutdown::Both);
        }
    }

    pub fn crashes(&self) -> Vec<Instant> {
        self.crashes.lock().unwrap().clone()
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals.lock().unwrap().clone()
    }

    fn serve(&self, mut stream: TcpStream) {
        if stream.set_nonblocking(false).is_err() || stream.set_nodelay(true).is_err() {
            return;
        }
        if let Ok(copy) = stream.try_clone() {
            self.streams.lock().unwrap().push(copy);
        }
        let mut buffer = Vec::new();
        while let Some(request) = read_request(&mut stream, &mut buffer) {
            if self.down_until.lock().unwrap().is_some() {
                return;
            }
            let id = request.header("request-id").unwrap_or_default().to_owned();
            let expected = request.header("expect-instance");
            if expected.is_some_and(|expected| expected != self.id()) {
                let head = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: {id}\r\nInstance-Id: {}\r\n\
                     Content-Length: 0\r\n\r\n",
                    self.id()
                );
                self.record
                    .note(&format!("server {}: {id} gets 421", self.id()));
                if stream.write_all(head.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            let path = request.target.split('?').next().unwrap_or_default();
            let is_kept = match path {
                "/order" => self.order(&request, &mut stream),
                "/health" | "/report" => self.answer(&request, &mut stream, 200, "", "{}"),
                _ => (self.work)(self, &request, &mut stream),
            };
            if !is_kept {
                let _closed = stream.shutdown(Shutdown::Both);
                return;
            }
        }
    }

    /// Accepts reservations without counting the memory.
    fn order(&self, request: &Request, stream: &mut TcpStream) -> bool {
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let part = |key: &str| unquote(field(&body, key).unwrap_or_default()).to_owned();
        self.record.note(&format!(
            "server {} ({}): order {} {}",
            self.id(),
            self.service,
            part("op"),
            part("id")
        ));
        self.answer(request, stream, 200, "", "{\"free\":400000}")
    }

    /// Records that a request reached the server and runs.
    pub fn on_arrival(&self, request: &Request) {
        let id = request.header("request-id").unwrap_or_default().to_owned();
        self.record.note(&format!(
            "server {} ({}): {} {} {id} runs",
            self.id(),
            self.service,
            request.method,
            request.target
        ));
        self.arrivals.lock().unwrap().push(Arrival {
            at: Instant::now(),
            id,
            request: request.clone(),
        });
    }

    /// Sends a whole answer with the server's signature.
    pub fn answer(
        &self,
        request: &Request,
        stream: &mut TcpStream,
        status: u16,
        lines: &str,
        body: &str,
    ) -> bool {
        let id = request.header("request-id").unwrap_or_default();
        let leaving = if self.leaving.load(Ordering::SeqCst) {
            "Server-Leaving: 1\r\n"
        } else {
            ""
        };
        let head = format!(
            "HTTP/1.1 {status} X\r\nRequest-Id: {id}\r\nServer-Stamp: {}.{id}\r\n{leaving}{lines}\
             Content-Length: {}\r\n\r\n",
            self.id(),
            body.len()
        );
        stream
            .write_all(&[head.as_bytes(), body.as_bytes()].concat())
            .is_ok()
    }

    /// Sends the head of a stream, which is sent in chunks.
    pub fn begin_stream(&self, request: &Request, stream: &mut TcpStream) -> bool {
        let id = request.header("request-id").unwrap_or_default();
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: {}.{id}\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.id()
        );
        stream.write_all(head.as_bytes()).is_ok()
    }

    /// Sends the events after the one that the request names, and the end of the stream.
    pub fn send_events(
        &self,
        request: &Request,
        stream: &mut TcpStream,
        count: u64,
        pause: Duration,
    ) -> bool {
        let last: u64 = request
            .header("last-event-id")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        for number in last + 1..=count {
            let event = format!("id: {number}\ndata: piece {number}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            if stream.write_all(chunk.as_bytes()).is_err() {
                return false;
            }
            thread::sleep(pause);
        }
        stream.write_all(b"0\r\n\r\n").is_ok()
    }
}
