//! Bringing a request to a step and holding it there by a stand-in's switches.

use std::time::Duration;

use catkinusher_core::id::UpstreamId;
use catkinusher_fakes::engine::Handle;

use super::caller::{BOOKING_LIMIT, Call, LIMIT, TOKENS};
use super::plan::{Flow, Step};
use crate::support::{World, post, until};

/// Words of a prompt; each is a token of the stand-ins.
const PROMPT: usize = 30_000;

/// Words of a prompt that has to wait behind others, and still be done in time.
const SHORT_PROMPT: usize = 100;

/// The key of the booking that a cell is about.
pub const KEY: &str = "slot-7";

/// How late a plain service's answers are while its effect stands alone.
const ANSWER_DELAY: u64 = 400;

/// A text that crashes the engines that are told to.
pub const PILL: &str = "pill";

/// What holds a request, until it is let go.
pub struct Held {
    blockers: Vec<Call>,
}

/// Starts the request that a cell is about at the node of this place.
pub fn start(world: &World, flow: Flow, place: usize) -> Call {
    match flow {
        Flow::Booking => book(world, place, KEY),
        Flow::Completion => complete(world, place, TOKENS, LIMIT),
    }
}

/// Starts a booking.
pub fn book(world: &World, place: usize, key: &str) -> Call {
    let request = post("/afspraak-app/bookings")
        .header("idempotency-key", key)
        .header("x-timeout-ms", BOOKING_LIMIT.as_millis() as u64)
        .body("a slot".into())
        .expect("a request");
    Call::start(world.callers(place), request)
}

/// Starts a completion with a prompt that takes a while.
pub fn complete(world: &World, place: usize, tokens: u64, limit: Duration) -> Call {
    prompted(world, place, (PROMPT, tokens), limit)
}

/// Starts a completion with this many words of prompt and tokens of answer.
fn prompted(world: &World, place: usize, size: (usize, u64), limit: Duration) -> Call {
    let (words, tokens) = size;
    let words = "abc ".repeat(words);
    let body = format!(
        r#"{{"model":"taalhulp-8b","stream":true,"max_tokens":{tokens},"prompt":"{PILL} {words}"}}"#
    );
    let request = post("/v1/completions")
        .header("x-timeout-ms", limit.as_millis() as u64)
        .body(body.into())
        .expect("a request");
    Call::start(world.callers(place), request)
}

/// Starts the request and waits until it stands at `step`, where it stays.
pub async fn bring(world: &World, flow: Flow, step: Step) -> (Call, Held) {
    let mut blockers = Vec::new();
    match (flow, step) {
        (Flow::Booking, Step::Admit) => {
            plain(world).faults().set(|faults| faults.hold = true);
            blockers.push(book(world, 0, "another-slot"));
            until(|| plain(world).records().running == 1).await;
        }
        (Flow::Completion, Step::Admit) => {
            for count in 1..=world.site.engines.len() {
                blockers.push(prompted(world, 0, (SHORT_PROMPT, TOKENS), LIMIT));
                until(|| begun(world) == count).await;
            }
            freeze_engines(world, true);
        }
        (Flow::Booking, Step::Claim) => freeze_store(world, true),
        (Flow::Booking, Step::Forward) => freeze_plain(world, true),
        (Flow::Booking, Step::Dispatch | Step::Record) => {
            plain(world).faults().set(|faults| faults.hold = true);
        }
        (Flow::Booking, Step::Finish) => {
            let delay = |faults: &mut catkinusher_fakes::plain::Faults| {
                faults.link.delay_ms = ANSWER_DELAY;
            };
            plain(world).faults().set(delay);
        }
        (Flow::Completion, Step::Forward) => freeze_engines(world, true),
        _ => {}
    }
    let before = begun(world);
    let call = if (flow, step) == (Flow::Completion, Step::Admit) {
        prompted(world, 0, (SHORT_PROMPT, TOKENS), LIMIT)
    } else {
        start(world, flow, 0)
    };
    match flow {
        Flow::Booking => booking(world, step, &call).await,
        Flow::Completion => completion(world, step, &call, before).await,
    }
    (call, Held { blockers })
}

async fn booking(world: &World, step: Step, call: &Call) {
    match step {
        Step::Admit => until(|| open(world) == 2).await,
        Step::Claim => until(|| world.nodes[0].state().stopping.open() == 1).await,
        Step::Forward => until(|| claimed(world) && open(world) == 1).await,
        Step::Dispatch => until(|| plain(world).records().running == 1).await,
        Step::Finish => until(|| plain(world).records().runs.len() == 1).await,
        Step::Record => {
            until(|| plain(world).records().running == 1).await;
            freeze_store(world, true);
            plain(world).faults().set(|faults| faults.hold = false);
            until(|| call.is_over()).await;
        }
        _ => {}
    }
}

async fn completion(world: &World, step: Step, call: &Call, before: usize) {
    let tokens = match step {
        Step::Admit => return until(|| open(world) == 3).await,
        Step::Forward => return until(|| open(world) == 1).await,
        Step::Prefill => 0,
        Step::First => 1,
        Step::Stream => TOKENS as usize / 2,
        _ => TOKENS as usize - 1,
    };
    until(|| begun(world) > before && call.tokens() >= tokens).await;
    let engine = serving(world);
    engine.faults().set(|faults| faults.link.freeze = true);
}

/// Lets a held request go.
pub fn release(world: &World, held: Held) {
    freeze_store(world, false);
    freeze_plain(world, false);
    plain(world).faults().set(|faults| faults.hold = false);
    freeze_engines(world, false);
    for blocker in held.blockers {
        blocker.leave();
    }
}

/// The only server of the plain service.
pub fn plain(world: &World) -> &catkinusher_fakes::plain::Handle {
    world.site.plains.values().next().expect("a plain service")
}

/// The name of the engine that a fault is to meet: the one at work, or any.
pub fn target(world: &World) -> UpstreamId {
    let busy = |name: &UpstreamId| {
        let nodes = world.nodes.iter();
        let open = nodes.map(|node| node.state().owners.open_requests().get(name).copied());
        open.flatten().sum::<u32>()
    };
    let engines = world.site.engines.iter();
    let latest = |engine: &Handle| engine.records().begun.last().map(|begin| begin.at);
    let most = engines.max_by_key(|(name, engine)| (latest(engine), busy(name)));
    most.expect("an engine").0.clone()
}

/// The engine that a fault is to meet.
pub fn serving(world: &World) -> &Handle {
    &world.site.engines[&target(world)]
}

/// What is in the owners' ledgers and queues.
pub fn open(world: &World) -> u32 {
    let nodes = world.nodes.iter();
    nodes
        .map(|node| node.state().owners.open_requests().values().sum::<u32>())
        .sum()
}

/// How many requests the engines have begun.
pub fn begun(world: &World) -> usize {
    let engines = world.site.engines.values();
    engines.map(|engine| engine.records().begun.len()).sum()
}

fn claimed(world: &World) -> bool {
    let writes = world.site.objects.writes();
    writes
        .iter()
        .any(|write| write.kind == catkinusher_core::claim::CLAIM_KIND)
}

fn freeze_store(world: &World, freeze: bool) {
    let objects = world.site.objects.faults();
    objects.set(|faults| faults.link.freeze = freeze);
}

fn freeze_engines(world: &World, freeze: bool) {
    for engine in world.site.engines.values() {
        engine.faults().set(|faults| faults.link.freeze = freeze);
    }
}

fn freeze_plain(world: &World, freeze: bool) {
    plain(world)
        .faults()
        .set(|faults| faults.link.freeze = freeze);
}
