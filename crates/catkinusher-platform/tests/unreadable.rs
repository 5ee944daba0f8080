//! One object that cannot be decoded, among others that can.

use catkinusher_core::object::Version;
use catkinusher_platform::form::{Form, Native, lenient, parts};
use serde_json::Value;

/// Objects with half of a character, a number out of range, no name, and nesting that is too deep.
fn odd_objects() -> Vec<String> {
    let nested = format!("{}{}", "[".repeat(20_000), "]".repeat(20_000));
    vec![
        r#"{"name":"odd","version":2,"value":"\ud83d"}"#.to_owned(),
        r#"{"name":"odd","version":2,"value":1e999}"#.to_owned(),
        r#"{"version":2,"value":{}}"#.to_owned(),
        format!(r#"{{"name":"odd","version":2,"value":{nested}}}"#),
    ]
}

// Guards against a list or watch that fails as a whole for one odd object.
#[test]
fn an_unreadable_object_does_not_hide_the_others() {
    for odd in odd_objects() {
        let good = |name: &str| format!(r#"{{"name":"{name}","version":1,"value":[","]}}"#);
        let items = [good("a"), odd.clone(), good("b")].join(", ");
        let list = format!(r#"{{"version": 9, "objects": [{items}]}}"#);
        let (listing, _) = Native.listing::<Value>(list.as_bytes()).expect(&odd);
        let names: Vec<_> = listing.objects.iter().map(|one| &*one.name).collect();
        assert_eq!((names, listing.unreadable.len()), (vec!["a", "b"], 1));
        let watch = format!(r#"{{"version": 9, "events": [{items}]}}"#);
        let watched = Native.watched::<Value>(watch.as_bytes()).expect(&odd);
        let kept = watched.events.iter().filter(|event| event.value.is_some());
        assert_eq!((kept.count(), watched.version), (2, Version::new(9)));
    }
}

#[test]
fn text_is_split_at_its_outermost_commas() {
    let split = |text: &str| {
        let parts = parts::elements(text.as_bytes()).ok()?;
        let text = parts.into_iter().map(String::from_utf8_lossy);
        Some(text.collect::<Vec<_>>().join(" | "))
    };
    let cases = [
        "[]",
        "[1, [2,3] ,{\"a\":[4,5]}]",
        r#"[",]\",", "\\", 6]"#,
        "[1,]",
        "[1",
        "[1}]",
        "[\"]",
        "{}",
    ];
    let results = cases.map(|case| format!("{case} -> {:?}", split(case)));
    insta::assert_snapshot!(results.join("\n"));
    let object = br#" {"ab" : 1, "a": {"ab": 2}} "#;
    let field = |name| parts::field(object, name).ok().flatten();
    assert_eq!(field("ab"), Some(&b"1"[..]));
    assert_eq!(field("a"), Some(&br#"{"ab": 2}"#[..]));
    assert_eq!(field("b"), None);
}

// Guards against a configuration that is lost as a whole for one odd value.
#[test]
fn lenient_decoding_loses_only_what_cannot_be_decoded() {
    let deep = format!("[1, {}{}]", "[".repeat(20_000), "]".repeat(20_000));
    let cases = [
        r#"{"a": 1e400, "b": [2, "\ud83d", {"c": NaN}], "\ud83d": 3, "d": "e"}"#,
        r#" ["a,b", tru, 1e-999, "\x41", -1e999] "#,
        r#"{"a": 1, 7, "b" 2, "c": 3}"#,
        r#"{"a": "}"#,
        "",
        &deep,
    ];
    let shown = cases.map(|case| {
        let mut text = lenient::decode(case.as_bytes()).to_string();
        text.truncate(400);
        text
    });
    insta::assert_snapshot!(shown.join("\n"));
    let odd = lenient::decode(b"1e400");
    let number = lenient::undecodable(&odd).and_then(lenient::nearest_number);
    assert_eq!(number.and_then(|number| number.as_f64()), Some(f64::MAX));
    assert_eq!(lenient::nearest_number("NaN"), None);
    assert_eq!(lenient::nearest_number("inf"), None);
}
