//! Versions of a store with and without eras.

use catkinusher_core::object::{Era, Version};

fn version(era: u64, number: u64) -> Version {
    Version::new(number).in_era(Era::new(era))
}

#[test]
fn a_version_of_a_later_era_is_newer_whatever_its_number() {
    let mut versions = [
        version(2, 7),
        version(1, 40),
        Version::new(50),
        version(2, 3),
    ];
    versions.sort_unstable();
    let shown = versions.map(|version| version.to_string());
    insta::assert_snapshot!(shown.join(" "), @"v50 v40@1 v3@2 v7@2");
}

#[test]
fn a_version_without_an_era_is_sent_as_its_number_alone() {
    let lines = [Version::NONE, Version::new(12), version(3, 12)].map(|version| {
        let text = serde_json::to_string(&version).unwrap();
        assert_eq!(serde_json::from_str::<Version>(&text).unwrap(), version);
        assert_eq!(version.to_string().parse::<Version>().unwrap(), version);
        format!("{version} {version:?} {text}")
    });
    insta::assert_snapshot!(lines.join("\n"), @r"
    v0 Version(0) 0
    v12 Version(12) 12
    v12@3 Version(12, Era(3)) [3,12]
    ");
}
