//! The daemons of a demonstration.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Context;
use tokio::net::TcpListener;
use tokio::time::{sleep, timeout};

use catkinusher_core::id::DataCentreId;
use catkinusher_fakes::site::Site;
use catkinusherd::settings::{self, Settings};
use catkinusherd::{Node, admin};

/// How long the daemons may take to find each other.
const START: Duration = Duration::from_secs(30);

/// How often a daemon is asked whether it is ready.
const LOOK: Duration = Duration::from_millis(10);

/// Daemons in every data centre of a site.
#[derive(Debug)]
pub(super) struct Fleet {
    nodes: Vec<Node>,
}

impl Fleet {
    /// Starts so many daemons in each data centre and waits until all know each other.
    pub(super) async fn start(site: &Site, count: u32) -> anyhow::Result<Self> {
        let mut nodes = Vec::new();
        for data_centre in &site.inventory.data_centres {
            for number in 1..=count {
                nodes.push(start(site, &data_centre.name, number).await?);
            }
        }
        let fleet = Self { nodes };
        site.list(fleet.nodes.iter().map(|node| {
            let me = &node.state().settings.node;
            (me.name.clone(), me.data_centre.clone(), node.peers())
        }));
        let ready = timeout(START, fleet.ready()).await;
        ready.context("the daemons did not become ready")?;
        Ok(fleet)
    }

    /// Where callers reach the daemons.
    pub(super) fn entries(&self) -> Vec<SocketAddr> {
        self.nodes.iter().map(Node::callers).collect()
    }

    /// Stops every daemon gracefully.
    pub(super) async fn stop(self) {
        for node in self.nodes {
            node.stop().await;
        }
    }

    async fn ready(&self) {
        for node in &self.nodes {
            while !is_ready(node, self.nodes.len()) {
                sleep(LOOK).await;
            }
        }
    }
}

fn is_ready(node: &Node, count: usize) -> bool {
    let status = admin::status(node.state());
    status.unready.is_none() && status.members.len() == count
}

async fn start(site: &Site, data_centre: &DataCentreId, number: u32) -> anyhow::Result<Node> {
    let callers = listen().await?;
    let peers = listen().await?;
    let operators = listen().await?;
    let mut settings = settings(site, data_centre, number)?;
    settings.listen.peers = peers.local_addr()?;
    Node::start_on(settings, callers, peers, operators)
}

async fn listen() -> anyhow::Result<TcpListener> {
    let listener = TcpListener::bind("127.0.0.1:0").await;
    listener.context("no free port on 127.0.0.1")
}

fn settings(site: &Site, data_centre: &DataCentreId, number: u32) -> anyhow::Result<Settings> {
    let text = format!(
        r#"
        [node]
        name = "{data_centre}-{number}"
        data_centre = "{data_centre}"
        [listen]
        callers = "127.0.0.1:0"
        peers = "127.0.0.1:0"
        admin = "127.0.0.1:0"
        [platform]
        objects = "{}"
        vms = "{}"
        [peer]
        secret = "a secret of the demonstration"
        [stop]
        notice = "10ms"
        [fleet]
        quiet = "200ms"
        [fleet.membership]
        join_hold = "50ms"
        "#,
        site.objects.addr(),
        site.vms.addr(),
    );
    Ok(settings::read(&text)?)
}
