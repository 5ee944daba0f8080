//! The command line: help, wrong use, wrong files, and the exit codes.

mod support;

use support::{Operator, TOONZAAL, objects};

#[tokio::test]
async fn wrong_use_is_told_with_the_command() {
    let handle = objects().await;
    let an = Operator::new("an", &handle);
    let calls: [&[&str]; 9] = [
        &[],
        &["paint"],
        &["validate"],
        &["validate", "a", "b"],
        &["apply", "x", "--expect", "soon"],
        &["get", "--objects", "nowhere"],
        &["drain", "zone", "gent"],
        &["explain", "gent-1-00c0ffee"],
        &["status", "--timeout", "5 furlongs"],
    ];
    let mut lines = Vec::new();
    for args in calls {
        lines.push(format!(
            "$ catkinusher {}\n{}",
            args.join(" "),
            an.call(args).await
        ));
    }
    insta::assert_snapshot!(lines.join("\n\n"));
}

#[tokio::test]
async fn every_command_has_its_help() {
    let handle = objects().await;
    let an = Operator::new("an", &handle);
    let mut texts = vec![an.call(&["--help"]).await.to_string()];
    for command in [
        "validate", "diff", "apply", "get", "drain", "undrain", "status", "explain", "where",
        "load", "demo",
    ] {
        texts.push(an.call(&[command, "--help"]).await.to_string());
    }
    insta::assert_snapshot!(texts.join("\n\n"));
}

#[tokio::test]
async fn a_file_is_validated() {
    let handle = objects().await;
    let an = Operator::new("an", &handle);
    let sound = an.file(TOONZAAL);
    insta::assert_snapshot!("sound", an.call(&["validate", &sound]).await);
    let faulty = an.file(
        &TOONZAAL
            .replace("\"gent\"", "\"ghent\"")
            .replace("2min", "2 weeks"),
    );
    insta::assert_snapshot!("faulty", an.call(&["validate", &faulty]).await);
    insta::assert_snapshot!("apply_faulty", an.call(&["apply", &faulty]).await);
    insta::assert_snapshot!("no_file", an.call(&["validate", "nowhere.toml"]).await);
    assert!(handle.records().writes.is_empty());
}

#[tokio::test]
async fn nothing_stands_before_the_first_apply() {
    let handle = objects().await;
    let an = Operator::new("an", &handle);
    insta::assert_snapshot!(an.call(&["get"]).await);
    insta::assert_snapshot!("no_target", an.call(&["drain", "vm", "x"]).await);
}
