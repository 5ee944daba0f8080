//! A small deployment inside one process: real daemons with fake upstreams and platform services.

#![allow(dead_code, reason = "each test target uses only a part of this module")]

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use catkinusher_core::id::{DataCentreId, VmId};
use catkinusher_core::inventory::{self, change};
use catkinusher_fakes::site::{Manner, Site};
use catkinusherd::settings::{self, LogSettings, Settings};
use catkinusherd::{Node, admin, log};
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};

/// Three data centres, two engines and a plain service.
///
/// The upstream addresses and key hashes are placeholders, which [`Site::start`] replaces with
/// the addresses of the fakes and the hashes of keys made from the customers' names.
pub const SMALL: &str = r#"
    [[data_centre]]
    name = "gent"
    region = "be-vl"
    [[data_centre]]
    name = "kortrijk"
    region = "be-vl"
    [[data_centre]]
    name = "brugge"
    region = "be-vl"

    [[vm]]
    name = "vm-gent"
    data_centre = "gent"
    [[vm]]
    name = "vm-kortrijk"
    data_centre = "kortrijk"
    [[vm]]
    name = "vm-brugge"
    data_centre = "brugge"

    [[service]]
    name = "taalhulp"
    kind = "model"
    models = ["taalhulp-8b"]
    timeout = "30s"
    timeout_cap = "10min"
    [service.engine]
    memory = "500k"
    prefill = 40000
    decode = 50
    streams = 32
    chunk = "2k"
    cold_streams = 4

    [[service]]
    name = "afspraak-app"
    kind = "plain"
    timeout = "5s"
    timeout_cap = "1min"

    [[upstream]]
    name = "engine-gent"
    service = "taalhulp"
    vm = "vm-gent"
    address = "127.0.0.1:1"
    [[upstream]]
    name = "engine-kortrijk"
    service = "taalhulp"
    vm = "vm-kortrijk"
    address = "127.0.0.1:2"
    [[upstream]]
    name = "plain-brugge"
    service = "afspraak-app"
    vm = "vm-brugge"
    address = "127.0.0.1:3"

    [[customer]]
    name = "expo"
    key_sha256 = "0000000000000000000000000000000000000000000000000000000000000000"
    [[customer]]
    name = "beurs"
    key_sha256 = "1111111111111111111111111111111111111111111111111111111111111111"

    [[rule]]
    service = "afspraak-app"
    method = "POST"
    path = "/bookings"
    idempotent = false
    key_life = "1h"
"#;

/// The bearer key of the customer `expo`.
pub const KEY: &str = "key-of-expo";

/// A test deployment: fake upstreams and platform services, and the daemons that use them.
pub struct World {
    pub site: Site,
    pub nodes: Vec<Node>,
}

impl World {
    /// Starts the fakes for the inventory `text` and one daemon in each of its data centres.
    pub async fn start(text: &str) -> Self {
        Self::start_in(
            text,
            &Manner {
                speed: 20.0,
                ..Manner::default()
            },
            |_| {},
        )
        .await
    }

    /// Starts a deployment whose engines behave as `manner` says and whose daemon settings
    /// are adapted by `change`.
    pub async fn start_in<F>(text: &str, manner: &Manner, mut change: F) -> Self
    where
        F: FnMut(&mut Settings),
    {
        if let Ok(level) = std::env::var("TEST_LOG") {
            let log = LogSettings {
                level,
                ..LogSettings::default()
            };
            // Another test of this process may have set up the log already.
            let _again = log::start(&log);
        }
        let inventory = inventory::read(text).expect("a valid inventory");
        let site = Site::start(inventory.clone(), manner)
            .await
            .expect("the fakes start");
        let mut world = Self {
            site,
            nodes: Vec::new(),
        };
        for centre in &inventory.data_centres {
            world
                .add(&format!("entry-{}", centre.name), &centre.name, &mut change)
                .await;
        }
        world.list();
        world.ready().await;
        world
    }

    /// Starts one more daemon, which is not in the VM list until [`World::list`] is called.
    pub async fn add<F>(&mut self, name: &str, centre: &DataCentreId, change: &mut F)
    where
        F: FnMut(&mut Settings),
    {
        let listen = || TcpListener::bind("127.0.0.1:0");
        let callers = listen().await.expect("a free port");
        let peers = listen().await.expect("a free port");
        let operators = listen().await.expect("a free port");
        let mut settings = settings(&self.site, name, centre.as_str());
        settings.listen.peers = peers.local_addr().expect("an address");
        change(&mut settings);
        let node = Node::start_on(settings, callers, peers, operators).expect("a node");
        self.nodes.push(node);
    }

    /// Puts the daemons into the VM list.
    pub fn list(&self) {
        self.site.list(self.nodes.iter().map(|node| {
            let me = &node.state().settings.node;
            (me.name.clone(), me.data_centre.clone(), node.peers())
        }));
    }

    /// Waits until each daemon is ready, knows all others and agrees with them on the owners.
    pub async fn ready(&self) {
        let count = self.nodes.len();
        self.until(|node| {
            let status = admin::status(node.state());
            status.unready.is_none() && status.members.len() == count
        })
        .await;
        self.wait_ownership_agreed().await;
    }

