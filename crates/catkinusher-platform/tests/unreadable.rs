//! One object that cannot be decoded, among others that can.

use catkinusher_core::object::Version;
use catkinusher_platform::form::{Form, Native, parts};
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
