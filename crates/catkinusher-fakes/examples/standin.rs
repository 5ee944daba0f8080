//! Runs one stand-in as a process of its own, until SIGTERM or SIGINT.
//!
//! It prints `listening ADDR` on standard output once it listens, and `control
//! ADDR` after that if a control listener was asked for.

use std::fs;
use std::io::Write as _;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::str::FromStr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use anyhow::{Context as _, Result, bail};
use catkinusher_core::id::Incarnation;
use catkinusher_core::units::{Rate, Span, Tokens};
use catkinusher_fakes::faults::{Control, Faults, Switches};
use catkinusher_fakes::{any_port, engine, object, plain, relay, vms};
use getopts::{Matches, Options};
use tokio::signal::unix::{SignalKind, signal};

/// How the options are introduced in the help.
const BRIEF: &str = "Usage: standin object|vms|engine|plain|relay [OPTIONS]";

fn options() -> Options {
    let mut options = Options::new();
    options
        .optflag("h", "help", "print this help")
        .optopt("", "listen", "where to listen", "ADDR")
        .optopt(
            "",
            "control",
            "where to answer /_faults whatever the faults",
            "ADDR",
        )
        .optopt("", "lag", "how late lists and reports are", "SPAN")
        .optopt("", "vms", "vms: the first list, in TOML or JSON", "FILE")
        .optopt("", "name", "plain: the service's name", "NAME")
        .optopt("", "work", "plain: how long a call takes", "SPAN")
        .optopt("", "limit", "plain: the most calls at a time", "COUNT")
        .optopt(
            "",
            "memory",
            "engine: tokens that fit in its memory",
            "TOKENS",
        )
        .optopt("", "prefill", "engine: prompt tokens a second", "RATE")
        .optopt(
            "",
            "decode",
            "engine: tokens a second for a stream alone",
            "RATE",
        )
        .optopt("", "streams", "engine: the most streams", "COUNT")
        .optopt(
            "",
            "chunk",
            "engine: prompt tokens in a step, 0 for whole prompts",
            "TOKENS",
        )
        .optopt(
            "",
            "cold-streams",
            "engine: streams it bears after its start",
            "COUNT",
        )
        .optopt(
            "",
            "speed",
            "engine: how much faster than its rates",
            "FACTOR",
        )
        .optopt(
            "",
            "grace",
            "engine: how long an unread stream goes on",
            "SPAN",
        )
        .optmulti(
            "",
            "model",
            "engine: a model that is loaded",
            "NAME=VERSION",
        )
        .optflag("", "warm", "engine: start warm")
        .optflag(
            "",
            "no-fencing",
            "engine: take orders with old fencing numbers",
        )
        .optopt("", "target", "relay: where it leads", "ADDR");
    options
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("standin: {error:#}");
            ExitCode::from(2)
        }
    }
}

#[tokio::main]
async fn run() -> Result<()> {
    let options = options();
    let args = options.parse(std::env::args().skip(1))?;
    if args.opt_present("help") {
        print!("{}", options.usage(BRIEF));
        return Ok(());
    }
    let [kind] = &*args.free else {
        bail!("{BRIEF}");
    };
    let listen = get(&args, "listen")?.unwrap_or_else(any_port);
    match kind.as_str() {
        "object" => {
            let config = object::Config {
                listen,
                ..object::Config::default()
            };
            let handle = object::start(config).await?;
            serve(&args, handle.addr(), handle.faults()).await?;
            handle.stop().await;
        }
        "vms" => {
            let handle = vms::start(vms_config(&args, listen)?).await?;
            serve(&args, handle.addr(), handle.faults()).await?;
            handle.stop().await;
        }
        "engine" => {
            let handle = engine::start(engine_config(&args, listen)?).await?;
            serve(&args, handle.addr(), handle.faults()).await?;
            handle.stop().await;
        }
        "plain" => {
            let handle = plain::start(plain_config(&args, listen)?).await?;
            serve(&args, handle.addr(), handle.faults()).await?;
            handle.stop().await;
        }
        "relay" => {
            let target = get(&args, "target")?.context("a relay needs --target")?;
            let handle = relay::start(relay::Config { listen, target }).await?;
            serve(&args, handle.addr(), handle.faults()).await?;
            handle.stop().await;
        }
        other => bail!("no stand-in `{other}`; {BRIEF}"),
    }
    Ok(())
}

