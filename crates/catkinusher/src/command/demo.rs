//! `demo`: the main job on embedded stand-ins.

use std::io::Write;

use getopts::{Matches, Options};

use catkinusher_core::inventory::Inventory;
use catkinusherd::log;
use catkinusherd::settings::LogSettings;

use super::traffic::{self, tell};
use super::{Command, Summary, options};
use crate::Invocation;
use crate::demo;
use crate::failure::{Failure, Result};

/// The inventory that is shown if no file is given.
const EXAMPLE: &str = include_str!("../../../../examples/toonzaal.toml");

/// Runs a deployment inside this process and traffic through it.
#[derive(Debug)]
pub(crate) struct Demo {
    demo: demo::Demo,
    log: LogSettings,
}

impl Command for Demo {
    const NAME: &'static str = "demo";
    const OPERANDS: &'static str = "";
    const ABOUT: &'static str = "Starts stand-ins for the platform and for every upstream of an inventory, and daemons\n\
        in each data centre, all inside this process. Sends short prompts alone and then the\n\
        same among long ones, prints the time to first token by length class and the\n\
        slowdown of the short ones, and holds what callers were told against what the\n\
        engines recorded. Exits with 0 only if every request had a true outcome.";

    fn options(options: &mut Options) {
        options.optopt(
            "i",
            "inventory",
            "what is served (the example of Toonzaal)",
            "FILE",
        );
        options.optopt("", "nodes", "daemons in each data centre (2)", "COUNT");
        options.optopt(
            "",
            "speed",
            "how much faster than their rates engines run (1)",
            "FACTOR",
        );
        options.optopt("", "log", "what the daemons log to stderr (error)", "LEVEL");
        traffic::options(options, &demo::Demo::new(Inventory::default()).plan);
    }

    fn parse(matches: &Matches, _invocation: &Invocation) -> Result<Self> {
        let [] = options::operands(matches, "no operand", Self::NAME)?;
        let inventory = match matches.opt_str("inventory") {
            Some(file) => options::read_inventory(&file, &options::read_file(&file)?)?,
            None => options::read_inventory("examples/toonzaal.toml", EXAMPLE)?,
        };
        let mut demo = demo::Demo::new(inventory);
        traffic::set(matches, "nodes", &mut demo.nodes, Self::NAME)?;
        traffic::set(matches, "speed", &mut demo.speed, Self::NAME)?;
        traffic::read(matches, &mut demo.plan, Self::NAME)?;
        let log = LogSettings {
            level: matches.opt_str("log").unwrap_or_else(|| "error".to_owned()),
            ..LogSettings::default()
        };
        Ok(Self { demo, log })
    }

    async fn run<W>(self, out: &mut W) -> Result<()>
    where
        W: Write,
    {
        // A process has one log; a second demonstration in it goes on with the first one's.
        let _again = log::start(&self.log);
        let inventory = &self.demo.inventory;
        let nodes = self.demo.nodes as usize * inventory.data_centres.len();
        writeln!(out, "{}; {nodes} daemons", Summary(inventory))?;
        out.flush()?;
        let mut lost = None;
        let shown = self.demo.run(|progress| {
            lost = tell(out, progress).err().or(lost.take());
        });
        let shown = shown.await.map_err(Failure::Demo)?;
        if let Some(fault) = lost {
            return Err(fault.into());
        }
        write!(out, "{}", shown.report)?;
        writeln!(out, "{}", shown.verdict)?;
        if shown.verdict.is_good() {
            Ok(())
        } else {
            Err(Failure::Untrue(shown.verdict))
        }
    }
}
