//! Which content is condemned, in a fleet whose nodes see only their own requests.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use catkinusher_core::fingerprint::Fingerprint;
use catkinusher_core::id::{Incarnation, Serial};
use catkinusher_core::object::Version;
use catkinusher_core::poison::{
    Condemned, Content, CrashReport, Detector, Finding, Others, Permission, Policy,
    QuarantineEntry, TrialRecord, TrialWatch,
};
use catkinusher_core::time::Time;
use catkinusher_core::units::Span;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const NODES: usize = 40;
const ENGINES: u32 = 20;

/// The nodes that collect reports.
const COLLECTORS: [usize; 2] = [3, 17];

/// One message in this many is lost.
const LOSS: u32 = 50;

/// The steps until all nodes have read an entry from the store, or from a node that has.
const READ_STEPS: u64 = 75;

/// The duration of one step.
const STEP: Duration = Duration::from_millis(20);

fn ms(millis: u64) -> Time {
    Time::ZERO + Duration::from_millis(millis)
}

fn part(name: &str) -> Fingerprint {
    Fingerprint::of([name.as_bytes()])
}

/// A report on a request that no other one resembles.
fn report(upstream: u32, request: u64, parts: &[Fingerprint]) -> CrashReport {
    CrashReport {
        upstream,
        request,
        parts: parts.to_vec(),
        whole: part(&format!("request {request}")),
        begun: true,
    }
}

fn finding(content: Fingerprint, crashes: u32) -> Finding {
    Finding {
        content,
        crashes,
        alike: BTreeSet::from([content]),
    }
}

fn proven(content: Fingerprint, crashes: u32, left: Span) -> Condemned {
    Condemned {
        entry: QuarantineEntry::proven(content, crashes, left),
        alike: BTreeSet::from([content]),
    }
}

/// Other nodes, none of which was heard lately.
fn registered(count: usize) -> Others {
    Others {
        registered: count,
        present: 0,
    }
}

fn node(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 1000 + number as u16))
}

/// Reports crashes on different upstreams at these times in a fleet of one node, and returns how
/// much is condemned.
fn judge(detector: &mut Detector, crashes: &[(u64, u64)], content: &[Fingerprint]) -> usize {
    let mut condemned = 0;
    let mut now = 0;
    for (upstream, (at, request)) in crashes.iter().enumerate() {
        now = *at;
        detector.on_report(&report(upstream as u32, *request, content), ms(now));
    }
    for _ in 0..10 {
        condemned += detector.poll(registered(0), ms(now)).condemned.len();
        now += 100;
    }
    condemned
}

#[test]
fn three_crashes_apart_condemn_content_for_the_quarantine() {
    let mut detector = Detector::new(Incarnation::new(1), Policy::default());
    let dead = [part("dead")];
    detector.on_report(&report(1, 1, &dead), ms(0));
    detector.on_report(&report(2, 2, &dead), ms(300));
    // Another node was slower to see the same crash.
    detector.on_report(&report(2, 3, &dead), ms(1200));
    assert!(!detector.has_suspected());
    detector.on_report(&report(3, 4, &dead), ms(4000));
    assert!(detector.has_suspected());
    let rounds: Vec<(bool, usize)> = [4000, 4050, 4100, 4200, 4300]
        .map(|at| {
            let findings = detector.poll(registered(0), ms(at));
            (findings.inquiry.is_some(), findings.condemned.len())
        })
        .to_vec();
    assert_eq!(
        rounds,
        [(true, 0), (false, 0), (true, 0), (true, 0), (false, 1)]
    );
    let left = detector.refused_for(&dead, ms(4300));
    assert_eq!(left, Some(Span::from_secs(3600)));
    assert_eq!(detector.refused_for(&dead, ms(4300 + 3_600_000)), None);
}

#[test]
fn crashes_at_the_same_moment_condemn_nothing() {
    let mut detector = Detector::new(Incarnation::new(1), Policy::default());
    let content = [part("a")];
    let crashes: Vec<(u64, u64)> = (0..12).map(|number| (number * 10, number)).collect();
    assert_eq!(judge(&mut detector, &crashes, &content), 0);
}

