//! A machine is killed while its long prompts wait to be placed, and is back after a moment.

use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Request;
use crate::record::Record;
use crate::server::Server;
use crate::site::{APP, Ask, LLM, Site};

/// Long prompts wait at the machine that places them for about this time when engines are few.
const WAIT: Duration = Duration::from_millis(7000);

/// How long the killed process is down.
const DOWN: Duration = Duration::from_millis(500);

const PROMPTS: usize = 6;
const SWAPS: usize = 6;

/// Reads a prompt of 200,000 tokens with one helper, and answers with four events.
fn engine(server: &Server, request: &Request, stream: &mut TcpStream) -> bool {
    server.on_arrival(request);
    let reading = server.reading.lock().unwrap();
    thread::sleep(Duration::from_millis(1300));
    drop(reading);
    if !request.target.starts_with("/rebuild/") {
        return server.answer(request, stream, 200, "", "done by a model server");
    }
    server.begin_stream(request, stream)
        && server.send_events(request, stream, 4, Duration::from_millis(20))
}

fn app(server: &Server, request: &Request, stream: &mut TcpStream) -> bool {
    server.on_arrival(request);
    thread::sleep(Duration::from_millis(60));
    server.answer(request, stream, 200, "Server-Load: 1,0,6\r\n", "done")
}

pub fn run(trouble: bool, record: &Arc<Record>) -> Result<String, String> {
    // One larger machine places the requests of all services, the others ask it.
    let mut site = Site::start((4, engine), (2, app), &[0.5, 0.17, 0.17], record);
    site.settle();
    let client = site.client();
    let (name, front) = (site.nodes[2].name.clone(), site.nodes[2].front);
    let (other, other_front) = (site.nodes[1].name.clone(), site.nodes[1].front);
    let prompts: Vec<_> = (0..PROMPTS)
        .map(|number| {
            let (client, name, other) = (client.clone(), name.clone(), other.clone());
            let ask = Ask {
                path: "/rebuild/quarter",
                patience: Duration::from_secs(15),
                lines: format!(
                    "Model: m\r\nToken-Counts: 200000,400\r\nPrompt-Prefix: a1:40,b{number:03}:199960\r\n"
                ),
                body: 28_000,
            };
            thread::spawn(move || {
                let began = Instant::now();
                let (_, first) = client.send((&name, front), "rebuild", &ask);
                // The stream may be resumed, so its client asks again once, on another machine.
                if first.status == 0 || (first.status >= 500 && !first.is_success()) {
                    let ask = Ask {
                        patience: ask.patience.saturating_sub(began.elapsed()),
                        ..ask
                    };
                    client.send((&other, other_front), "rebuild", &ask);
                }
            })
        })
        .collect();
    thread::sleep(WAIT);
    if trouble {
        site.nodes[2].kill();
        thread::sleep(DOWN);
        site.nodes[2].spawn();
    } else {
        thread::sleep(DOWN);
    }
    let swaps: Vec<_> = (0..SWAPS)
        .map(|_| {
            let (client, name) = (client.clone(), name.clone());
            thread::spawn(move || swap(&client, (&name, front)))
        })
        .collect();
    for thread in swaps.into_iter().chain(prompts) {
        let _ended = thread.join();
    }
    let strays: Vec<_> = site
        .servers_of(LLM)
        .iter()
        .flat_map(|server| server.arrivals())
        .filter(|arrival| arrival.request.target.starts_with("/swap/"))
        .map(|arrival| arrival.id)
        .collect();
    let served: usize = site
        .servers_of(APP)
        .iter()
        .map(|one| one.arrivals().len())
        .sum();
    site.stop();
    if strays.is_empty() {
        Ok(format!("{served} swaps ran at {APP}, none at {LLM}"))
    } else {
        Err(format!(
            "ROUTE: {} swaps of {APP} were run by {LLM}: {strays:?}",
            strays.len()
        ))
    }
}

/// Sends a swap that its client repeats only after a promise that it has not run, or if no one read it.
fn swap(client: &crate::site::Client, node: (&str, std::net::SocketAddr)) {
    let until = Instant::now() + Duration::from_secs(3);
    while Instant::now() < until {
        let ask = Ask {
            path: "/swap/confirm",
            patience: Duration::from_secs(3),
            lines: String::new(),
            body: 600,
        };
        let (_, answer) = client.send(node, "swap", &ask);
        match answer.status {
            503 => thread::sleep(answer.retry_after()),
            // Nothing listens yet.
            0 if answer.took < Duration::from_millis(5) => thread::sleep(Duration::from_millis(10)),
            _ => return,
        }
    }
}
