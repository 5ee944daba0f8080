//! The preview of a placement: equal to what follows, without a change of state.

mod site;

use std::collections::HashMap;
use std::time::Duration;

use catkinusher_core::directory::{Delivery, Directory, Limits, Rank, Repeat, Route, Service};
use catkinusher_core::dry_run::{Outcome, Query, State};
use catkinusher_core::fleet::{Cell, Cost, Fleet, Overload, Policy, Upstream, WorkKind};
use catkinusher_core::id::{Incarnation, Serial};
use catkinusher_core::placer::{Ask, Asker, Context, Placer, Preview, Step, Verdict};
use catkinusher_core::roster::{Member, Roster};
use catkinusher_core::time::Time;
use catkinusher_core::units::Tokens;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use site::{SERVICE, model, upstream};

fn ms(millis: u64) -> Time {
    Time::from_millis(millis)
}

struct Node {
    placer: Placer,
    fleet: Fleet,
    directory: Directory,
    policy: Policy,
}

impl Node {
    fn new(service: Service, upstreams: Vec<Upstream>) -> Self {
        let mut fleet = Fleet::new("gent".parse().unwrap());
        fleet.on_list(upstreams, false, ms(0));
        Self {
            placer: Placer::new(Incarnation::new(1)),
            fleet,
            directory: Directory::new(1, Vec::new(), vec![service], None, Limits::default()),
            policy: Policy::default(),
        }
    }

    fn preview(&self, ask: &Ask, now: Time, rng: &mut ChaCha8Rng) -> Preview {
        let (fleet, directory) = (&self.fleet, &self.directory);
        self.placer
            .preview(ask, fleet, directory, &self.policy, now, rng)
    }

    fn on_ask(&mut self, ask: &Ask, now: Time, rng: &mut ChaCha8Rng) -> Step {
        let asker = Asker {
            peer: Some(7),
            address: "10.1.0.7:7340".parse().unwrap(),
        };
        let mut context = Context {
            fleet: &mut self.fleet,
            directory: &self.directory,
            policy: &self.policy,
            now,
        };
        self.placer.on_ask(asker, ask.clone(), &mut context, rng)
    }

    /// The whole state, for comparison.
    fn state(&self) -> String {
        let Self { placer, fleet, .. } = self;
        // The hash maps of a fleet print in the same order as long as they are not changed.
        format!("{placer:?} {fleet:?}")
    }
}

fn ask(number: u64, data_centre: Option<&str>, prompt: u64) -> Ask {
    Ask {
        serial: Serial::new(Incarnation::new(1), number),
        cell: Cell {
            service: SERVICE.parse().unwrap(),
            data_centre: data_centre.map(|name| name.parse().unwrap()),
        },
        forwarded: false,
        prompt: Tokens::new(prompt),
        answer: Tokens::new(2000),
        objective: 300,
        pause: Some(200),
        age: 0,
        patience: 2000,
        waited: 0,
        left: 15_000,
        avoid: Vec::new(),
    }
}

#[test]
fn the_answer_is_what_follows_and_changes_nothing() {
    // A preview that draws or counts anything would move the requests of callers.
    for data_centre in [None, Some("gent")] {
        let mut node = Node::new(model(), (0..40).map(upstream).collect());
        let mut rng = ChaCha8Rng::seed_from_u64(5);
        for number in 0..120 {
            let prompt = [900, 4_960, 45_000, 190_000][number as usize % 4];
            let now = ms(number * 9);
            if number % 10 == 0 {
                node.fleet
                    .on_loads(7, HashMap::new(), true, number / 2, now);
            }
            let ask = ask(number, data_centre, prompt);
            let before = node.state();
            let preview = node.preview(&ask, now, &mut rng.clone());
            assert_eq!(node.state(), before, "the state changed");
            match (preview, node.on_ask(&ask, now, &mut rng)) {
                (Preview::Placed(placement), Step::Answer(answer)) => {
                    let Verdict::Granted(granted) = answer.verdict else {
                        panic!("{placement:?} became {answer:?}");
                    };
                    let id = Fleet::short_id(&placement.primary);
                    assert_eq!(granted.primary.upstream, id);
                    assert_eq!(granted.helpers.len(), placement.helpers.len());
                    let first = &placement.basis.ranking[0];
                    assert_eq!(first.upstream, placement.primary);
                    assert_eq!(Some(first.score.thousandths()), granted.score);
                    // Each term is rounded to a thousandth.
                    let sum: u64 = first.terms.iter().map(|one| one.value.thousandths()).sum();
                    assert!(sum.abs_diff(first.score.thousandths()) <= 4, "{first:?}");
                }
                (Preview::Waiting, Step::Answer(answer)) => {
                    assert_eq!(answer.verdict, Verdict::Waiting);
                }
                (Preview::Overloaded(overload), Step::Answer(answer)) => {
                    assert_eq!(answer.verdict, Verdict::Overloaded(overload));
                }
                (preview, step) => panic!("{preview:?} became {step:?}"),
            }
        }
    }
}