    /// Stores an inventory and waits until it is in force on each daemon.
    pub async fn apply(&self, inventory: &inventory::Inventory) {
        self.site.apply(inventory);
        // Versions are counted over the whole store, so the version is read from the object.
        let object = self.site.objects.get(change::KIND, change::NAME);
        let version = object.expect("the inventory").version;
        self.until(|node| node.state().config.borrow().version == version)
            .await;
    }

    /// Waits until all daemons agree on the owner of each upstream and only that daemon owns it.
    async fn wait_ownership_agreed(&self) {
        let names = || {
            self.site
                .inventory
                .upstreams
                .iter()
                .map(|upstream| &upstream.name)
        };
        until(|| {
            names().all(|name| {
                let owner = self.nodes[0].state().members.owner(name);
                owner.is_some()
                    && self.nodes.iter().all(|node| {
                        let state = node.state();
                        let mine = owner.as_ref() == Some(&state.settings.node.name);
                        state.members.owner(name) == owner
                            && state.owners.owned().contains(name) == mine
                    })
            })
        })
        .await;
    }

    /// Waits until `test` holds for each daemon.
    pub async fn until<F>(&self, test: F)
    where
        F: Fn(&Node) -> bool,
    {
        until(|| self.nodes.iter().all(&test)).await;
    }

    /// The address for callers of the n-th daemon.
    pub fn callers(&self, index: usize) -> SocketAddr {
        self.nodes[index].callers()
    }

    /// The VM of the n-th daemon.
    pub fn vm(&self, index: usize) -> VmId {
        self.nodes[index].state().settings.node.name.clone()
    }

    pub async fn stop(self) {
        for node in self.nodes {
            node.stop().await;
        }
    }
}

/// Waits until `test` holds, with a timeout that only ends a test that would hang.
pub async fn until<F>(test: F)
where
    F: Fn() -> bool,
{
    let wait = async {
        while !test() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(40), wait)
        .await
        .expect("the condition holds within 40 s");
}

pub fn settings(site: &Site, name: &str, centre: &str) -> Settings {
    let text = format!(
        r#"
        [node]
        name = "{name}"
        data_centre = "{centre}"
        [listen]
        callers = "127.0.0.1:0"
        peers = "127.0.0.1:0"
        admin = "127.0.0.1:0"
        [platform]
        objects = "{}"
        vms = "{}"
        [peer]
        secret = "a secret of the tests"
        [stop]
        notice = "10ms"
        [fleet]
        quiet = "200ms"
        report = "200ms"
        [fleet.digests]
        period = "300ms"
        [fleet.membership]
        join_hold = "50ms"
        "#,
        site.objects.addr(),
        site.vms.addr(),
    );
    settings::read(&text).expect("valid settings")
}

/// A response with its body read to the end.
#[derive(Debug)]
pub struct Answer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
    /// Whether the body ended as its HTTP framing requires.
    pub whole: bool,
}

impl Answer {
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    pub fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).unwrap_or(serde_json::Value::Null)
    }

    pub fn id(&self) -> String {
        let id = self.headers.get("x-request-id");
        id.and_then(|id| id.to_str().ok())
            .unwrap_or_default()
            .to_owned()
    }

    /// The text of a streamed completion, and whether it ended with `[DONE]`.
    pub fn tokens(&self) -> (String, bool) {
        let mut text = String::new();
        let mut done = false;
        for line in self.text().lines() {
            let Some(data) = line.strip_prefix("data: ") else {
                continue;
            };
            if data == "[DONE]" {
                done = true;
                continue;
            }
            let value: serde_json::Value = serde_json::from_str(data).unwrap_or_default();
            if let Some(piece) = value["choices"][0]["text"].as_str() {
                text.push_str(piece);
            }
        }
        (text, done)
    }
}

/// The expected text of a complete response of `tokens` tokens to the request `id`.
pub fn expected(id: &str, tokens: u64) -> String {
    (0..tokens)
        .map(|seq| catkinusher_fakes::engine::token_text(id, seq))
        .collect()
}

/// The request body of a streamed completion.
pub fn prompt(words: usize, tokens: u64) -> String {
    let text = "abc ".repeat(words);
    format!(r#"{{"model":"taalhulp-8b","stream":true,"max_tokens":{tokens},"prompt":"{text}"}}"#)
}

pub async fn complete(to: SocketAddr, body: String) -> Answer {
    call(
        to,
        post("/v1/completions")
            .body(body.into())
            .expect("a request"),
    )
    .await
}

pub fn post(path: &str) -> http::request::Builder {
    Request::builder()
        .method(Method::POST)
        .uri(path)
        .header("authorization", format!("Bearer {KEY}"))
        .header("host", "test")
}

/// Sends a request on a new connection and reads the response to its end.
pub async fn call(to: SocketAddr, request: Request<Full<Bytes>>) -> Answer {
    let stream = TcpStream::connect(to).await.expect("a connection");
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
        .await
        .expect("a handshake");
    let connection = tokio::spawn(connection);
    let answer = sender.send_request(request).await.expect("an answer");
    let (parts, mut body) = answer.into_parts();
    let mut bytes = Vec::new();
    let mut whole = true;
    while let Some(frame) = body.frame().await {
        match frame {
            Ok(frame) => bytes.extend_from_slice(frame.data_ref().map_or(&[][..], |data| data)),
            Err(_cut) => {
                whole = false;
                break;
            }
        }
    }
    connection.abort();
    Answer {
        status: parts.status,
        headers: parts.headers,
        body: bytes.into(),
        whole,
    }
}
