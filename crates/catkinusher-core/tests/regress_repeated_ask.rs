//! The repetition of a waiting ask that names the longest time left overflowed: a panic with
//! overflow checks, and without them the time left wrapped round to a fraction of a second.

mod site;

use catkinusher_core::directory::{Directory, Limits};
use catkinusher_core::fleet::{Cell, Fleet, Policy};
use catkinusher_core::id::{Incarnation, Serial};
use catkinusher_core::placer::{Answer, Ask, Asker, Context, Placer, Step, Verdict};
use catkinusher_core::time::Time;
use catkinusher_core::units::Tokens;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use site::{SERVICE, model, upstream};

#[test]
fn a_repetition_with_the_longest_time_left_waits_on() {
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let mut fleet = Fleet::new("gent".parse().unwrap());
    fleet.on_list(vec![upstream(0)], false, Time::ZERO);
    let directory = Directory::new(1, Vec::new(), vec![model()], None, Limits::default());
    let policy = Policy::default();
    let mut placer = Placer::new(Incarnation::new(1));
    let asker = Asker {
        peer: Some(1),
        address: "10.1.0.1:7340".parse().unwrap(),
    };
    // One engine alone would prefill it for longer than a waiting prompt accepts.
    let ask = Ask {
        serial: Serial::new(Incarnation::new(1), 1),
        cell: Cell {
            service: SERVICE.parse().unwrap(),
            data_centre: None,
        },
        forwarded: false,
        prompt: Tokens::new(180_000),
        answer: Tokens::new(2000),
        objective: 3000,
        pause: Some(200),
        age: 0,
        patience: 12_000,
        waited: 0,
        left: u64::MAX,
        avoid: Vec::new(),
    };
    let mut context = Context {
        fleet: &mut fleet,
        directory: &directory,
        policy: &policy,
        now: Time::ZERO,
    };
    let waits = Step::Answer(Answer {
        serial: ask.serial,
        verdict: Verdict::Waiting,
    });
    for now in [0, 250] {
        context.now = Time::from_millis(now);
        let step = placer.on_ask(asker, ask.clone(), &mut context, &mut rng);
        assert_eq!(step, waits);
    }
    context.now = Time::from_millis(275);
    assert_eq!(placer.poll(&mut context, &mut rng), []);
}