/// An option's value, if it is given.
fn get<T>(args: &Matches, name: &str) -> Result<Option<T>>
where
    T: FromStr,
    T::Err: std::error::Error + Send + Sync + 'static,
{
    args.opt_get(name).with_context(|| format!("--{name}"))
}

fn span(args: &Matches, name: &str, default: Duration) -> Result<Duration> {
    Ok(get::<Span>(args, name)?.map_or(default, Span::get))
}

/// A process started later has the higher incarnation.
fn incarnation() -> Incarnation {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    Incarnation::new(now.map_or(1, |now| now.as_millis() as u64))
}

fn vms_config(args: &Matches, listen: SocketAddr) -> Result<vms::Config> {
    let mut config = vms::Config {
        listen,
        ..vms::Config::default()
    };
    config.faults.lag_ms = span(args, "lag", Duration::ZERO)?.as_millis() as u64;
    if let Some(file) = args.opt_str("vms") {
        let text = fs::read_to_string(&file).with_context(|| file.clone())?;
        let listing = if text.trim_start().starts_with('{') {
            serde_json::from_str::<vms::Listing>(&text)?
        } else {
            toml::from_str(&text)?
        };
        config.vms = listing.vms;
    }
    Ok(config)
}

fn engine_config(args: &Matches, listen: SocketAddr) -> Result<engine::Config> {
    let mut config = engine::Config {
        listen,
        warm: args.opt_present("warm"),
        fencing: !args.opt_present("no-fencing"),
        incarnation: incarnation(),
        ..engine::Config::default()
    };
    let rates = &mut config.rates;
    rates.memory = get(args, "memory")?.unwrap_or(rates.memory);
    rates.prefill = get(args, "prefill")?.unwrap_or(rates.prefill);
    if let Some(decode) = get::<Rate>(args, "decode")? {
        rates.set_decode(decode);
    }
    rates.streams = get(args, "streams")?.unwrap_or(rates.streams);
    if let Some(chunk) = get::<Tokens>(args, "chunk")? {
        rates.chunk = Some(chunk).filter(|chunk| *chunk > Tokens::ZERO);
    }
    rates.cold_streams = get(args, "cold-streams")?.unwrap_or(rates.cold_streams);
    config.speed = get(args, "speed")?.unwrap_or(config.speed);
    config.grace = span(args, "grace", config.grace)?;
    config.load_lag = span(args, "lag", config.load_lag)?;
    config.event_lag = config.load_lag;
    for model in args.opt_strs("model") {
        let (name, version) = model
            .split_once('=')
            .context("--model takes NAME=VERSION")?;
        config.models.push((name.to_owned(), version.to_owned()));
    }
    Ok(config)
}

fn plain_config(args: &Matches, listen: SocketAddr) -> Result<plain::Config> {
    let default = plain::Config::default();
    Ok(plain::Config {
        listen,
        service: args.opt_str("name").unwrap_or(default.service),
        work: span(args, "work", default.work)?,
        limit: get(args, "limit")?.unwrap_or(default.limit),
        load_lag: span(args, "lag", default.load_lag)?,
        incarnation: incarnation(),
        ..plain::Config::default()
    })
}

/// Tells where the stand-in listens, and waits for the signal to stop.
async fn serve<F>(args: &Matches, addr: SocketAddr, switches: &Switches<F>) -> Result<()>
where
    F: Faults,
{
    let mut terminate = signal(SignalKind::terminate())?;
    let control = match get(args, "control")? {
        Some(listen) => Some(Control::start(listen, switches.clone()).await?),
        None => None,
    };
    println!("listening {addr}");
    if let Some(control) = &control {
        println!("control {}", control.addr());
    }
    std::io::stdout().flush()?;
    tokio::select! {
        _ = terminate.recv() => {}
        interrupted = tokio::signal::ctrl_c() => interrupted?,
    }
    Ok(())
}
