//! Lookup of routes, services and API keys, and the freshness of state.

use std::time::Duration;

use catkinusher_core::directory::{
    Customer, Delivery, Directory, Limits, Rank, Repeat, Route, Service,
};
use catkinusher_core::freshness::Freshness;
use catkinusher_core::time::Time;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

fn route(name: &str, prefix: &str, split: &[(&str, f64)]) -> Route {
    Route {
        name: name.into(),
        host: "Kantoor.example".to_owned(),
        prefix: prefix.to_owned(),
        repeat: Repeat::Safe,
        delivery: Delivery::Whole,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(300),
        priority: Rank::new(1.0),
        attempts: 2,
        public: false,
        split: split
            .iter()
            .map(|(service, weight)| (service.parse().unwrap(), *weight))
            .collect(),
    }
}

fn directory() -> Directory {
    let routes = vec![
        route("wide", "/a/", &[("one", 1.0)]),
        route("narrow", "/a/b/", &[("one", 90.0), ("two", 10.0)]),
    ];
    let services = ["one", "two"].map(|name| Service {
        name: name.parse().unwrap(),
        cold_rate: None,
        engine: None,
    });
    let customer = Customer {
        name: "gent-fair".parse().unwrap(),
        priority: Some(Rank::new(1.0)),
    };
    let keys = vec!["k1".to_owned(), "k2".to_owned()];
    Directory::new(
        7,
        routes,
        services.into(),
        Some(vec![(customer, keys)]),
        Limits::default(),
    )
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let directory = directory();
    let name = |host, path| {
        directory
            .route(host, path)
            .map(|route| route.name.to_string())
    };
    assert_eq!(name("kantoor.example", "/a/x").as_deref(), Some("wide"));
    assert_eq!(
        name("KANTOOR.example:80", "/a/b/x").as_deref(),
        Some("narrow")
    );
    assert_eq!(
        name("kantoor.example", "/a"),
        None,
        "the prefix includes its final slash"
    );
    assert_eq!(name("other.example", "/a/x"), None);
}

#[test]
fn api_keys_identify_their_customer() {
    let directory = directory();
    assert!(directory.requires_key());
    assert_eq!(directory.customer("k2").unwrap().name.as_str(), "gent-fair");
    assert!(directory.customer("k3").is_none());
}

#[test]
fn a_route_is_split_by_its_weights() {
    let directory = directory();
    let route = directory.route("kantoor.example", "/a/b/").unwrap();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let drawn = (0..10_000)
        .filter(|_| route.pick_service(&mut rng).unwrap().as_str() == "two")
        .count();
    assert!(
        (900..1100).contains(&drawn),
        "{drawn} of 10,000 at a weight of one in ten"
    );
}

#[test]
fn patience_is_the_longest_of_three_times() {
    let patience = |objective, pause| {
        let mut route = route("s", "/", &[]);
        route.objective = Duration::from_millis(objective);
        route.delivery = Delivery::Events {
            pause: Some(Duration::from_millis(pause)),
        };
        route.patience().as_millis()
    };
    assert_eq!(patience(300, 200), 2000);
    assert_eq!(patience(1500, 500), 6000);
    assert_eq!(patience(300, 800), 6400);
}

#[test]
fn freshness_counts_from_the_start_of_the_confirming_read() {
    let limit = Duration::from_millis(3300);
    let mut freshness = Freshness::default();
    assert!(
        !freshness.within(limit, Time::ZERO),
        "nothing is confirmed yet"
    );
    freshness.on_confirmed(Time::from_millis(1000));
    // A delayed response to an earlier read must not extend the freshness.
    freshness.on_confirmed(Time::from_millis(400));
    assert!(freshness.within(limit, Time::from_millis(4299)));
    assert!(!freshness.within(limit, Time::from_millis(4300)));
}

// Guards against a panic on the request path: the sum of these weights is no finite number.
#[test]
fn weights_of_any_size_pick_a_service() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    for (one, two) in [(f64::MAX, f64::MAX), (1e308, -1e308), (-1.0, 2.0)] {
        let route = route("wide", "/a/", &[("one", one), ("two", two)]);
        assert!(route.pick_service(&mut rng).is_some(), "{one} {two}");
    }
}