#[test]
fn one_request_that_is_retried_condemns_nothing() {
    let mut detector = Detector::new(Incarnation::new(1), Policy::default());
    let content = [part("a")];
    let crashes = [(0, 7), (400, 7), (800, 7), (1200, 7)];
    assert_eq!(judge(&mut detector, &crashes, &content), 0);
}

#[test]
fn content_that_any_node_saw_answered_is_not_condemned() {
    let crashes = [(0, 1), (400, 2), (800, 3), (1200, 4)];
    let content = [part("a")];
    let mut before = Detector::new(Incarnation::new(1), Policy::default());
    before.on_answered(&content, ms(0));
    let unknown = report(1, 1, &[]);
    let broken = [content[0], part("request 1")];
    assert_eq!(before.report(1, 1, &broken, true, ms(1)), Some(unknown));
    assert_eq!(judge(&mut before, &crashes, &content), 0);
    let mut during = Detector::new(Incarnation::new(1), Policy::default());
    for (upstream, (at, request)) in crashes.iter().enumerate() {
        during.on_report(&report(upstream as u32, *request, &content), ms(*at));
    }
    let inquiry = during.poll(registered(2), ms(1200)).inquiry.unwrap();
    assert_eq!(inquiry.content, content);
    let mut other = Detector::new(Incarnation::new(1), Policy::default());
    other.on_answered(&content, ms(1000));
    let reply = other.reply(&inquiry, ms(1210));
    during.on_reply(&reply, node(1), ms(1220));
    assert!(!during.has_suspected());
    assert_eq!(during.poll(registered(2), ms(1300)).condemned, []);
    // What a node only heard it does not pass on, or it would never be forgotten.
    assert_eq!(during.reply(&inquiry, ms(1300)).cleared, []);
}

#[test]
fn a_node_that_is_cut_off_condemns_nothing_until_others_reply() {
    let mut detector = Detector::new(Incarnation::new(1), Policy::default());
    let content = [part("a")];
    for (upstream, at) in [(1, 0), (2, 400), (3, 800)] {
        detector.on_report(&report(upstream, upstream.into(), &content), ms(at));
    }
    let mut last = None;
    for at in (800..20_000).step_by(100) {
        let findings = detector.poll(registered(9), ms(at));
        assert_eq!(findings.condemned, []);
        last = findings.inquiry.or(last);
    }
    let inquiry = last.unwrap();
    let reply = Detector::new(Incarnation::new(1), Policy::default()).reply(&inquiry, ms(20_000));
    for number in 0..5 {
        assert_eq!(detector.poll(registered(9), ms(30_000)).condemned, []);
        detector.on_reply(&reply, node(number), ms(20_100));
    }
    assert_eq!(detector.poll(registered(9), ms(40_000)).condemned.len(), 1);
}

#[test]
fn many_suspects_are_asked_about_in_messages_that_fit() {
    let mut detector = Detector::new(Incarnation::new(1), Policy::default());
    let content: Vec<_> = (0..250).map(|number| part(&number.to_string())).collect();
    for (upstream, at) in [(1, 0), (2, 400), (3, 800)] {
        detector.on_report(&report(upstream, upstream.into(), &content), ms(at));
    }
    let mut asked = BTreeSet::new();
    for _ in 0..3 {
        let inquiry = detector.poll(registered(9), ms(800)).inquiry.unwrap();
        assert!(inquiry.content.len() <= 100);
        asked.extend(inquiry.content);
    }
    assert_eq!(asked.len(), 250);
}

#[test]
fn content_that_is_only_used_with_deadly_content_is_not_condemned() {
    let mut detector = Detector::new(Incarnation::new(1), Policy::default());
    let [dead, rare] = [part("dead"), part("rare")];
    for (upstream, at) in [(1, 0), (2, 400), (3, 800)] {
        detector.on_report(&report(upstream, upstream.into(), &[dead, rare]), ms(at));
    }
    detector.on_report(&report(4, 4, &[dead]), ms(1200));
    let condemned: Vec<_> = [1200, 1300, 1400, 1500, 1600, 1700]
        .into_iter()
        .flat_map(|at| detector.poll(registered(0), ms(at)).condemned)
        .collect();
    assert_eq!(condemned, [finding(dead, 4)]);
    assert!(!detector.has_suspected());
}