#[test]
fn a_refusal_carries_its_delay() {
    let mut node = Node::new(model(), vec![upstream(0)]);
    let id = "i-00".parse().unwrap();
    let cost = Cost {
        kind: WorkKind::Short,
        prefill_time: Duration::ZERO,
        held_tokens: Tokens::new(100),
    };
    for _ in 0..18 {
        node.fleet.begin(&id, cost, ms(0));
    }
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    let preview = node.preview(&ask(1, None, 900), ms(0), &mut rng);
    let Preview::Overloaded(Overload::Full(after)) = preview else {
        panic!("not full: {preview:?}");
    };
    assert_eq!(after, Duration::from_millis(800));
}

#[test]
fn a_service_that_is_not_configured_is_told_apart_from_a_full_one() {
    let node = Node::new(model(), vec![upstream(0)]);
    let mut other = ask(1, None, 900);
    other.cell.service = "none".parse().unwrap();
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    assert_eq!(node.preview(&other, ms(0), &mut rng), Preview::Unable);
}

fn route() -> Route {
    Route {
        name: "draft".into(),
        host: "site.example".to_owned(),
        prefix: "/draft/".to_owned(),
        repeat: Repeat::Safe,
        delivery: Delivery::Events { pause: None },
        timeout: Duration::from_secs(15),
        objective: Duration::from_millis(300),
        priority: Rank::default(),
        attempts: 2,
        public: true,
        split: vec![(SERVICE.parse().unwrap(), 1.0)],
    }
}

fn state(node: &Node, now: Time) -> State {
    let member = Member {
        address: "10.1.0.1:7340".parse().unwrap(),
        capacity: 100,
        data_centre: Some("gent".parse().unwrap()),
    };
    let limits = Limits::default();
    let directory = Directory::new(1, vec![route()], vec![model()], None, limits);
    let roster = Roster::new(member, ms(0));
    let (placer, fleet) = (node.placer.clone(), node.fleet.clone());
    let name = "front-gent-1".parse().unwrap();
    let policy = node.policy.clone();
    State::new(name, &directory, &roster, placer, fleet, policy, (now, now))
}

#[test]
fn a_saved_state_answers_as_the_state_did() {
    // A field that is not saved, such as the arriving work, would change the answer.
    let mut node = Node::new(model(), (0..40).map(upstream).collect());
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    for number in 0..60 {
        let prompt = [900, 4_960, 45_000, 190_000][number as usize % 4];
        node.on_ask(
            &ask(number, Some("gent"), prompt),
            ms(number * 20),
            &mut rng,
        );
    }
    let live = state(&node, ms(1250));
    let mut bytes = Vec::new();
    ciborium::into_writer(&live, &mut bytes).unwrap();
    let saved: State = ciborium::from_reader(&*bytes).unwrap();
    for prompt in [900, 4_960, 45_000, 190_000] {
        let query = Query {
            host: "site.example".to_owned(),
            path: "/draft/1".to_owned(),
            prompt: Tokens::new(prompt),
            answer: Tokens::new(2000),
            ..Query::default()
        };
        let report = live.report(&query).unwrap();
        assert_eq!(saved.report(&query).unwrap(), report);
        assert_eq!(report.decisions[0].cell, "taalhulp/gent");
        let Outcome::Placed(reason) = &report.decisions[0].outcome else {
            assert!(prompt > 5_000, "{report:?}");
            continue;
        };
        assert!(reason.shorts > 0 && !reason.candidates.is_empty());
        // The candidates for a long prompt are the writers, here one.
        assert!(reason.candidates.len() > 1 || prompt > 5_000, "{reason:?}");
    }
}
