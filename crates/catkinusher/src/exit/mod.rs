//! How the client ends, for scripts that call it.

use std::process::ExitCode;

/// The exit code of the client.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[repr(u8)]
pub enum Exit {
    /// What was asked is done.
    Done = 0,
    /// It was refused or is not complete.
    Failed = 1,
    /// The command line or the file is wrong; nothing was tried.
    Usage = 2,
    /// Another change stands there; nothing was changed.
    Conflict = 3,
    /// The platform could not be reached; nothing was changed.
    Away = 4,
    /// A write was sent, and whether it took effect could not be found out.
    Unknown = 5,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}