#[test]
fn a_prompt_that_comes_again_hides_no_part_and_condemns_no_sound_one() {
    let mut detector = Detector::new(Incarnation::new(1), Policy::default());
    let [dead, rare] = [part("dead"), part("rare")];
    // Its caller repeats the prompt once, and each time it is sent to two upstreams.
    for (upstream, (at, request)) in [(0, 1), (300, 1), (600, 2), (900, 2)]
        .into_iter()
        .enumerate()
    {
        let broken = CrashReport {
            whole: part("the prompt"),
            ..report(upstream as u32, request, &[dead, rare])
        };
        detector.on_report(&broken, ms(at));
    }
    let condemned = |detector: &mut Detector, from: u64| -> BTreeSet<Fingerprint> {
        (from..from + 800)
            .step_by(100)
            .flat_map(|at| detector.poll(registered(0), ms(at)).condemned)
            .map(|finding| finding.content)
            .collect()
    };
    let first = condemned(&mut detector, 900);
    assert_eq!(first, BTreeSet::from([part("the prompt")]));
    detector.on_report(&report(9, 3, &[dead]), ms(2000));
    let second = condemned(&mut detector, 2000);
    assert_eq!(second, BTreeSet::from([dead]));
}

#[test]
fn a_bystander_of_the_same_crashes_is_not_condemned() {
    let mut detector = Detector::new(Incarnation::new(1), Policy::default());
    let [dead, rare] = [part("dead"), part("rare")];
    for (upstream, at) in [(1, 0), (2, 400), (3, 800)] {
        detector.on_report(&report(upstream, upstream.into(), &[dead]), ms(at));
        let waiting = CrashReport {
            begun: false,
            ..report(upstream, 100 + u64::from(upstream), &[rare])
        };
        detector.on_report(&waiting, ms(at + 1));
    }
    let condemned: Vec<_> = (900..2000)
        .step_by(100)
        .flat_map(|at| detector.poll(registered(0), ms(at)).condemned)
        .collect();
    assert_eq!(condemned, [finding(dead, 3)]);
}

#[test]
fn what_another_node_condemned_explains_crashes() {
    let mut detector = Detector::new(Incarnation::new(1), Policy::default());
    let [dead, rare] = [part("dead"), part("rare")];
    for (upstream, at) in [(1, 0), (2, 400), (3, 800)] {
        detector.on_report(&report(upstream, upstream.into(), &[dead, rare]), ms(at));
    }
    let entry = proven(dead, 3, Span::from_secs(60));
    detector.on_entries(&[entry], ms(900));
    assert!(!detector.has_suspected());
}

#[test]
fn content_that_was_sound_long_ago_is_suspected_again() {
    let mut detector = Detector::new(Incarnation::new(1), Policy::default());
    let content = [part("a")];
    detector.on_answered(&content, ms(0));
    let crashes = [(130_000, 1), (130_400, 2), (130_800, 3)];
    assert_eq!(judge(&mut detector, &crashes, &content), 1);
}

#[test]
fn entries_of_other_nodes_are_taken_over_until_they_are_released() {
    let mut detector = Detector::new(Incarnation::new(1), Policy::default());
    let content = [part("a"), part("b")];
    let entry = proven(content[0], 3, Span::from_secs(60));
    assert_eq!(
        detector.on_entries(std::slice::from_ref(&entry), ms(0)),
        content[..1]
    );
    assert_eq!(detector.on_entries(&[entry], ms(1)), []);
    assert_eq!(
        detector.refused_for(&content, ms(10_001)),
        Some(Span::from_secs(50))
    );
    // The condemned part explains the crash.
    let broken = [content[0], part("c"), part("request 1")];
    let explained = report(1, 1, &content[..1]);
    assert_eq!(detector.report(1, 1, &broken, true, ms(2)), Some(explained));
    assert!(detector.release(content[0]));
    assert_eq!(detector.refused_for(&content, ms(3)), None);
}

