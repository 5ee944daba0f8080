//! A request that is larger than any server's memory comes at each machine, beside servers in need.

use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Request;
use crate::record::Record;
use crate::server::Server;
use crate::site::{APP, Ask, Site};

/// The requests a second that a server in need takes from all machines together.
const LIMIT: f64 = 4.0;

/// `stable-window-ms`.
const STABLE: Duration = Duration::from_secs(3);

/// The span of the rule.
const WINDOW: Duration = Duration::from_secs(4);

const TRAFFIC: Duration = Duration::from_secs(24);

/// The prompt of the large request, in tokens; a server's memory holds 450,000.
const HUGE: u64 = 1_000_000_000_000_000;

fn work(server: &Server, request: &Request, stream: &mut TcpStream) -> bool {
    server.on_arrival(request);
    thread::sleep(Duration::from_millis(60));
    server.answer(
        request,
        stream,
        200,
        "Server-Load: 1,0,6\r\nServer-Limit: 4\r\n",
        "done",
    )
}

pub fn run(trouble: bool, record: &Arc<Record>) -> Result<String, String> {
    let mut site = Site::start((4, work), (2, work), &[0.17, 0.17, 0.17], record);
    site.settle();
    let client = site.client();
    let nodes = site
        .nodes
        .iter()
        .map(|node| (node.name.clone(), node.front));
    let nodes: Vec<_> = nodes.collect();
    if trouble {
        for (name, front) in &nodes {
            let ask = Ask {
                path: "/rebuild/quarter",
                patience: Duration::from_secs(15),
                lines: format!(
                    "Model: m\r\nToken-Counts: {HUGE},400\r\nPrompt-Prefix: a1:40,b1:{HUGE}\r\n"
                ),
                body: 1000,
            };
            client.send((name, *front), "huge", &ask);
        }
    }
    let ended = Arc::new(AtomicBool::new(false));
    let mut calls = Vec::new();
    for (name, front) in nodes {
        let (client, ended) = (client.clone(), Arc::clone(&ended));
        calls.push(thread::spawn(move || {
            let mut open = Vec::new();
            while !ended.load(Ordering::SeqCst) {
                let (client, name) = (client.clone(), name.clone());
                open.push(thread::spawn(move || {
                    let ask = Ask {
                        path: "/roster/today",
                        patience: Duration::from_secs(3),
                        lines: String::new(),
                        body: 0,
                    };
                    client.send((&name, front), "ask", &ask);
                }));
                thread::sleep(Duration::from_millis(50));
            }
            for call in open {
                let _ended = call.join();
            }
        }));
    }
    thread::sleep(TRAFFIC);
    ended.store(true, Ordering::SeqCst);
    for call in calls {
        let _ended = call.join();
    }
    let exited = site
        .nodes
        .iter_mut()
        .filter_map(|node| node.has_ended().then_some(1))
        .count();
    let allowed = 1.5 * LIMIT * WINDOW.as_secs_f64() + 5.0;
    let most = site
        .servers_of(APP)
        .iter()
        .map(|server| busiest(server))
        .max();
    let most = most.unwrap_or(0);
    site.stop();
    let text = format!(
        "a server that takes {LIMIT} a second got {most} requests in some 4 s, {allowed} are allowed; \
         {exited} processes ended"
    );
    if most as f64 > allowed {
        Err(format!("LIMIT: {text}"))
    } else {
        Ok(text)
    }
}

/// The most requests in a window that began after the limit had to be kept.
fn busiest(server: &Server) -> usize {
    let times: Vec<Instant> = server.arrivals().iter().map(|arrival| arrival.at).collect();
    let Some(first) = times.first() else {
        return 0;
    };
    // Each machine has passed on an answer by then.
    let from = *first + STABLE + Duration::from_secs(1);
    let late: Vec<_> = times.iter().filter(|at| **at >= from).collect();
    let within = |begin: &Instant| {
        let inside = late
            .iter()
            .filter(|at| ***at >= *begin && ***at < *begin + WINDOW);
        inside.count()
    };
    late.iter().map(|begin| within(begin)).max().unwrap_or(0)
}
