//! `explain`: why a request went where it went.

use std::io::Write;
use std::net::SocketAddr;
use std::time::Duration;

use getopts::{Matches, Options};

use catkinusher_core::id::{RequestId, VmId};
use catkinusher_platform::{Gate, Vms};

use super::{Command, options};
use crate::Invocation;
use crate::failure::{Failure, Result};
use crate::node;

/// How long a daemon or the VM list may take to answer.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Asks the daemon that accepted a request.
#[derive(Debug)]
pub(crate) struct Explain {
    request: RequestId,
    place: Place,
}

/// Where the daemon is.
#[derive(Debug)]
enum Place {
    /// At this listener for operators.
    Node(SocketAddr),
    /// On the VM that the request's id names; all daemons listen for operators at one port.
    Listed(Vec<SocketAddr>, u16),
}

impl Command for Explain {
    const NAME: &'static str = "explain";
    const OPERANDS: &'static str = "REQUEST";
    const ABOUT: &'static str = "Prints how REQUEST was decided: each choice with its reason and the runner-up. The\n\
        id of a request stands in the header X-Request-Id of its answer and begins with\n\
        the name of the VM that accepted it. Either --node names that VM's listener for\n\
        operators, or --vms and --admin-port let it be found.";

    fn options(options: &mut Options) {
        options.optopt("", "node", "the daemon's listener for operators", "IP:PORT");
        options.optmulti("", "vms", "address of the VM list", "IP:PORT");
        options.optopt("", "admin-port", "port for operators on every VM", "PORT");
    }

    fn parse(matches: &Matches, _invocation: &Invocation) -> Result<Self> {
        let [request] = options::operands(matches, "one request", Self::NAME)?;
        let request = options::value(&request, "request", Self::NAME)?;
        let node = options::find(matches, "node", Self::NAME)?;
        let port = options::find(matches, "admin-port", Self::NAME)?;
        let vms = matches
            .opt_strs("vms")
            .iter()
            .map(|text| options::value(text, "vms", Self::NAME))
            .collect::<Result<Vec<SocketAddr>>>()?;
        let place = match (node, port) {
            (Some(node), _) => Place::Node(node),
            (None, Some(port)) if !vms.is_empty() => Place::Listed(vms, port),
            _ => {
                let missing = "give --node, or both --vms and --admin-port";
                return Err(Failure::Usage(missing.to_owned(), Self::NAME));
            }
        };
        Ok(Self { request, place })
    }

    async fn run<W>(self, out: &mut W) -> Result<()>
    where
        W: Write,
    {
        let addr = match self.place {
            Place::Node(addr) => addr,
            Place::Listed(vms, port) => look_up(&self.request, vms, port).await?,
        };
        let path = format!("/admin/explain/{}", escaped(&self.request));
        let answer = node::ask(addr, &path, TIMEOUT).await?;
        writeln!(out, "{answer:#}")?;
        Ok(())
    }
}

/// The listener for operators of the VM that accepted a request.
async fn look_up(request: &RequestId, vms: Vec<SocketAddr>, port: u16) -> Result<SocketAddr> {
    let vm = acceptor(request)?;
    let list = Vms::new(vms, TIMEOUT, Gate::unlimited()).list().await?;
    let member = list.iter().find(|member| member.vm == vm);
    let member = member.ok_or_else(|| Failure::Absent(format!("the VM list has no {vm}")))?;
    Ok(SocketAddr::new(member.address.ip(), port))
}

/// The VM that a request's id names.
fn acceptor(request: &RequestId) -> Result<VmId> {
    let name = request.as_str().rsplit_once('-').map(|(name, _)| name);
    name.and_then(|name| name.parse().ok()).ok_or_else(|| {
        let text = format!("{request}: a request's id is a VM's name, a dash and digits");
        Failure::Usage(text, Explain::NAME)
    })
}

fn escaped(request: &RequestId) -> impl std::fmt::Display {
    percent_encoding::utf8_percent_encode(request.as_str(), percent_encoding::NON_ALPHANUMERIC)
}
