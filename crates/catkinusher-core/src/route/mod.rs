//! Chooses the upstream to ask for a request.
//!
//! A node knows each upstream by its owner's last digest, which is delayed, and
//! by what the node itself has sent since. From both, [`Predictive`] predicts
//! the time to first token on a few upstreams and compares them; the other
//! policies are baselines for measurements. See
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
