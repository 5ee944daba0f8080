//! Why a command did not do what was asked, each with its exit code.

use std::io;

use thiserror::Error;

use catkinusher_core::id::ChangeId;
use catkinusher_core::inventory::edit::EditError;
use catkinusher_core::toml_check::Faults;
use catkinusher_platform as platform;

use crate::config::Conflict;
use crate::demo::Verdict;
use crate::exit::Exit;
use crate::load::PlanError;
use crate::node::NodeError;

/// The outcome of a command.
pub(crate) type Result<T> = std::result::Result<T, Failure>;

/// Why a command did not do what was asked.
#[derive(Debug, Error)]
pub(crate) enum Failure {
    /// The command line is wrong.
    #[error("{0}\nTry `catkinusher {command}--help`.", command = spaced(.1))]
    Usage(String, &'static str),
    /// A file cannot be read.
    #[error("{0}: {1}")]
    File(String, #[source] io::Error),
    /// A file holds no state of a node.
    #[error("{0}: no state saved by this version: {1}")]
    Saved(String, String),
    /// A file has faults.
    #[error("{}{} in {file}", faults.in_file(file), count(faults))]
    Faults {
        /// The file.
        file: String,
        /// Its faults.
        faults: Faults,
    },
    /// The inventory that stands in the object API has faults.
    #[error("the inventory that stands there has faults:\n{0}")]
    Standing(Faults),
    /// Another change stands there.
    #[error("{0}")]
    Conflict(Box<Conflict>),
    /// Edits of others came first again and again.
    #[error("gave up after {0} conflicts in a row; nothing was changed")]
    Contended(u32),
    /// There is no inventory.
    #[error("there is no inventory yet; make one with `catkinusher apply FILE`")]
    Nothing,
    /// The text cannot be edited.
    #[error("{0}")]
    Edit(#[from] EditError),
    /// The platform gave no answer to build on, and nothing was written.
    #[error("{0}; nothing was changed")]
    Platform(#[from] platform::Error),
    /// A write was sent, and whether it took effect could not be found out.
    #[error(
        "the answer to change {change} was lost ({reason}); whether it took effect is not known.\n\
         `catkinusher get --about` tells once the platform answers."
    )]
    Unknown {
        /// The change.
        change: ChangeId,
        /// Why it could not be settled.
        reason: String,
    },
    /// A drain's time ran out.
    #[error("still at work there after {waited}: {left}")]
    Unfinished {
        /// How long was waited.
        waited: catkinusher_core::units::Span,
        /// What remains.
        left: String,
    },
    /// A daemon gave no answer to build on.
    #[error("{0}")]
    Node(#[from] NodeError),
    /// Something that was asked for is not there.
    #[error("{0}")]
    Absent(String),
    /// Callers were not told what became of their requests.
    #[error("{0} requests ended without a true word of what became of them")]
    Untold(u64),
    /// Traffic cannot be sent as asked.
    #[error("{0}\nTry `catkinusher load --help`.")]
    Plan(#[from] PlanError),
    /// A demonstration could not run.
    #[error("{0:#}")]
    Demo(anyhow::Error),
    /// A demonstration found what must never be.
    #[error("not every request had a true outcome: {0}")]
    Untrue(Verdict),
    /// The output cannot be written.
    #[error("cannot write: {0}")]
    Output(#[from] io::Error),
}

impl Failure {
    /// The exit code that tells it.
    pub(crate) const fn exit(&self) -> Exit {
        match self {
            Self::Usage(..)
            | Self::File(..)
            | Self::Saved(..)
            | Self::Faults { .. }
            | Self::Plan(_) => Exit::Usage,
            Self::Conflict(_) | Self::Contended(_) => Exit::Conflict,
            Self::Platform(_) => Exit::Away,
            Self::Unknown { .. } => Exit::Unknown,
            Self::Standing(_)
            | Self::Nothing
            | Self::Edit(_)
            | Self::Unfinished { .. }
            | Self::Node(_)
            | Self::Absent(_)
            | Self::Untold(_)
            | Self::Demo(_)
            | Self::Untrue(_)
            | Self::Output(_) => Exit::Failed,
        }
    }
}

fn count(faults: &Faults) -> String {
    match faults.len() {
        1 => "1 fault".to_owned(),
        many => format!("{many} faults"),
    }
}

/// The command's name to go before an option.
fn spaced(command: &str) -> String {
    match command {
        "" => String::new(),
        name => format!("{name} "),
    }
}
