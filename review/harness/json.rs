//! Finds values in JSON text without decoding them, so that a stored value stays as it was written.

/// Returns the text of the value at `key` in the object `text`.
pub fn field<'a>(text: &'a str, key: &str) -> Option<&'a str> {
    let bytes = text.as_bytes();
    let mut at = skip_space(bytes, 0);
    if bytes.get(at) != Some(&b'{') {
        return None;
    }
    at = skip_space(bytes, at + 1);
    while bytes.get(at) == Some(&b'"') {
        let end = skip_value(bytes, at)?;
        let name = &text[at + 1..end - 1];
        at = skip_space(bytes, end);
        if bytes.get(at) != Some(&b':') {
            return None;
        }
        at = skip_space(bytes, at + 1);
        let end = skip_value(bytes, at)?;
        if name == key {
            return Some(&text[at..end]);
        }
        at = skip_space(bytes, end);
        if bytes.get(at) == Some(&b',') {
            at = skip_space(bytes, at + 1);
        }
    }
    None
}

/// Removes the quotes of a string.
pub fn unquote(text: &str) -> &str {
    text.trim_matches('"')
}

fn skip_space(bytes: &[u8], mut at: usize) -> usize {
    while bytes.get(at).is_some_and(u8::is_ascii_whitespace) {
        at += 1;
    }
    at
}

fn skip_value(bytes: &[u8], at: usize) -> Option<usize> {
    match bytes.get(at)? {
        b'"' => {
            let mut at = at + 1;
            while *bytes.get(at)? != b'"' {
                at += if bytes[at] == b'\\' { 2 } else { 1 };
            }
            Some(at + 1)
        }
        b'{' | b'[' => {
            let mut depth = 0;
            let mut at = at;
            loop {
                match bytes.get(at)? {
                    b'{' | b'[' => depth += 1,
                    b'}' | b']' => depth -= 1,
                    b'"' => {
                        at = skip_value(bytes, at)?;
                        continue;
                    }
                    _ => {}
                }
                at += 1;
                if depth == 0 {
                    return Some(at);
                }
            }
        }
        _ => {
            let rest = &bytes[at..];
            let length = rest
                .iter()
                .position(|byte| b",}]".contains(byte) || byte.is_ascii_whitespace());
            Some(at + length.unwrap_or(rest.len()))
        }
    }
}
