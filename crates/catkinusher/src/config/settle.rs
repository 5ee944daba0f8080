//! What reading back proves of a write whose answer was lost.

use catkinusher_core::inventory::Change;

use super::{Current, Written};

/// What is known of a write.
#[derive(Debug)]
pub(super) enum Verdict {
    /// What became of it.
    Settled(Written),
    /// It may have taken effect and been replaced by many others.
    Unclear,
}

/// Tells what became of `change`, written over `base`, from what stands there now.
///
/// `sent` tells whether an attempt before may have taken effect.
pub(super) fn judge(
    base: Option<&Current>,
    change: &Change,
    current: Option<Current>,
    sent: bool,
) -> Verdict {
    let Some(current) = current else {
        return if sent {
            Verdict::Unclear
        } else {
            Verdict::Settled(Written::Refused(None))
        };
    };
    if current.value.change == change.change {
        return Verdict::Settled(Written::Standing {
            version: current.version,
            settled: true,
        });
    }
    match current.value.follows(&change.change) {
        Some(true) => Verdict::Settled(Written::Replaced(current)),
        _ if !sent => Verdict::Settled(Written::Refused(Some(current))),
        Some(false) => Verdict::Settled(Written::Refused(Some(current))),
        None if reaches(&current.value, base) => Verdict::Settled(Written::Refused(Some(current))),
        None => Verdict::Unclear,
    }
}

/// Whether the history of `standing` goes back to the base, so that it names all changes since.
fn reaches(standing: &Change, base: Option<&Current>) -> bool {
    base.is_some_and(|base| standing.before.contains(&base.value.change))
}
