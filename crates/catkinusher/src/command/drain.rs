//! `drain` and `undrain`: takes something out of service, or back in.

use std::io::Write;
use std::time::Duration;

use getopts::{Matches, Options};
use tokio::time::{Instant, sleep};

use catkinusher_core::id::UpstreamId;
use catkinusher_core::inventory::edit::{Edited, Target, set_drained};
use catkinusher_core::inventory::{self, Change, Diff, Inventory};
use catkinusher_core::object::Version;
use catkinusher_core::status::Report;
use catkinusher_core::units::Span;
use catkinusher_platform::Store;

use super::{Command, options};
use crate::Invocation;
use crate::config::{Byline, Config, Current, Written, fresh_id, standing};
use crate::failure::{Failure, Result};
use crate::report::{KIND, is_at, running_on};

/// How often an edit is made anew after another's change came first.
const ATTEMPTS: u32 = 8;

/// How long a drain waits for the last work, if no option says.
const WAIT: Duration = Duration::from_mins(10);

/// How long to wait before looking again at what is left.
const LOOK: Duration = Duration::from_secs(1);

/// Takes something out of service.
#[derive(Debug)]
pub(crate) struct Drain {
    edit: Edit,
    store: Store,
    wait: Duration,
}

/// Takes something back into service.
#[derive(Debug)]
pub(crate) struct Undrain {
    edit: Edit,
}

/// The edit of the inventory that either makes.
#[derive(Debug)]
struct Edit {
    config: Config,
    target: Target,
    drained: bool,
    author: String,
    note: String,
}

impl Command for Drain {
    const NAME: &'static str = "drain";
    const OPERANDS: &'static str = "data-centre|vm|upstream NAME";
    const ABOUT: &'static str = "Takes a data centre, a VM or an upstream out of service: it gets no new work, and\n\
        what runs there is finished. Waits until nothing is left there and every node has\n\
        the change in force, or exits with 1 and says what remains.";

    fn options(options: &mut Options) {
        options::platform(options);
        options::author(options);
        options.optopt(
            "w",
            "wait",
            "time for the last work to end (10min); 0 does not wait",
            "SPAN",
        );
    }

    fn parse(matches: &Matches, invocation: &Invocation) -> Result<Self> {
        let wait = match matches.opt_str("wait").as_deref() {
            Some("0") => Some(Duration::ZERO),
            _ => options::span(matches, "wait", Self::NAME)?,
        };
        Ok(Self {
            edit: Edit::parse(matches, invocation, true, Self::NAME)?,
            store: options::store(matches, invocation, Self::NAME)?,
            wait: wait.unwrap_or(WAIT),
        })
    }

    async fn run<W>(self, out: &mut W) -> Result<()>
    where
        W: Write,
    {
        let (version, inventory) = self.edit.make(out).await?;
        if self.wait.is_zero() {
            return Ok(());
        }
        let upstreams = inside(&inventory, &self.edit.target);
        self.watch(version, &inventory, &upstreams, out).await
    }
}

impl Drain {
    /// Prints what is left each time it changes, until nothing is or the time is over.
    async fn watch<W>(
        &self,
        version: Version,
        inventory: &Inventory,
        upstreams: &[UpstreamId],
        out: &mut W,
    ) -> Result<()>
    where
        W: Write,
    {
        let deadline = Instant::now() + self.wait;
        let mut shown = String::new();
        loop {
            let left = match self.store.list::<Report>(KIND, "").await {
                Ok(reports) => left(&reports.objects, version, inventory, upstreams),
                Err(fault) => vec![format!("no report: {fault}")],
            };
            if left.is_empty() {
                writeln!(out, "nothing is left on {}", self.edit.target)?;
                return Ok(());
            }
            let left = left.join("; ");
            if Instant::now() >= deadline {
                let waited = Span::new(self.wait);
                return Err(Failure::Unfinished { waited, left });
            }
            if left != shown {
                writeln!(out, "waiting: {left}")?;
                out.flush()?;
                shown = left;
            }
            sleep(LOOK.min(deadline - Instant::now())).await;
        }
    }
}

impl Command for Undrain {
    const NAME: &'static str = "undrain";
    const OPERANDS: &'static str = "data-centre|vm|upstream NAME";
    const ABOUT: &'static str = "Takes a data centre, a VM or an upstream back into service. Its upstreams get\n\
        work again as they prove to bear it.";

    fn options(options: &mut Options) {
        options::platform(options);
        options::author(options);
    }

    fn parse(matches: &Matches, invocation: &Invocation) -> Result<Self> {
        Ok(Self {
            edit: Edit::parse(matches, invocation, false, Self::NAME)?,
        })
    }

