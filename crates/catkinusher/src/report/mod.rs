//! The status that a data centre's nodes write together, as operators are shown it.

use std::fmt;

use catkinusher_core::id::UpstreamId;
use catkinusher_core::object::Version;
use catkinusher_core::status::{Report, UpstreamCounts};

/// The kind of the objects that hold reports, one for each data centre.
pub(crate) const KIND: &str = "status";

/// Whether all nodes of a report have `version` in force, or a newer one.
pub(crate) fn is_at(report: &Report, version: Version) -> bool {
    let newer = report.revisions.iter();
    let newer = newer.filter(|(revision, _)| revision.version() >= version.get());
    newer.map(|(_, count)| *count).sum::<u32>() >= report.nodes
}

/// The requests that still run on any of `upstreams`.
pub(crate) fn running_on(report: &Report, upstreams: &[UpstreamId]) -> u32 {
    let named = report.draining.iter();
    let there = named.filter(|(name, _)| upstreams.contains(name));
    there.map(|(_, count)| *count).sum()
}

/// A report as lines.
pub(crate) struct Lines<'a>(pub(crate) &'a Report);

impl fmt::Display for Lines<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let report = self.0;
        write!(
            f,
            "{} nodes, {} ready, {} requests",
            report.nodes, report.ready, report.running
        )?;
        for (revision, count) in &report.revisions {
            write!(f, "\n  v{} in force on {count}", revision.version())?;
        }
        for (vm, revision) in &report.behind {
            match revision {
                Some(revision) => write!(f, "\n  behind: {vm} at v{}", revision.version())?,
                None => write!(f, "\n  behind: {vm} without configuration")?,
            }
        }
        for (upstream, count) in &report.draining {
            write!(f, "\n  drained: {upstream}, {count} requests left")?;
        }
        if report.others > 0 {
            write!(f, "\n  drained: others, {} requests left", report.others)?;
        }
        for (service, tally) in &report.services {
            let UpstreamCounts { up, cold, down } = tally;
            write!(f, "\n  {service}: {up} up ({cold} cold), {down} down")?;
        }
        Ok(())
    }
}