#[test]
fn the_content_of_a_request_is_its_shared_parts_and_itself() {
    let parts = ["a1", "b2"].map(|part| part.parse().unwrap());
    let own = "c3".parse().unwrap();
    let content = Content {
        customer: None,
        target: "/stream/",
        body: b"body",
        shared: &parts,
        own: Some(&own),
    };
    let first = content.fingerprints();
    assert_eq!(first.len(), 3);
    let other = Content {
        body: b"other",
        ..content
    };
    let other = other.fingerprints();
    assert_eq!(first[..2], other[..2]);
    assert_ne!(first[2], other[2]);
}

/// A request in prefill on an engine.
struct Running {
    /// Whether it is a repetition, of which there is one.
    is_repeat: bool,
    node: usize,
    request: u64,
    engine: u32,
    begins: u64,
    content: Vec<Fingerprint>,
}

/// What became of the requests in one simulation.
#[derive(Debug, Default)]
struct Counts {
    crashes: Vec<u64>,
    /// The steps at which requests with the deadly part were sent.
    deadly: Vec<u64>,
    condemned: BTreeSet<Fingerprint>,
    refused: u32,
}

struct Fleet {
    nodes: Vec<Detector>,
    running: Vec<Running>,
    next: u64,
    /// The entries in the store, with the step at which all nodes have read them.
    stored: Vec<(u64, Condemned)>,
    deadly: BTreeSet<Fingerprint>,
    /// Whether callers repeat requests that broke off.
    repeats: bool,
    counts: Counts,
    rng: ChaCha8Rng,
}

