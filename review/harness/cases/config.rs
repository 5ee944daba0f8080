//! A manifest drops a route and gives a tenant a rank above 255.

use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Request;
use crate::record::Record;
use crate::server::Server;
use crate::site::{APP, Ask, MANIFEST, Site};

/// `config-ms`.
const CONFIG: Duration = Duration::from_secs(2);

fn work(server: &Server, request: &Request, stream: &mut TcpStream) -> bool {
    server.on_arrival(request);
    thread::sleep(Duration::from_millis(60));
    server.answer(request, stream, 200, "Server-Load: 1,0,6\r\n", "done")
}

/// The next version, without the route `r-roster`; the tenant has this rank.
fn next_version(rank: u32) -> String {
    let from = MANIFEST
        .find(",\n{\"name\":\"r-roster\"")
        .expect("the route");
    let to = from + MANIFEST[from..].find("}]").expect("the end of the routes") + 1;
    let text = format!("{}{}", &MANIFEST[..from], &MANIFEST[to..]);
    let text = text.replace("\"version\":7", "\"version\":9");
    let ranked = format!("\"api-keys\":[\"n2ctnfzs989anu6wsjnb\"],\"priority\":{rank}");
    let text = text.replace(
        "\"api-keys\":[\"n2ctnfzs989anu6wsjnb\"],\"priority\":1",
        &ranked,
    );
    text.replace('\n', "")
}

pub fn run(trouble: bool, record: &Arc<Record>) -> Result<String, String> {
    let site = Site::start((1, work), (3, work), &[0.17, 0.17, 0.17], record);
    site.settle();
    let rank = if trouble { 1000 } else { 2 };
    let acknowledged = site.store.put("config", "main", &next_version(rank));
    let mut calls = Vec::new();
    for number in 0..200 {
        let path = if number % 2 == 0 {
            "/roster/today"
        } else {
            "/swap/confirm"
        };
        let node = &site.nodes[number / 2 % site.nodes.len()];
        let (client, name, front) = (site.client(), node.name.clone(), node.front);
        calls.push(thread::spawn(move || {
            let ask = Ask {
                path,
                patience: Duration::from_secs(3),
                lines: String::new(),
                body: 600,
            };
            let sent = Instant::now();
            let (id, answer) = client.send((&name, front), "ask", &ask);
            (path, sent, id, answer.status)
        }));
        thread::sleep(Duration::from_millis(50));
    }
    let calls: Vec<_> = calls
        .into_iter()
        .filter_map(|call| call.join().ok())
        .collect();
    let servers = site.servers_of(APP);
    let ran: Vec<_> = servers
        .iter()
        .flat_map(|server| server.arrivals())
        .map(|one| one.id)
        .collect();
    let ready = site.nodes.iter().filter(|node| node.is_ready()).count();
    site.stop();
    let dropped = |path: &str| path.starts_with("/roster/");
    let late = calls
        .iter()
        .filter(|(_, sent, ..)| *sent > acknowledged + CONFIG);
    let late: Vec<_> = late.collect();
    let stale = late
        .iter()
        .filter(|(path, _, id, _)| dropped(path) && ran.contains(id))
        .count();
    let kept: Vec<_> = late.iter().filter(|(path, ..)| !dropped(path)).collect();
    let last = &kept[kept.len() / 2..];
    let served = last.iter().filter(|(.., status)| *status == 200).count();
    let text = format!(
        "{stale} requests on the dropped route ran that were sent later than config-ms after the \
         acknowledgement; of the last {} requests on a kept route {served} were served; {ready} of 3 \
         machines are ready at the end",
        last.len()
    );
    if stale > 0 {
        Err(format!("CONFIG: {text}"))
    } else {
        Ok(text)
    }
}
