//! Settings are accepted, or rejected with all their faults.

use catkinusherd::settings::{self, Limits, StopSettings};

#[test]
fn the_example_is_good_and_shows_the_defaults() {
    let text = include_str!("../../../examples/node.toml");
    let settings = settings::read(text).expect("valid settings");
    assert_eq!(settings.limits, Limits::default());
    assert_eq!(settings.stop, StopSettings::default());
}

#[test]
fn all_faults_are_told_in_one_pass_and_the_secret_is_not() {
    let text = r#"
        [node]
        name = "a b"
        [listen]
        callers = "nowhere"
        [peer]
        secret = "hush"
        [limits]
        head = "5 furlongs"
        connections = 0
        colour = 3
        [log]
        level = "=="
    "#;
    let faults = settings::read(text).expect_err("invalid settings");
    let told = faults.in_file("node.toml");
    assert!(!told.contains("hush"));
    insta::assert_snapshot!(told);
}