    async fn run<W>(self, out: &mut W) -> Result<()>
    where
        W: Write,
    {
        self.edit.make(out).await.map(drop)
    }
}

impl Edit {
    fn parse(
        matches: &Matches,
        invocation: &Invocation,
        drained: bool,
        command: &'static str,
    ) -> Result<Self> {
        let [table, name] = options::operands(matches, "a kind and a name", command)?;
        let target = target(&table, &name, command)?;
        Ok(Self {
            config: options::config(matches, invocation, command)?,
            target,
            drained,
            author: options::author_of(matches, invocation),
            note: options::note_of(matches),
        })
    }

    /// Makes the edit over whatever stands there, and gives what stands then.
    ///
    /// It changes one value only, so that it is made anew over a change that
    /// came first, and neither is lost.
    async fn make<W>(&self, out: &mut W) -> Result<(Version, Inventory)>
    where
        W: Write,
    {
        for _attempt in 0..ATTEMPTS {
            let current = self.config.need().await?;
            let text = match set_drained(&current.value.toml, &self.target, self.drained)? {
                Edited::Text(text) => text,
                Edited::Unchanged => {
                    writeln!(out, "{} is so already, at {}", self.target, current.version)?;
                    return Ok((current.version, standing(&current.value)?));
                }
            };
            let inventory = inventory::read(&text).map_err(Failure::Standing)?;
            let change = self.change(&current, text);
            match self.config.write(Some(&current), &change).await? {
                Written::Standing { version, .. } => {
                    writeln!(out, "{version} stands: change {}", change.change)?;
                    let old = standing(&current.value)?;
                    writeln!(out, "{}", Diff::between(&old, &inventory))?;
                    out.flush()?;
                    return Ok((version, inventory));
                }
                Written::Replaced(other) | Written::Refused(Some(other)) => {
                    let byline = Byline(&other.value);
                    writeln!(out, "{} came first: {byline}; again over it", other.version)?;
                }
                Written::Refused(None) => return Err(Failure::Nothing),
            }
        }
        Err(Failure::Contended(ATTEMPTS))
    }

    fn change(&self, current: &Current, toml: String) -> Change {
        let word = if self.drained { "drain" } else { "undrain" };
        let note = match self.note.as_str() {
            "" => format!("{word} {}", self.target),
            why => format!("{word} {}: {why}", self.target),
        };
        Change {
            change: fresh_id(),
            author: self.author.clone(),
            note,
            toml,
            before: current.value.history(),
        }
    }
}

fn target(table: &str, name: &str, command: &'static str) -> Result<Target> {
    match table {
        "data-centre" => options::value(name, table, command).map(Target::DataCentre),
        "vm" => options::value(name, table, command).map(Target::Vm),
        "upstream" => options::value(name, table, command).map(Target::Upstream),
        other => {
            let text = format!("`{other}` is none of data-centre, vm, upstream");
            Err(Failure::Usage(text, command))
        }
    }
}

/// The upstreams that a drain of `target` takes out.
fn inside(inventory: &Inventory, target: &Target) -> Vec<UpstreamId> {
    let hosts = inventory.vms.iter().filter(|vm| match target {
        Target::DataCentre(name) => vm.data_centre == *name,
        Target::Vm(name) => vm.name == *name,
        Target::Upstream(_) => false,
    });
    let hosts = hosts.map(|vm| &vm.name).collect::<Vec<_>>();
    let upstreams = inventory.upstreams.iter().filter(|upstream| match target {
        Target::Upstream(name) => upstream.name == *name,
        Target::DataCentre(_) | Target::Vm(_) => hosts.contains(&&upstream.vm),
    });
    upstreams.map(|upstream| upstream.name.clone()).collect()
}

/// What keeps a drain from being over, by data centre.
fn left(
    reports: &[catkinusher_platform::Object<Report>],
    version: Version,
    inventory: &Inventory,
    upstreams: &[UpstreamId],
) -> Vec<String> {
    let mut left = Vec::new();
    for data_centre in &inventory.data_centres {
        let name = &data_centre.name;
        let report = reports.iter().find(|report| report.name == name.as_str());
        let Some(report) = report.map(|report| &report.value) else {
            left.push(format!("{name} has no report"));
            continue;
        };
        if !is_at(report, version) {
            left.push(format!("{name} has not {version} on every node"));
        }
        let named = running_on(report, upstreams);
        if named > 0 {
            left.push(format!("{named} requests by nodes of {name}"));
        } else if report.others > 0 {
            left.push(format!(
                "up to {} requests by nodes of {name}",
                report.others
            ));
        }
    }
    left
}
