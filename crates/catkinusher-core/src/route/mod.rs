//! Which upstream a request should ask for.
//!
//! A node sees every upstream through the digests of its owner, which are
//! late, and knows what it has sent since. [`Predictive`] compares a few
//! upstreams by the first token that both let it expect; the others are the
//! plain baselines that it is measured against. See
//! [docs/design/decisions.md](../../../../docs/design/decisions.md).

mod affinity;
mod baseline;
mod policy;
mod predictive;
mod seen;
mod view;

pub use self::baseline::{LeastOutstanding, Random, RoundRobin};
pub use self::policy::{Choice, ChoiceReason, Policy};
pub use self::predictive::{Predictive, Tuning};
pub use self::seen::UpstreamView;
pub use self::view::{Pool, View};
