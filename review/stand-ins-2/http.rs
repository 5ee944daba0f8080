//! Minimal HTTP/1.1 over blocking sockets, for the stand-ins.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::fd::AsRawFd;
use std::time::Duration;

unsafe extern "C" {
    fn connect(socket: i32, address: *const [u8; 16], length: u32) -> i32;
}

/// Resets a connection, as the system does for a process that has crashed.
///
/// On Linux, connecting to an address of no family sends a reset at once, also if there are other
/// handles of the socket.
pub fn reset(stream: &TcpStream) {
    // SAFETY: the descriptor is open, and the address has the length that is passed.
    unsafe { connect(stream.as_raw_fd(), &[0; 16], 16) };
}

/// A message as it was received.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// The request line or the status line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the end of the body was received.
    pub complete: bool,
    /// Why the message is not complete.
    pub fault: String,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(one, _)| one.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        let code = self.start.split(' ').nth(1);
        code.and_then(|code| code.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    pub fn number(&self, name: &str) -> Option<u64> {
        self.header(name)?.trim().parse().ok()
    }
}

/// A connection with the bytes that were received and not used yet.
pub struct Conn {
    pub stream: TcpStream,
    pub buffer: Vec<u8>,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    pub fn connect(to: SocketAddr) -> std::io::Result<Self> {
        TcpStream::connect_timeout(&to, Duration::from_secs(1)).map(Self::new)
    }

    pub fn send(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Receives some bytes; 0 means that the peer has closed.
    pub fn fill(&mut self) -> std::io::Result<usize> {
        let mut chunk = [0; 65536];
        let count = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..count]);
        Ok(count)
    }

    /// Reads a head; `None` if the connection ends before a head begins.
    pub fn read_head(&mut self) -> std::io::Result<Option<Message>> {
        let end = loop {
            if let Some(at) = find(&self.buffer, b"\r\n\r\n") {
                break at;
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        };
        let head: Vec<u8> = self.buffer.drain(..end + 4).collect();
        let text = String::from_utf8_lossy(&head).into_owned();
        let mut lines = text.split("\r\n");
        let mut message = Message {
            start: lines.next().unwrap_or("").to_owned(),
            ..Message::default()
        };
        for line in lines.filter(|line| !line.is_empty()) {
            if let Some((name, value)) = line.split_once(':') {
                let pair = (name.trim().to_owned(), value.trim().to_owned());
                message.headers.push(pair);
            }
        }
        Ok(Some(message))
    }

    /// Reads the body of a message whose head was read.
    pub fn read_body(&mut self, message: &mut Message, is_response: bool) {
        let ended = self.try_read_body(message, is_response);
        match ended {
            Ok(()) => message.complete = true,
            Err(fault) => message.fault = fault,
        }
    }

    fn try_read_body(&mut self, message: &mut Message, is_response: bool) -> Result<(), String> {
        if let Some(length) = message.number("content-length") {
            while (self.buffer.len() as u64) < length {
                if let Err(fault) = self.fill_or_fail() {
                    message.body = std::mem::take(&mut self.buffer);
                    return Err(fault);
                }
            }
            message.body = self.buffer.drain(..length as usize).collect();
            return Ok(());
        }
        let chunked = message.header("transfer-encoding").is_some();
        if chunked {
            loop {
                let line_end = loop {
                    match find(&self.buffer, b"\r\n") {
                        Some(at) => break at,
                        None => self.fill_or_fail()?,
                    }
                };
                let line: Vec<u8> = self.buffer.drain(..line_end + 2).collect();
                let text = String::from_utf8_lossy(&line);
                let size = usize::from_str_radix(text.trim(), 16)
                    .map_err(|_| format!("bad chunk size `{}`", text.trim()))?;
                while self.buffer.len() < size + 2 {
                    self.fill_or_fail()?;
                }
                message.body.extend(self.buffer.drain(..size));
                self.buffer.drain(..2);
                if size == 0 {
                    return Ok(());
                }
            }
        }
        if !is_response {
            return Ok(());
        }
        loop {
            message.body.append(&mut self.buffer);
            match self.fill() {
                Ok(0) => return Ok(()),
                Ok(_) => {}
                Err(error) => return Err(error.to_string()),
            }
        }
    }

    fn fill_or_fail(&mut self) -> Result<(), String> {
        match self.fill() {
            Ok(0) => Err("closed".to_owned()),
            Ok(_) => Ok(()),
            Err(error) => Err(error.to_string()),
        }
    }

    /// Sends a request and reads the answer; `None` if the connection ends without a head.
    pub fn exchange(&mut self, request: &[u8]) -> Option<Message> {
        self.send(request).ok()?;
        let mut answer = self.read_head().ok()??;
        self.read_body(&mut answer, true);
        Some(answer)
    }
}

pub fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes
        .windows(pattern.len())
        .position(|window| window == pattern)
}
