//! Request boundaries and ambiguous heads are found however the bytes are split.

use catkinusher_core::framing::{Ambiguity, Scanner};

const PLAIN: &str = "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nabcd";
const CHUNKED: &str =
    "POST /b HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n0\r\nT: v\r\n\r\n";
const NO_BODY: &str = "GET /c HTTP/1.1\r\nHost: x\r\n\r\n";

/// Pushes `text` in pieces of `size` bytes.
fn scan(text: &str, size: usize) -> Scanner {
    let mut scanner = Scanner::default();
    for piece in text.as_bytes().chunks(size) {
        scanner.push(piece);
    }
    scanner
}

#[test]
fn well_formed_requests_are_not_ambiguous() {
    let text = [PLAIN, CHUNKED, NO_BODY, CHUNKED, PLAIN, NO_BODY].concat();
    for size in [1, 2, 7, 4096] {
        assert_eq!(
            scan(&text, size).ambiguity(u64::MAX),
            None,
            "pieces of {size}"
        );
    }
}

#[test]
fn an_ambiguous_head_is_found_after_other_requests() {
    let cases = [
        (
            "Content-Length: 0\r\ncontent-length: 0\r\n",
            Ambiguity::DuplicateLength,
        ),
        (
            "Content-Length: 0\r\nTransfer-Encoding: chunked\r\n",
            Ambiguity::LengthAndEncoding,
        ),
        (
            "Transfer-Encoding: chunked\r\nContent-Length: 0\r\n",
            Ambiguity::LengthAndEncoding,
        ),
        (
            "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
            Ambiguity::DuplicateEncoding,
        ),
    ];
    for (fields, expected) in cases {
        let text = [
            PLAIN,
            CHUNKED,
            NO_BODY,
            "POST /d HTTP/1.1\r\n",
            fields,
            "\r\n",
        ]
        .concat();
        for size in [1, 3, 4096] {
            let scanner = scan(&text, size);
            assert_eq!(scanner.ambiguity(2), None, "{fields} in pieces of {size}");
            assert_eq!(
                scanner.ambiguity(3),
                Some(expected),
                "{fields} in pieces of {size}"
            );
        }
    }
}

#[test]
fn headers_inside_a_body_are_ignored() {
    let inner = "Content-Length: 1\r\nContent-Length: 1\r\n\r\n";
    let text = format!(
        "POST /a HTTP/1.1\r\nContent-Length: {}\r\n\r\n{inner}{NO_BODY}",
        inner.len()
    );
    assert_eq!(scan(&text, 5).ambiguity(u64::MAX), None);
    let size = inner.len();
    let chunked = format!(
        "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n{size:x}\r\n{inner}\r\n0\r\n\r\n{NO_BODY}"
    );
    assert_eq!(scan(&chunked, 5).ambiguity(u64::MAX), None);
}
