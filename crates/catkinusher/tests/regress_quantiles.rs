//! Every quantile read 0.0ms, as the histogram had no room above two microseconds.

use std::time::Duration;

use catkinusher::load::{self, Phase, Plan};
use catkinusher_core::class::LengthClass;
use catkinusher_core::units::{Rate, Span, Tokens};
use catkinusher_fakes::engine::{self, Config};

/// The share by which a histogram of three digits may be off.
const DIGITS: f64 = 0.001;

#[tokio::test]
async fn the_largest_quantile_is_the_slowest_request() {
    let engine = engine::start(Config::default()).await.expect("started");
    let plan = Plan {
        entries: vec![engine.addr()],
        callers: vec!["a=k".parse().expect("a caller")],
        rate: Rate::per_second(50.0),
        alone: Span::from_millis(300),
        mixed: Span::from_millis(300),
        mix: "short=1".parse().expect("a mix"),
        answer: Tokens::new(2),
        ..Plan::default()
    };
    let report = load::run(&plan, |_progress| {}).await.expect("sent");
    for phase in Phase::ALL {
        let calls = report.calls().iter().filter(|call| call.phase == phase);
        let slowest = calls.filter_map(|call| call.first).max().expect("a token");
        let told = report
            .first(phase, LengthClass::Short, 1.0)
            .expect("a quantile");
        let off = told.abs_diff(slowest);
        let most = slowest.mul_f64(DIGITS) + Duration::from_micros(1);
        assert!(off <= most, "{told:?} for {slowest:?}");
    }
}