impl Fleet {
    fn new(seed: u64, deadly: usize, repeats: bool) -> Self {
        Self {
            nodes: vec![Detector::new(Incarnation::new(1), Policy::default()); NODES],
            running: Vec::new(),
            next: 0,
            stored: Vec::new(),
            repeats,
            deadly: (0..deadly).map(deadly_part).collect(),
            counts: Counts::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    fn arrives(&mut self) -> bool {
        !self.rng.random_ratio(1, LOSS)
    }

    /// Sends a prompt with these parts, and its whole as the last if it comes again.
    fn send(&mut self, step: u64, mut content: Vec<Fingerprint>, is_repeat: bool) {
        let sender = self.rng.random_range(0..NODES);
        if self.nodes[sender]
            .refused_for(&content, Time::ZERO + STEP * step as u32)
            .is_some()
        {
            self.counts.refused += 1;
            return;
        }
        if content.iter().any(|one| self.deadly.contains(one)) {
            self.counts.deadly.push(step);
        }
        self.next += 1;
        if !is_repeat {
            content.push(part(&format!("request {}", self.next)));
        }
        let begins = step + self.rng.random_range(4..20);
        self.running.push(Running {
            is_repeat,
            node: sender,
            request: self.next,
            engine: self.rng.random_range(0..ENGINES),
            begins,
            content,
        });
    }

    fn crash(&mut self, engine: u32, step: u64) {
        self.counts.crashes.push(step);
        let now = Time::ZERO + STEP * step as u32;
        let broken: Vec<Running> = self
            .running
            .extract_if(.., |one| one.engine == engine)
            .collect();
        let repeats: Vec<_> = broken
            .iter()
            .filter(|one| self.repeats && !one.is_repeat)
            .map(|one| one.content.clone())
            .collect();
        for one in broken {
            let begun = one.begins <= step;
            // The upstream has a new id after each crash.
            let upstream = engine + 100 * self.counts.crashes.len() as u32;
            let report =
                self.nodes[one.node].report(upstream, one.request, &one.content, begun, now);
            let Some(report) = report else { continue };
            for collector in COLLECTORS {
                if self.arrives() {
                    self.nodes[collector].on_report(&report, now);
                }
            }
        }
        for content in repeats {
            self.send(step, content, true);
        }
    }

    /// Begins the answers that are due, each of which crashes its engine if it has the deadly part.
    fn answer(&mut self, step: u64) {
        let now = Time::ZERO + STEP * step as u32;
        while let Some(index) = self.running.iter().position(|one| one.begins <= step) {
            let content = &self.running[index].content;
            if content.iter().any(|one| self.deadly.contains(one)) {
                self.crash(self.running[index].engine, step);
            } else {
                let one = self.running.swap_remove(index);
                self.nodes[one.node].on_answered(&one.content, now);
            }
        }
    }

    fn judge(&mut self, step: u64) {
        let now = Time::ZERO + STEP * step as u32;
        for (_, entry) in self.stored.extract_if(.., |(at, _)| *at <= step) {
            for node in &mut self.nodes {
                node.on_entries(std::slice::from_ref(&entry), now);
            }
        }
        for collector in COLLECTORS {
            let findings = self.nodes[collector].poll(registered(NODES - 1), now);
            let mut entries: Vec<Condemned> = Vec::new();
            for finding in findings.condemned {
                self.counts.condemned.insert(finding.content);
                let left = Span::from_secs(3600);
                entries.push(Condemned {
                    entry: QuarantineEntry::proven(finding.content, finding.crashes, left),
                    alike: finding.alike,
                });
            }
            self.stored.extend(
                entries
                    .iter()
                    .map(|entry| (step + READ_STEPS, entry.clone())),
            );
            for other in 0..NODES {
                if let Some(inquiry) = &findings.inquiry
                    && self.arrives()
                    && self.arrives()
                {
                    let reply = self.nodes[other].reply(inquiry, now);
                    self.nodes[collector].on_reply(&reply, node(other), now);
                }
                if !entries.is_empty() && self.arrives() {
                    self.nodes[other].on_entries(&entries, now);
                }
            }
        }
    }
}

fn deadly_part(number: usize) -> Fingerprint {
    part(&format!("dead {number}"))
}

/// Plays 40 s in which a poisoned request comes each `poison_every` steps, with one of `deadly`
/// parts in turn, and an engine crashes by chance once in `chance` steps.
fn play(seed: u64, deadly: usize, repeats: bool, poison_every: u64, chance: u32) -> Counts {
    let mut fleet = Fleet::new(seed, deadly, repeats);
    let mut poisoned = 0;
    for step in 0..2_000 {
        for _ in 0..2 {
            let content = pick(&mut fleet.rng);
            fleet.send(step, content, false);
        }
        if step > 200 && step % poison_every == 0 {
            let mut content = pick(&mut fleet.rng);
            content.insert(1, deadly_part(poisoned % deadly));
            poisoned += 1;
            fleet.send(step, content, false);
        }
        if fleet.rng.random_ratio(1, chance) {
            let engine = fleet.rng.random_range(0..ENGINES);
            fleet.crash(engine, step);
        }
        fleet.answer(step);
        if step % 5 == 0 {
            fleet.judge(step);
        }
    }
    fleet.counts
}

/// A first part of all, one of a few documents, and a rare one that two to five requests share.
fn pick(rng: &mut ChaCha8Rng) -> Vec<Fingerprint> {
    let documents = ["b0", "b1", "b2", "b3"];
    let document = documents.choose(rng).unwrap();
    let rare = format!("rare {}", rng.random_range(0..1_200));
    vec![part("first"), part(document), part(&rare)]
}

#[test]
fn only_the_deadly_part_is_condemned_and_soon() {
    for seed in 0..20 {
        for poison_every in [2, 10, 30, 100] {
            let counts = play(seed, 1, true, poison_every, 100);
            let case = format!("seed {seed}, each {poison_every} steps: {counts:?}");
            assert_eq!(counts.condemned, BTreeSet::from([deadly_part(0)]), "{case}");
            // Crashes by chance are among the crashes, so the fifth is no later than the fifth deadly one.
            let deadly_crashes = counts.crashes.iter().filter(|step| **step > 200);
            let fifth = deadly_crashes.copied().nth(4).unwrap_or(u64::MAX);
            let limit = fifth.saturating_add(150);
            let late = counts.deadly.iter().filter(|step| **step > limit);
            assert!(late.count() <= 3, "{case}");
            assert!(counts.refused > 0, "{case}");
        }
    }
}

#[test]
fn several_deadly_parts_are_all_condemned() {
    for seed in 0..10 {
        let counts = play(seed, 12, false, 4, 100);
        let deadly: BTreeSet<_> = (0..12).map(deadly_part).collect();
        assert_eq!(counts.condemned, deadly, "seed {seed}: {counts:?}");
    }
}

#[test]
fn several_deadly_parts_in_requests_that_come_again_are_all_condemned() {
    let common: BTreeSet<_> = ["first", "b0", "b1", "b2", "b3"].map(part).into();
    for seed in 0..10 {
        let counts = play(seed, 12, true, 4, 100);
        let deadly: BTreeSet<_> = (0..12).map(deadly_part).collect();
        let case = format!("seed {seed}: {counts:?}");
        assert!(counts.condemned.is_superset(&deadly), "{case}");
        // Nearly all requests break off, so a part that few of them have may be condemned, too.
        assert!(counts.condemned.is_disjoint(&common), "{case}");
    }
}

#[test]
fn crashes_by_chance_condemn_nothing() {
    for seed in 0..20 {
        let counts = play(seed, 1, true, u64::MAX, 12);
        assert!(counts.crashes.len() > 100);
        assert_eq!(counts.condemned, BTreeSet::new(), "seed {seed}");
        assert_eq!(counts.refused, 0);
    }
}

#[test]
fn a_late_reply_to_the_last_process_is_no_answer_to_an_inquiry() {
    // Content was condemned without the answers of half of the nodes.
    let suspected = |process| {
        let mut detector = Detector::new(Incarnation::new(process), Policy::default());
        for number in 0..5 {
            detector.on_report(
                &report(number, number.into(), &[part("a")]),
                ms(u64::from(number) * 300),
            );
        }
        let inquiry = detector.poll(registered(10), ms(1500)).inquiry.unwrap();
        (detector, inquiry)
    };
    let (_, late) = suspected(1);
    let (mut detector, _) = suspected(2);
    let other = Detector::new(Incarnation::new(3), Policy::default());
    for number in 0..10 {
        let reply = other.reply(&late, ms(1500));
        detector.on_reply(&reply, node(number), ms(1600));
    }
    for now in (1600..3000).step_by(100) {
        assert!(detector.poll(registered(10), ms(now)).condemned.is_empty());
    }
}

/// A detector that has condemned these parts together.
fn condemned_together(parts: &[Fingerprint]) -> Detector {
    let mut detector = Detector::new(Incarnation::new(1), Policy::default());
    for (upstream, at) in [(1, 0), (2, 400), (3, 800)] {
        detector.on_report(&report(upstream, upstream.into(), parts), ms(at));
    }
    for at in (800..2000).step_by(100) {
        detector.poll(registered(0), ms(at));
    }
    assert!(
        parts
            .iter()
            .all(|one| detector.is_condemned(*one, ms(2000)))
    );
    detector
}

fn refuses(detector: &Detector, content: &[Fingerprint]) -> bool {
    matches!(detector.check(content, ms(2000)), Permission::Refuse { .. })
}

#[test]
fn only_a_request_that_can_tell_condemned_parts_apart_is_a_trial() {
    // Sound parts that were only seen beside a deadly one stayed refused for an hour (LOST).
    let [rare, other, dead] = ["rare", "other", "dead"].map(part);
    let mut detector = condemned_together(&[rare, other, dead]);
    assert!(refuses(&detector, &[rare, other, dead]));
    assert_eq!(detector.check(&[part("free")], ms(2000)), Permission::Run);
    let both = BTreeSet::from([rare, other]);
    let trial = detector.check(&[rare, other, part("free")], ms(2000));
    assert_eq!(trial, Permission::Trial(both.clone()));
    // A crash shows that one of the two is deadly, so that only each alone can tell more.
    let told = detector.on_trial_crashed(&both, ms(2000));
    assert!(refuses(&detector, &[rare, other]));
    let alone = detector.check(&[rare], ms(2000));
    assert_eq!(alone, Permission::Trial(BTreeSet::from([rare])));
    // Older news does not undo that, and an answer frees at once.
    let mut peer = condemned_together(&[rare, other, dead]);
    peer.on_entries(&told, ms(2000));
    peer.on_entries(&[proven(part("x"), 3, Span::from_secs(60))], ms(2000));
    assert!(refuses(&peer, &[rare, other]));
    assert_eq!(detector.on_answered(&[rare], ms(2000)), [rare]);
    assert_eq!(detector.check(&[rare], ms(2000)), Permission::Run);
    assert!(refuses(&detector, &[other]), "it alone is left of the two");
    assert_eq!(peer.on_released(&[rare], ms(2000)), [rare]);
    assert_eq!(
        peer.on_entries(&told, ms(2001)),
        [],
        "the news is older than the answer"
    );
    assert_eq!(peer.check(&[rare], ms(2001)), Permission::Run);
}

#[test]
fn one_trial_runs_at_a_time_and_few_that_prove_nothing() {
    let name = part("record");
    let serial = |number| Serial::new(Incarnation::new(7), number);
    let version = Version::new;
    let mut watch = TrialWatch::default();
    assert!(watch.is_due(name, ms(0)));
    assert!(
        !watch.is_due(name, ms(100)),
        "each attempt is a call of the store"
    );
    let first = TrialRecord::default().begin(serial(1));
    assert!(!watch.may_begin(name, &first, version(5), ms(300)));
    assert!(!watch.may_begin(name, &first, version(5), ms(4200)));
    assert!(
        watch.may_begin(name, &first, version(5), ms(4300)),
        "the node of the first trial has ended"
    );
    let second = first.begin(serial(2));
    assert!(!watch.may_begin(name, &second, version(6), ms(9000)));
    assert!(
        watch.is_exhausted(name),
        "two trials may have crashed an upstream"
    );
    // The first was slow, and is sound after all.
    let third = second.end(serial(1), true);
    assert_eq!((third.unproven, third.running), (1, Some(serial(2))));
    let fourth = third.end(serial(2), false);
    assert!(watch.may_begin(name, &fourth, version(8), ms(9100)));
}

#[test]
fn no_trial_begins_while_a_restored_store_may_have_lost_the_record_of_one() {
    let name = part("record");
    let mut watch = TrialWatch::default();
    watch.on_restored(ms(1000));
    assert!(watch.is_held(ms(4900)) && !watch.is_due(name, ms(4900)));
    assert!(!watch.is_held(ms(5000)) && watch.is_due(name, ms(5000)));
}

#[test]
fn nodes_that_were_lost_for_good_do_not_keep_content_from_being_condemned() {
    // Four of seven nodes were removed, and a deadly part crashed upstreams without end (BUDGET).
    let mut detector = Detector::new(Incarnation::new(1), Policy::default());
    let dead = part("dead");
    for (upstream, at) in [(1, 0), (2, 400), (3, 800)] {
        detector.on_report(&report(upstream, upstream.into(), &[dead]), ms(at));
    }
    let others = Others {
        registered: 6,
        present: 2,
    };
    let other = Detector::new(Incarnation::new(2), Policy::default());
    for at in (800..2500).step_by(100) {
        let Some(inquiry) = detector.poll(others, ms(at)).inquiry else {
            continue;
        };
        for number in 0..2 {
            detector.on_reply(&other.reply(&inquiry, ms(at)), node(number), ms(at));
        }
    }
    assert!(detector.is_condemned(dead, ms(2500)));
    // Nodes that cannot answer may know better, so one request may show it.
    let only = BTreeSet::from([dead]);
    let trial = detector.check(&[dead], ms(2500));
    assert_eq!(trial, Permission::Trial(only.clone()));
    detector.on_trial_crashed(&only, ms(2500));
    let refused = detector.check(&[dead], ms(2500));
    assert!(matches!(refused, Permission::Refuse { .. }), "{refused:?}");
}

#[test]
fn a_deadly_part_among_a_thousand_new_ones_is_condemned() {
    // A part behind 32 others was in no report (BUDGET).
    let mut detector = Detector::new(Incarnation::new(1), Policy::default());
    let dead = part("dead");
    for (request, at) in [(1, 0), (2, 400), (3, 800)] {
        let mut parts: Vec<_> = (0..4000)
            .map(|number| part(&format!("new {request} {number}")))
            .collect();
        parts.push(dead);
        let reports: Vec<_> = report(request as u32, request, &parts).split().collect();
        assert!(reports.len() > 1);
        for report in &reports {
            assert!(report.parts.len() <= 128, "it has to fit into a datagram");
            detector.on_report(report, ms(at));
        }
    }
    let condemned: Vec<_> = (800..2000)
        .step_by(100)
        .flat_map(|at| detector.poll(registered(0), ms(at)).condemned)
        .collect();
    assert_eq!(condemned, [finding(dead, 3)]);
}
