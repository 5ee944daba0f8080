//! A whole deployment inside this process: stand-ins, daemons and callers.
//!
//! The daemons are those that ship; only what surrounds them is made up. What
//! callers were told is held against what the engines themselves recorded.

mod fleet;
mod verdict;

use std::time::Duration;

use catkinusher_core::inventory::{Inventory, Service, ServiceKind};
use catkinusher_core::units::{Rate, Span, Tokens};
use catkinusher_fakes::site::{Manner, Site, key_of};

use crate::load::{self, Caller, Plan, Progress, Report};

pub use verdict::Verdict;

use fleet::Fleet;

/// How long engines may take to free what they hold after the last request.
const SETTLE: Duration = Duration::from_secs(10);

/// What a demonstration runs.
#[derive(Debug, Clone)]
pub struct Demo {
    /// What is served.
    pub inventory: Inventory,
    /// The daemons in each data centre.
    pub nodes: u32,
    /// How much faster than the inventory's rates the engines run.
    pub speed: f64,
    /// The traffic; its entries, callers and model are filled in.
    pub plan: Plan,
}

/// What a demonstration has to show.
#[derive(Debug, Clone)]
pub struct Shown {
    /// What callers felt.
    pub report: Report,
    /// What the engines say of it.
    pub verdict: Verdict,
}

impl Demo {
    /// The demonstration of an inventory, in less than a minute.
    #[must_use]
    pub fn new(inventory: Inventory) -> Self {
        let plan = Plan {
            rate: Rate::per_second(20.0),
            alone: Span::from_secs(8),
            mixed: Span::from_secs(16),
            longest: Tokens::new(300_000),
            ..Plan::default()
        };
        Self {
            inventory,
            nodes: 2,
            speed: 1.0,
            plan,
        }
    }

    /// Runs it; `tell` hears of the progress.
    ///
    /// # Errors
    ///
    /// If the inventory has no model service that a customer may use, or a
    /// part cannot start.
    pub async fn run<F>(&self, tell: F) -> anyhow::Result<Shown>
    where
        F: FnMut(Progress),
    {
        let manner = Manner {
            speed: self.speed,
            ..Manner::default()
        };
        let site = Site::start(self.inventory.clone(), &manner).await?;
        let fleet = Fleet::start(&site, self.nodes).await?;
        let plan = self.plan(&fleet)?;
        let report = load::run(&plan, tell).await?;
        let verdict = Verdict::settled(&report, &site, SETTLE).await;
        fleet.stop().await;
        Ok(Shown { report, verdict })
    }

    /// The traffic for the first model service.
    fn plan(&self, fleet: &Fleet) -> anyhow::Result<Plan> {
        let mut services = self.inventory.services.iter();
        let service = services.find(|service| service.kind == ServiceKind::Model);
        let service = service.ok_or_else(|| anyhow::anyhow!("there is no model service"))?;
        let model = service.models.first();
        let model = model.ok_or_else(|| anyhow::anyhow!("{} has no model", service.name))?;
        Ok(Plan {
            entries: fleet.entries(),
            callers: callers(&self.inventory, service),
            model: model.clone(),
            ..self.plan.clone()
        })
    }
}

/// The customers that may use a service.
fn callers(inventory: &Inventory, service: &Service) -> Vec<Caller> {
    let may = |services: &Vec<_>| services.is_empty() || services.contains(&service.name);
    let customers = inventory.customers.iter();
    let customers = customers.filter(|customer| may(&customer.services));
    customers
        .map(|customer| Caller {
            name: customer.name.clone(),
            key: key_of(&customer.name),
            weight: customer.weight,
        })
        .collect()
}
