//! The platform call budget, status reports and health by upstream count.

use std::time::Duration;

use catkinusher_core::budget::{Budget, Purpose, Settings, Verdict};
use catkinusher_core::health::{self, Health};
use catkinusher_core::id::VmId;
use catkinusher_core::spread::Revision;
use catkinusher_core::status::{Collector, Report, UpstreamCounts};
use catkinusher_core::time::Time;
use catkinusher_core::units::Span;
use proptest::prelude::*;

const PURPOSES: [Purpose; 4] = [
    Purpose::Claim,
    Purpose::Lease,
    Purpose::Configuration,
    Purpose::Status,
];

/// Counts the allowed calls of each purpose if all are attempted every millisecond, in rising
/// order of urgency.
fn flood(budget: &mut Budget, seconds: u64) -> [usize; 4] {
    let mut allowed = [0; 4];
    for millis in 0..seconds * 1000 {
        let now = Time::from_millis(millis);
        for purpose in PURPOSES.into_iter().rev() {
            allowed[purpose as usize] += usize::from(budget.take(purpose, now) == Verdict::Allow);
        }
    }
    allowed
}

#[test]
fn claims_go_first_and_no_purpose_starves() {
    let mut budget = Budget::new(Settings::default(), 10, Time::ZERO);
    let allowed = flood(&mut budget, 60);
    assert!(
        allowed[0] > 2 * (allowed[1] + allowed[2] + allowed[3]) / 3,
        "{allowed:?}"
    );
    assert!(allowed.iter().all(|calls| *calls >= 30), "{allowed:?}");
}

#[test]
fn a_platform_refusal_delays_all_calls() {
    let mut budget = Budget::new(Settings::default(), 1, Time::ZERO);
    budget.on_refused(Duration::from_secs(2), Time::ZERO);
    let wait = budget.take(Purpose::Claim, Time::from_millis(500));
    assert_eq!(wait, Verdict::Wait(Duration::from_millis(1500)));
    assert_eq!(
        budget.take(Purpose::Claim, Time::from_millis(2000)),
        Verdict::Allow
    );
}

proptest! {
    /// A node never exceeds its share of the fleet's rate, whatever the pattern of calls.
    #[test]
    fn a_node_stays_under_its_share(
        nodes in 1_usize..400,
        calls in prop::collection::vec((0_usize..4, 0_u64..400), 1..400),
    ) {
        let settings = Settings::default();
        let share = (settings.fleet.get() / nodes as f64).max(settings.least.get());
        let burst = (share * settings.burst).max(4.0);
        let mut budget = Budget::new(settings, nodes, Time::ZERO);
        let (mut now, mut allowed) = (Time::ZERO, 0_u32);
        for (purpose, pause) in calls {
            now = now + Duration::from_millis(pause);
            allowed += u32::from(budget.take(PURPOSES[purpose], now) == Verdict::Allow);
        }
        let bound = burst + 4.0 + share * now.since(Time::ZERO).as_secs_f64();
        prop_assert!(f64::from(allowed) <= bound + 0.001);
    }

    /// The order in which reports are merged changes no count.
    #[test]
    fn merging_does_not_depend_on_the_order(versions in prop::collection::vec(1_u64..9, 1..40)) {
        let reports: Vec<Report> = versions.iter().enumerate().map(|(n, v)| node(n, *v)).collect();
        let mut forward = Report::default();
        for report in &reports {
            forward.merge(report);
        }
        let mut backward = Report::default();
        for report in reports.iter().rev() {
            backward.merge(report);
        }
        prop_assert_eq!(forward.nodes, backward.nodes);
        prop_assert_eq!(forward.remaining_requests(), backward.remaining_requests());
        let newest = |report: &Report| report.revisions.first().copied();
        prop_assert_eq!(newest(&forward), newest(&backward));
        prop_assert_eq!(&forward.behind, &backward.behind);
        let counted = |report: &Report| report.revisions.iter().map(|entry| entry.1).sum::<u32>();
        prop_assert_eq!(counted(&forward), counted(&backward));
    }
}

fn node(number: usize, version: u64) -> Report {
    let vm = format!("e{number:02}").parse().expect("a valid name");
    let mut report = Report::for_node(vm, Some(Revision(version, 0)), true, 2);
    let upstream = format!("u{number:02}").parse().expect("a valid name");
    report.add_draining(upstream, 1 + number as u32);
    report
}

#[test]
fn a_report_of_many_nodes_counts_all_and_lists_few() {
    let mut collector = Collector::new(Span::from_secs(15));
    let children: Vec<VmId> = (1..40_usize)
        .map(|number| format!("e{number:02}").parse().expect("a valid name"))
        .collect();
    for (number, child) in children.iter().enumerate() {
        let version = if number == 30 { 4 } else { 5 };
        collector.on_report(child.clone(), node(number + 1, version), Time::ZERO);
    }
    let mut own = node(0, 5);
    let service = "rota-llm".parse().expect("a valid name");
    let tally = UpstreamCounts {
        up: 18,
        cold: 1,
        down: 2,
    };
    own.add_service(service, tally);
    let sum = collector.aggregate(&own, &children, Time::from_millis(1000));
    assert_eq!(sum.remaining_requests(), (1..=40).sum::<u64>());
    assert!(sum.draining.len() <= 16);
    insta::assert_yaml_snapshot!(sum.for_display());
}

#[test]
fn the_report_of_a_silent_child_expires() {
    let mut collector = Collector::new(Span::from_secs(15));
    let child: VmId = "e01".parse().expect("a valid name");
    collector.on_report("e01".parse().expect("a valid name"), node(1, 5), Time::ZERO);
    let sum = collector.aggregate(&node(0, 5), &[child], Time::from_millis(15_000));
    assert_eq!(sum.nodes, 1);
}

#[test]
fn health_follows_the_count() {
    let settings = health::Settings::default();
    let course: Vec<_> = (0..=20).map(|up| (up, settings.judge(up, 20))).collect();
    insta::assert_yaml_snapshot!(course);
    assert_eq!(settings.judge(0, 0), Health::Down);
    assert_eq!(settings.judge(1, 1), Health::Good);
}
