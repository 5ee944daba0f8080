//! One node places the requests of a cell for all nodes: load, herds, cold engines and lost messages.

mod site;

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use catkinusher_core::directory::{Directory, Limits, Service};
use catkinusher_core::fleet::{
    Authority, Cell, Demand, Fleet, Load, Overload, Policy, Pressure, Upstream,
};
use catkinusher_core::id::{Incarnation, Serial};
use catkinusher_core::placer::{Ask, Asker, Context, Placer, Step, Verdict};
use catkinusher_core::time::Time;
use catkinusher_core::units::{Rate, Tokens};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use site::{SERVICE, model, rates, upstream};

const CENTRES: [&str; 5] = ["antwerpen", "brugge", "gent", "kortrijk", "leuven"];

fn ms(millis: u64) -> Time {
    Time::from_millis(millis)
}

fn directory() -> Directory {
    let service = Service {
        cold_rate: Some(Rate::per_second(36.0)),
        ..model()
    };
    let limits = Limits {
        max_head_bytes: 1000,
        max_body_bytes: 1000,
        head_timeout: Duration::from_secs(1),
        idle_timeout: Duration::from_secs(1),
    };
    Directory::new(1, Vec::new(), vec![service], None, limits)
}

fn whole() -> Cell {
    Cell {
        service: SERVICE.parse().unwrap(),
        data_centre: None,
    }
}

