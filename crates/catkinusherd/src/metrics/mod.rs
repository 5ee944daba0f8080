//! Metrics, sent to a statsd server with `cadence`.

use std::net::UdpSocket;
use std::sync::Arc;
use std::time::Duration;

use cadence::prelude::*;
use cadence::{NopMetricSink, QueuingMetricSink, StatsdClient, UdpMetricSink};

use crate::settings::MetricsSettings;

/// The client that sends the daemon's metrics.
#[derive(Debug, Clone)]
pub struct Metrics {
    client: Arc<StatsdClient>,
}

impl Metrics {
    /// Creates a client that sends to the statsd server of the settings, or discards all metrics.
    ///
    /// # Errors
    ///
    /// If no UDP socket can be opened.
    pub fn start(settings: &MetricsSettings) -> anyhow::Result<Self> {
        let client = match settings.statsd {
            Some(address) => {
                let socket = UdpSocket::bind(("0.0.0.0", 0))?;
                socket.set_nonblocking(true)?;
                let sink = UdpMetricSink::from(address, socket)?;
                StatsdClient::from_sink(&settings.prefix, QueuingMetricSink::from(sink))
            }
            None => StatsdClient::from_sink(&settings.prefix, NopMetricSink),
        };
        Ok(Self {
            client: Arc::new(client),
        })
    }

    /// Counts one event.
    pub fn count(&self, name: &str) {
        // A lost metric is ignored, here and below: it must not affect requests.
        let _lost = self.client.count(name, 1);
    }

    /// Records a duration.
    pub fn time(&self, name: &str, span: Duration) {
        let _lost = self.client.time(name, span);
    }

    /// Sets a gauge.
    pub fn gauge(&self, name: &str, value: u64) {
        let _lost = self.client.gauge(name, value);
    }
}
