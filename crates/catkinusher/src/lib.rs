//! The operators' client of catkinusher.
//!
//! [`run`] is the whole program but for its process: it takes the arguments,
//! writes to what it is handed, and gives the exit code. docs/OPERATIONS.md
//! shows each command at work.

mod command;
mod config;
pub mod demo;
mod exit;
mod failure;
pub mod load;

mod node;
mod report;

use std::io::Write;

pub use exit::Exit;

use command::{
    Apply, Demo, Difference, Drain, Explain, Get, Load, Status, Undrain, Validate, Where, execute,
};
use failure::{Failure, Result};

const HELP: &str = "\
Usage: catkinusher COMMAND [OPTIONS]

Looks after a fleet of catkinusherd: its inventory, its drains and its state.

Commands:
    validate FILE       tell every fault of an inventory file
    diff FILE           tell what a file would change
    apply FILE          put the inventory of a file in force
    get                 print the inventory that stands
    drain KIND NAME     take a data-centre, vm or upstream out of service
    undrain KIND NAME   take it back into service
    status              tell what is in force, drained and healthy
    explain REQUEST     tell why a request went where it went
    where               tell where a request would go now, without sending it
    load                send traffic with a mix of prompt lengths and measure it
    demo                show the main job on embedded stand-ins

Each command tells more with --help. CATKINUSHER_OBJECTS names the object API,
as IP:PORT with commas between several.

Exit codes: 0 done, 1 refused or not complete, 2 wrong command line or file,
3 another change stands there, 4 platform away (nothing changed), 5 it is not
known whether a change took effect.
";

/// What the client is started with.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Invocation {
    /// The arguments after the program's name.
    pub args: Vec<String>,
    /// The addresses of the object API that the surroundings name, with commas between.
    pub objects: Option<String>,
    /// Who calls, as the surroundings say.
    pub author: Option<String>,
}

/// Runs the client: results go to `out`, the reason of a failure to `err`.
pub async fn run<O, E>(invocation: &Invocation, out: &mut O, err: &mut E) -> Exit
where
    O: Write,
    E: Write,
{
    match dispatch(invocation, out).await {
        Ok(()) => Exit::Done,
        Err(failure) => {
            let exit = failure.exit();
            match writeln!(err, "catkinusher: {failure}") {
                Ok(()) => exit,
                Err(_closed) => exit.max(Exit::Failed),
            }
        }
    }
}

async fn dispatch<W>(invocation: &Invocation, out: &mut W) -> Result<()>
where
    W: Write,
{
    let Some((word, args)) = invocation.args.split_first() else {
        return Err(Failure::Usage("a command is missing".to_owned(), ""));
    };
    match word.as_str() {
        "-h" | "--help" | "help" => Ok(out.write_all(HELP.as_bytes())?),
        "-V" | "--version" => Ok(writeln!(out, "catkinusher {}", env!("CARGO_PKG_VERSION"))?),
        "validate" => execute::<Validate, _>(invocation, args, out).await,
        "apply" => execute::<Apply, _>(invocation, args, out).await,
        "get" => execute::<Get, _>(invocation, args, out).await,
        "diff" => execute::<Difference, _>(invocation, args, out).await,
        "drain" => execute::<Drain, _>(invocation, args, out).await,
        "undrain" => execute::<Undrain, _>(invocation, args, out).await,
        "status" => execute::<Status, _>(invocation, args, out).await,
        "explain" => execute::<Explain, _>(invocation, args, out).await,
        "where" => execute::<Where, _>(invocation, args, out).await,
        "load" => execute::<Load, _>(invocation, args, out).await,
        "demo" => execute::<Demo, _>(invocation, args, out).await,
        other => Err(Failure::Usage(format!("`{other}` is no command"), "")),
    }
}