fn ask(number: u64, cell: Cell, prompt: u64) -> Ask {
    Ask {
        serial: Serial::new(Incarnation::new(1), number),
        cell,
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

fn asker(node: usize) -> Asker {
    let address: SocketAddr = format!("10.1.{}.{}:7340", node / 200, node % 200 + 1)
        .parse()
        .unwrap();
    Asker {
        peer: Some(node as u64),
        address,
    }
}

/// A node that places requests, with its view of the fleet.
struct Node {
    placer: Placer,
    fleet: Fleet,
    directory: Directory,
    policy: Policy,
    rng: ChaCha8Rng,
}

impl Node {
    fn new(upstreams: Vec<Upstream>) -> Self {
        let mut fleet = Fleet::new("gent".parse().unwrap());
        fleet.on_list(upstreams, false, ms(0));
        Self {
            placer: Placer::new(Incarnation::new(1)),
            fleet,
            directory: directory(),
            policy: Policy::default(),
            rng: ChaCha8Rng::seed_from_u64(3),
        }
    }

    fn on_ask(&mut self, from: usize, ask: Ask, now: Time) -> Step {
        let mut context = Context {
            fleet: &mut self.fleet,
            directory: &self.directory,
            policy: &self.policy,
            now,
        };
        self.placer
            .on_ask(asker(from), ask, &mut context, &mut self.rng)
    }

    fn poll(&mut self, now: Time) -> Vec<(Asker, u64, Verdict)> {
        let mut context = Context {
            fleet: &mut self.fleet,
            directory: &self.directory,
            policy: &self.policy,
            now,
        };
        self.placer
            .poll(&mut context, &mut self.rng)
            .into_iter()
            .map(|(asker, answer)| (asker, answer.serial.number, answer.verdict))
            .collect()
    }
}

fn verdict(step: Step) -> Verdict {
    match step {
        Step::Answer(answer) => answer.verdict,
        Step::Forward(ask) => panic!("passed on: {ask:?}"),
    }
}

/// 135 engines in five data centres.
fn large() -> Vec<Upstream> {
    (0..135)
        .map(|number| Upstream {
            id: format!("i-{number:03}").parse().unwrap(),
            data_centre: CENTRES[number % 5].parse().unwrap(),
            ..upstream(number)
        })
        .collect()
}

#[test]
fn a_burst_from_three_hundred_nodes_fills_no_engine_before_another() {
    let mut node = Node::new((0..27).map(upstream).collect());
    let mut placed = BTreeMap::<u32, u32>::new();
    // All ask within one millisecond, before any of them can report.
    for from in 0..300 {
        let answer = verdict(node.on_ask(from, ask(1, whole(), 5000), ms(10)));
        let Verdict::Granted(granted) = answer else {
            panic!("{answer:?}");
        };
        *placed.entry(granted.primary.upstream).or_default() += 1;
    }
    let most = placed.values().max().unwrap();
    assert!(*most <= rates().slots, "{placed:?}");
}

#[test]
fn grants_are_replaced_by_reports_and_lapse_if_they_are_not_used() {
    let mut node = Node::new((0..2).map(upstream).collect());
    let answer = verdict(node.on_ask(7, ask(1, whole(), 5000), ms(0)));
    let Verdict::Granted(granted) = answer else {
        panic!("{answer:?}");
    };
    let busy = |node: &Node, now| node.fleet.pressure(&whole(), now).utilization > 0.0;
    assert!(busy(&node, ms(1)), "it counts at once");
    let load = Load {
        short_requests: 1,
        total_prefill_ms: 20,
        ..Load::default()
    };
    let report = HashMap::from([(granted.primary.upstream, load)]);
    node.fleet
        .on_loads(7, report, true, granted.grant.number, ms(20));
    assert!(busy(&node, ms(600)), "the report has replaced the grant");
    let ended = Load {
        short_requests: 0,
        succeeded: 1,
        ..load
    };
    let report = HashMap::from([(granted.primary.upstream, ended)]);
    node.fleet
        .on_loads(7, report, false, granted.grant.number, ms(700));
    assert!(!busy(&node, ms(700)));
    // The answer to the second ask is lost.
    let _lost = node.on_ask(7, ask(2, whole(), 5000), ms(800));
    assert!(busy(&node, ms(801)));
    node.fleet.on_loads(8, HashMap::new(), true, 0, ms(1300));
    assert!(!busy(&node, ms(1300)), "an unused grant lapses");
}

#[test]
fn waiting_prompts_are_placed_the_shortest_first_and_abandoned_ones_dropped() {
    let mut node = Node::new((0..8).map(upstream).collect());
    let long = |number, prompt| Ask {
        objective: 3000,
        patience: 12_000,
        ..ask(number, whole(), prompt)
    };
    // Shorter prompts are in prefill on all engines for the first 1.5 s.
    let busy = Load {
        parts: 1,
        min_pending_prefill_ms: 10,
        ..Load::default()
    };
    let all = (0..8).map(|number| Fleet::short_id(&upstream(number).id));
    let busy: HashMap<u32, Load> = all.map(|id| (id, busy)).collect();
    node.fleet.on_loads(0, busy, true, 0, ms(0));
    for (from, prompt) in [(1, 400_000), (2, 300_000), (3, 350_000)] {
        let answer = verdict(node.on_ask(from, long(1, prompt), ms(1)));
        assert_eq!(answer, Verdict::Waiting);
    }
    let mut order = Vec::new();
    for now in (25..12_000).step_by(25) {
        if now == 1500 {
            node.fleet.on_loads(0, HashMap::new(), true, 0, ms(now));
        }
        // Nodes 1 and 2 repeat their asks, node 3 has gone.
        if now % 250 == 0 {
            for (from, prompt) in [(1, 400_000), (2, 300_000)] {
                if !order.contains(&from) {
                    let answer = verdict(node.on_ask(from, long(1, prompt), ms(now)));
                    assert_eq!(answer, Verdict::Waiting);
                }
            }
        }
        for (asker, _, verdict) in node.poll(ms(now)) {
            assert!(matches!(verdict, Verdict::Granted(_)), "{verdict:?}");
            order.push(asker.peer.unwrap() as usize);
        }
    }
    assert_eq!(order, [2, 1]);
}

#[test]
fn a_waiting_prompt_whose_node_stops_is_refused_while_others_wait() {
    let mut node = Node::new(vec![upstream(0)]);
    // One engine alone would prefill it for longer than a waiting prompt accepts.
    let long = |left| Ask {
        objective: 3000,
        patience: 12_000,
        left,
        ..ask(1, whole(), 180_000)
    };
    for from in [1, 2] {
        let answer = verdict(node.on_ask(from, long(15_000), ms(0)));
        assert_eq!(answer, Verdict::Waiting);
    }
    // Node 1 has begun to stop.
    let repeated = long(1000);
    assert_eq!(verdict(node.on_ask(1, repeated, ms(250))), Verdict::Waiting);
    let answers = node.poll(ms(275));
    assert!(
        matches!(
            answers.as_slice(),
            [(asker, _, Verdict::Overloaded(Overload::Late(_)))] if asker.peer == Some(1)
        ),
        "{answers:?}"
    );
}

#[test]
fn a_large_service_has_a_cell_for_each_data_centre() {
    let node = Node::new(large());
    let service = SERVICE.parse().unwrap();
    assert_eq!(node.fleet.open_cells(&service).len(), 5);
    let home = node.fleet.home_cell(&service, "front-gent-1");
    assert_eq!(home.data_centre, Some("gent".parse().unwrap()));
    let small = Node::new((0..16).map(upstream).collect());
    assert_eq!(small.fleet.home_cell(&service, "front-gent-1"), whole());
}

#[test]
fn a_full_cell_passes_requests_on_to_one_with_room() {
    let mut node = Node::new(large());
    let cell = |centre: &str| Cell {
        data_centre: Some(centre.parse().unwrap()),
        ..whole()
    };
    let pressure = |utilization| Pressure {
        utilization,
        prefill_ms: 0.0,
    };
    node.placer
        .on_pressure(cell("leuven"), pressure(0.9), ms(0));
    node.placer
        .on_pressure(cell("brugge"), pressure(0.3), ms(0));
    let mut passed_on = 0;
    for number in 0..500 {
        match node.on_ask(number, ask(1, cell("gent"), 5000), ms(5)) {
            Step::Answer(answer) => {
                assert!(
                    matches!(answer.verdict, Verdict::Granted(_)),
                    "no request is refused while another cell has room: {answer:?}"
                );
            }
            Step::Forward(ask) => {
                assert_eq!(ask.cell, cell("brugge"));
                assert!(ask.forwarded, "it is passed on only once");
                passed_on += 1;
            }
        }
    }
    assert!(passed_on > 0);
}

#[test]
fn two_placers_and_lonely_nodes_together_spare_a_cold_engine() {
    let mut cold = upstream(0);
    cold.cold_for = Duration::from_secs(10);
    let mut sent = 0;
    // A second node places as well, since some nodes cannot reach the first.
    for _ in 0..2 {
        let mut node = Node::new(vec![cold.clone()]);
        for millis in 0..1000 {
            let answer = verdict(node.on_ask(1, ask(millis, whole(), 5000), ms(millis)));
            sent += u32::from(matches!(answer, Verdict::Granted(_)));
        }
    }
    // 300 nodes hear from nobody and place for themselves.
    for _ in 0..300 {
        let mut fleet = Fleet::new("gent".parse().unwrap());
        fleet.on_node_count(300);
        fleet.on_list(vec![cold.clone()], false, ms(0));
        let demand = Demand {
            prompt: Tokens::new(5000),
            answer: Tokens::new(2000),
            time_left: Duration::from_secs(10),
            authority: Authority::Own,
            ..Demand::default()
        };
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        match fleet.place(&model(), &demand, &Policy::default(), ms(0), &mut rng) {
            Ok(_) => sent += 1,
            Err(overload) => assert_eq!(overload, Overload::None),
        }
    }
    // 36 per second, half of that in addition, and 5: the bound in the users' documentation.
    assert!(sent <= 59, "{sent} requests in one second");
    assert!(sent > 0);
}

#[test]
fn an_ask_of_a_restarted_node_is_not_taken_for_one_of_its_last_process() {
    // Requests of a restarted node got the upstreams of another service (ROUTE).
    let mut node = Node::new(vec![upstream(0)]);
    let long = |number| Ask {
        objective: 3000,
        patience: 12_000,
        ..ask(number, whole(), 180_000)
    };
    for from in [1, 2] {
        let answer = verdict(node.on_ask(from, long(1), ms(0)));
        assert_eq!(answer, Verdict::Waiting);
    }
    let restarted = Ask {
        serial: Serial::new(Incarnation::new(2), 1),
        ..ask(1, whole(), 40)
    };
    let short = verdict(node.on_ask(1, restarted, ms(250)));
    assert!(matches!(short, Verdict::Granted(_)), "{short:?}");
    node.placer.forget_peer(1);
    node.placer.forget_peer(2);
    assert!(!node.placer.has_waiting(), "no process waits for them");
}

#[test]
fn a_grant_carries_the_reason_for_the_choice_and_leaves_out_what_is_not_known() {
    // The answer dropped the sizes of the pools, and the node that sends logged zeros.
    let mut node = Node::new((0..8).map(upstream).collect());
    let known = |step| match verdict(step) {
        Verdict::Granted(granted) => granted,
        other => panic!("not placed: {other:?}"),
    };
    let first = known(node.on_ask(0, ask(1, whole(), 1000), ms(0)));
    assert_eq!(first.shorts, 1);
    assert_eq!(first.age, None, "no node has reported");
    let json = serde_json::to_value(&first).unwrap();
    assert_eq!(json.get("a"), None, "absent fields are not sent: {json}");
    assert_eq!(json.get("r"), None, "zeros are not sent: {json}");
    assert_eq!(
        first.next, None,
        "the pool for short prompts has one engine"
    );

    node.fleet.on_loads(1, HashMap::new(), true, 0, ms(10));
    let long = known(node.on_ask(0, ask(2, whole(), 60_000), ms(35)));
    assert_eq!((long.shorts, long.writers), (1, 1));
    assert_eq!(long.age, Some(25));
}

#[test]
fn a_grant_in_a_cell_names_the_runner_up_with_its_score() {
    let mut node = Node::new(large());
    let cell = Cell {
        data_centre: Some("gent".parse().unwrap()),
        ..whole()
    };
    let mut grant = |number| {
        let answer = verdict(node.on_ask(0, ask(number, cell.clone(), 1000), ms(0)));
        let Verdict::Granted(granted) = answer else {
            panic!("{answer:?}");
        };
        granted
    };
    let first = grant(1);
    let (next, next_score) = first.next.expect("27 engines have a runner-up");
    assert_ne!(next, first.primary.upstream);
    assert_eq!(Some(next_score), first.score, "both engines are idle");
    // Each engine of the pool but one has a prompt; the runner-up of the last one is among them.
    let last = (2..=u64::from(first.shorts))
        .map(&mut grant)
        .last()
        .unwrap();
    assert!(last.next.unwrap().1 > last.score.unwrap(), "{last:?}");
}
