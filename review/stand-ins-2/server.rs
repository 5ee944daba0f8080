//! A stand-in of a server, with what it does with a request given by a case.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread;

use crate::http::{Conn, Message};

/// Whether the server keeps the connection.
pub type Keep = bool;

pub struct Server {
    pub id: String,
    pub address: SocketAddr,
}

impl Server {
    /// Starts a server; `handle` gets each request when its head was read.
    pub fn start<F>(id: &str, handle: F) -> Self
    where
        F: Fn(&mut Conn, Message) -> Keep + Send + Sync + 'static,
    {
        let listener = TcpListener::bind("127.0.0.1:0").expect("no port for a server");
        let address = listener.local_addr().expect("the server has an address");
        let (handle, own) = (Arc::new(handle), id.to_owned());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (handle, own) = (Arc::clone(&handle), own.clone());
                thread::spawn(move || {
                    let mut conn = Conn::new(stream);
                    while let Ok(Some(request)) = conn.read_head() {
                        let expected = request.header("expect-instance");
                        if expected.is_some_and(|expected| expected != own) {
                            let mut request = request;
                            conn.read_body(&mut request, false);
                            let answer = format!(
                                "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: {own}\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
                            );
                            if conn.send(answer.as_bytes()).is_err() {
                                return;
                            }
                            continue;
                        }
                        if !handle(&mut conn, request) {
                            return;
                        }
                    }
                });
            }
        });
        Self {
            id: id.to_owned(),
            address,
        }
    }

    /// The entry in the store.
    pub fn entry(&self, service: &str, zone: &str, slots: u32) -> String {
        format!(
            r#"{{"service":"{service}","address":"{}","zone":"{zone}","version":"v1","slots":{slots},"state":"ready","cold-left-ms":0,"stage":"combined","models":[{{"name":"m","version":1,"adapters":[]}}],"sequence":1,"born":1700000000000}}"#,
            self.address
        )
    }
}

/// The head of an answer, without its end.
pub fn head(status: &str, request: &Message) -> String {
    let id = request.header("request-id").unwrap_or("");
    format!("HTTP/1.1 {status}\r\nRequest-Id: {id}\r\nServer-Stamp: 3e1b.07.{id}.600.0\r\n")
}

/// A whole answer.
pub fn whole(status: &str, request: &Message, lines: &str, body: &str) -> String {
    let head = head(status, request);
    format!("{head}{lines}Content-Length: {}\r\n\r\n{body}", body.len())
}

/// One chunk of a body.
pub fn chunk(data: &str) -> String {
    format!("{:x}\r\n{data}\r\n", data.len())
}
