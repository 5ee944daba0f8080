//! `status`: what is in force, what is drained, and what still runs there.

use std::io::Write;
use std::net::SocketAddr;
use std::time::Duration;

use getopts::{Matches, Options};

use catkinusher_core::inventory::Inventory;
use catkinusher_core::status::Report;
use catkinusher_platform::Store;

use super::{Command, options};
use crate::Invocation;
use crate::config::{self, Byline, Config};
use crate::failure::Result;
use crate::node;
use crate::report::{KIND, Lines};

/// How long a daemon may take to answer.
const NODE_TIMEOUT: Duration = Duration::from_secs(5);

/// Prints the state of the fleet, or of one node.
#[derive(Debug)]
pub(crate) enum Status {
    /// Of the fleet, from the object API.
    Fleet(Config, Store),
    /// Of one node, from itself.
    Node(SocketAddr),
}

impl Command for Status {
    const NAME: &'static str = "status";
    const OPERANDS: &'static str = "";
    const ABOUT: &'static str = "Prints the change in force, what is drained, and for each data centre its nodes,\n\
        the versions they have in force, the requests left on what is drained, and how\n\
        the upstreams of each service fare.";

    fn options(options: &mut Options) {
        options::platform(options);
        options.optopt(
            "",
            "node",
            "ask one daemon at its listener for operators instead",
            "IP:PORT",
        );
    }

    fn parse(matches: &Matches, invocation: &Invocation) -> Result<Self> {
        let [] = options::operands(matches, "no operand", Self::NAME)?;
        if let Some(node) = options::find(matches, "node", Self::NAME)? {
            return Ok(Self::Node(node));
        }
        Ok(Self::Fleet(
            options::config(matches, invocation, Self::NAME)?,
            options::store(matches, invocation, Self::NAME)?,
        ))
    }

    async fn run<W>(self, out: &mut W) -> Result<()>
    where
        W: Write,
    {
        match self {
            Self::Fleet(config, store) => fleet(&config, &store, out).await,
            Self::Node(addr) => {
                let answer = node::ask(addr, "/admin/status", NODE_TIMEOUT).await?;
                writeln!(out, "{answer:#}")?;
                Ok(())
            }
        }
    }
}

async fn fleet<W>(config: &Config, store: &Store, out: &mut W) -> Result<()>
where
    W: Write,
{
    let current = config.need().await?;
    writeln!(out, "{} {}", current.version, Byline(&current.value))?;
    let inventory = config::standing(&current.value)?;
    for line in drained(&inventory) {
        writeln!(out, "drained: {line}")?;
    }
    let reports = store.list::<Report>(KIND, "").await?;
    for report in &reports.objects {
        writeln!(out, "{}: {}", report.name, Lines(&report.value))?;
    }
    for report in &reports.unreadable {
        let name = report.name.as_deref().unwrap_or("?");
        writeln!(out, "{name}: unreadable report: {}", report.reason)?;
    }
    let silent = inventory.data_centres.iter().filter(|data_centre| {
        let name = data_centre.name.as_str();
        !reports.objects.iter().any(|report| report.name == name)
    });
    for data_centre in silent {
        writeln!(out, "{}: no report", data_centre.name)?;
    }
    Ok(())
}

fn drained(inventory: &Inventory) -> Vec<String> {
    let data_centres = inventory.data_centres.iter().filter(|it| it.drained);
    let data_centres = data_centres.map(|it| format!("data-centre {}", it.name));
    let vms = inventory.vms.iter().filter(|it| it.drained);
    let vms = vms.map(|it| format!("vm {}", it.name));
    let upstreams = inventory.upstreams.iter().filter(|it| it.drained);
    let upstreams = upstreams.map(|it| format!("upstream {}", it.name));
    data_centres.chain(vms).chain(upstreams).collect()
}
